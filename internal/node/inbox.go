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
	wake chan struct{} // has room for one: there are events

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

// drain moves all pending events to the end of into.
func (b *inbox) drain(into []event) []event {
	b.mu.Lock()
	defer b.mu.Unlock()
	into = append(into, b.events...)
	clear(b.events)
	b.events = b.events[:0]
	return into
}

// loopCallTimeout leaves time for the answer on the admin port to arrive in time.
const loopCallTimeout = admin.ReplyTimeout * 4 / 5

var (
	errLoopBusy     = errors.New("the node is too busy to say")
	errLoopPanicked = errors.New("the call has panicked")
	errLoopEnded    = errors.New("the node has stopped")
)

// loopCall is a function that the loop runs for another goroutine.
type loopCall func(now float64)

func (c loopCall) handle(_ *Node, now float64) { c(now) }

// onLoop runs f on the loop and returns what it returns. Where the loop does not get to it within loopCallTimeout it returns
// errLoopBusy; f runs all the same, later. Once the loop has ended it returns errLoopEnded: a reload at the end of a stop must not
// delay that. It must not be called from the loop.
func onLoop[T any](n *Node, f func(now float64) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1) // has room: the loop never waits for the caller
	n.inbox.post(loopCall(func(now float64) {
		value, err := f(now)
		done <- result{value, err}
	}))
	select {
	case r := <-done:
		return r.value, r.err
	case <-n.quit:
		var none T
		return none, errLoopEnded
	case <-time.After(loopCallTimeout):
		var none T
		return none, errLoopBusy
	}
}

// onLoopWithin is as onLoop with a timeout of its own, but f does not run any more once an error of the loop was returned, and one that
// panics is such an error.
func onLoopWithin[T any](n *Node, timeout time.Duration, f func(now float64) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1) // has room: the loop never waits for the caller
	var claimed atomic.Bool      // by the loop, which runs f, or by the caller, who has given up
	n.inbox.post(loopCall(func(now float64) {
		if !claimed.CompareAndSwap(false, true) {
			return
		}
		defer close(done)
		value, err := f(now)
		done <- result{value, err}
	}))
	var none T
	giveUp := time.After(timeout)
	for {
		select {
		case r, ok := <-done:
			if !ok {
				return none, errLoopPanicked
			}
			return r.value, r.err
		case <-giveUp:
			if claimed.CompareAndSwap(false, true) {
				return none, errLoopBusy
			}
		}
	}
}

// runOnLoop runs f on the loop, as onLoop does, and waits for its end.
func (n *Node) runOnLoop(f func(now float64)) error {
	_, err := onLoop(n, func(now float64) (struct{}, error) {
		f(now)
		return struct{}{}, nil
	})
	return err
}
