package node

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"mintspring/internal/node/admin"
	"mintspring/internal/node/exchange"
)

// event is something that happened on a socket, a disk or another goroutine. The loop handles it.
type event interface {
	handle(n *Node, now float64)
}

// requestEvent is an event about one request. A panic while it is handled aborts the request.
type requestEvent interface {
	event
	exchange() *exchange.Exchange
}

// inbox takes events from any goroutine. Posting never blocks.
type inbox struct {
	wake chan struct{} // buffered; holds one token while events are pending

	mu     sync.Mutex // guards events
	events []event
}

func newInbox() inbox { return inbox{wake: make(chan struct{}, 1)} }

// post adds an event and wakes the loop.
func (b *inbox) post(e event) {
	b.mu.Lock()
	b.events = append(b.events, e)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// drain removes all pending events from the inbox and appends them to into.
func (b *inbox) drain(into []event) []event {
	b.mu.Lock()
	defer b.mu.Unlock()
	into = append(into, b.events...)
	clear(b.events)
	b.events = b.events[:0]
	return into
}

// loopCallTimeout leaves the rest of admin.ReplyTimeout for the reply to reach the caller on the admin port.
const loopCallTimeout = admin.ReplyTimeout * 4 / 5

var (
	errLoopBusy     = errors.New("the node is too busy to say")
	errLoopPanicked = errors.New("the call has panicked")
	errLoopEnded    = errors.New("the node has stopped")
)

// loopCall is a function that the loop runs for another goroutine.
type loopCall func(now float64)

func (c loopCall) handle(_ *Node, now float64) { c(now) }

// onLoop runs f on the loop and returns its result. If f has not returned within loopCallTimeout, onLoop returns errLoopBusy, and f
// still runs later. Once the loop has ended onLoop returns errLoopEnded at once, so that a reload does not delay the end of a stop.
// onLoop must not be called from the loop.
func onLoop[T any](n *Node, f func(now float64) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1) // buffered: the loop never waits for the caller
	n.inbox.post(loopCall(func(now float64) {
		value, err := f(now)
		done <- result{value, err}
	}))
	select {
	case r := <-done:
		return r.value, r.err
	case <-n.quit:
		var zero T
		return zero, errLoopEnded
	case <-time.After(loopCallTimeout):
		var zero T
		return zero, errLoopBusy
	}
}

// onLoopWithin is like onLoop with the given timeout, except that f never runs after onLoopWithin has returned errLoopBusy, and a panic
// in f is returned as errLoopPanicked.
func onLoopWithin[T any](n *Node, timeout time.Duration, f func(now float64) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1) // buffered: the loop never waits for the caller
	var decided atomic.Bool      // set by the loop before it runs f, or by the caller when it times out
	n.inbox.post(loopCall(func(now float64) {
		if !decided.CompareAndSwap(false, true) {
			return
		}
		defer close(done)
		value, err := f(now)
		done <- result{value, err}
	}))
	var zero T
	timedOut := time.After(timeout)
	for {
		select {
		case r, ok := <-done:
			if !ok {
				return zero, errLoopPanicked
			}
			return r.value, r.err
		case <-timedOut:
			if decided.CompareAndSwap(false, true) {
				return zero, errLoopBusy
			}
		}
	}
}

// runOnLoop runs f on the loop and waits for its end, as onLoop does.
func (n *Node) runOnLoop(f func(now float64)) error {
	_, err := onLoop(n, func(now float64) (struct{}, error) {
		f(now)
		return struct{}{}, nil
	})
	return err
}
