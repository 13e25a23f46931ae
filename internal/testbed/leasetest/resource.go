package leasetest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"mintspring/internal/cluster/lease"
	"mintspring/internal/testbed/loopback"
)

// Protocol between contenders and the resource: a request is a line with its kind, the contender's number and the fencing token.
const (
	requestStart = "start"
	requestEnd   = "end"
	replyOK      = "ok"
	replyNo      = "no"
)

// Step is a step that a contender has requested at the resource. Times are on the resource's own clock.
type Step struct {
	Node        int
	Token       lease.Token
	StartMillis float64
	EndMillis   float64 // 0: not ended
	Rejected    bool    // at its start or its end, because of a higher token seen before, or not ended by its contender
}

// fencedResource is the resource that the lease protects. It checks fencing tokens, and records all steps.
type fencedResource struct {
	listener  net.Listener
	startedAt time.Time
	serving   sync.WaitGroup // goroutines of serve, which ends with the listener, and serveConn, which ends with its contender

	mu         sync.Mutex // guards the fields below
	fence      lease.Fence
	steps      []*Step // in the order of their start
	open       map[*Step]struct{}
	concurrent int // steps that began while another was open
}

func startResource() (*fencedResource, error) {
	listener, err := loopback.Listen()
	if err != nil {
		return nil, fmt.Errorf("start the resource: %w", err)
	}
	r := &fencedResource{listener: listener, startedAt: time.Now(), open: map[*Step]struct{}{}}
	r.serving.Go(r.serve)
	return r, nil
}

// close closes the listener and waits until all contenders have ended, so that the recorded steps are complete.
func (r *fencedResource) close() {
	_ = r.listener.Close() // it may be closed already
	r.serving.Wait()
}

func (r *fencedResource) addr() string { return r.listener.Addr().String() }

func (r *fencedResource) nowMillis() float64 {
	return float64(time.Since(r.startedAt)) / float64(time.Millisecond)
}

func (r *fencedResource) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.serving.Go(func() { r.serveConn(conn) })
	}
}

// serveConn serves the connection of one contender, which has at most one open step.
func (r *fencedResource) serveConn(conn net.Conn) {
	defer conn.Close() //nolint:errcheck // nothing is buffered
	var current *Step
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		var kind string
		var node int
		var token lease.Token
		if n, _ := fmt.Sscanf(lines.Text(), "%s %d %d", &kind, &node, &token); n != 3 {
			continue
		}
		var allowed bool
		if kind == requestStart {
			current, allowed = r.beginStep(node, token)
		} else {
			allowed = r.endStep(current, token)
			current = nil
		}
		reply := replyNo
		if allowed {
			reply = replyOK
		}
		if _, err := io.WriteString(conn, reply+"\n"); err != nil {
			break
		}
	}
	r.abandonStep(current)
}

// beginStep records the start of a step. It returns nil if the token is too low.
func (r *fencedResource) beginStep(node int, token lease.Token) (step *Step, allowed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &Step{Node: node, Token: token, StartMillis: r.nowMillis()}
	r.steps = append(r.steps, s)
	if !r.fence.Allow(leaseName, token) {
		s.EndMillis, s.Rejected = s.StartMillis, true
		return nil, false
	}
	if len(r.open) > 0 {
		r.concurrent++
	}
	r.open[s] = struct{}{}
	return s, true
}

// endStep records the end of a step. The step takes effect if its token is still the highest.
func (r *fencedResource) endStep(s *Step, token lease.Token) (allowed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	allowed = r.fence.Allow(leaseName, token)
	r.closeStep(s, !allowed)
	return allowed
}

// abandonStep records a step as rejected because its contender has ended, if there is one.
func (r *fencedResource) abandonStep(s *Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closeStep(s, true)
}

// closeStep records the end of a step. A nil step is ignored. The caller holds the mutex.
func (r *fencedResource) closeStep(s *Step, rejected bool) {
	if s == nil {
		return
	}
	s.EndMillis, s.Rejected = r.nowMillis(), rejected
	delete(r.open, s)
}

// lastStepNode returns the contender that began the latest step that was not rejected.
func (r *fencedResource) lastStepNode() (node int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.steps) - 1; i >= 0; i-- {
		if s := r.steps[i]; !s.Rejected {
			return s.Node, true
		}
	}
	return 0, false
}

// millisUntilStep returns the time from afterMillis to the start of the next step that took effect.
func (r *fencedResource) millisUntilStep(afterMillis float64) (millis float64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.steps {
		if s.StartMillis > afterMillis && s.EndMillis > 0 && !s.Rejected {
			return s.StartMillis - afterMillis, true
		}
	}
	return 0, false
}
