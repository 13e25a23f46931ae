package processrunner

import (
	"io"
	"net"
	"testing"

	"mintspring/internal/testbed/invariants"
)

// A request that has no response may wait for as long as those before it on its connection.
func TestUnansweredRequestsWaitInOrder(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	p := &persistentClient{conn: &client{netConn: near}}
	batch := make([]pendingRequest, 5)
	for i, deadline := range []float64{1400, 1500, 2000, 1800, 2100} {
		batch[i].attempt.Deadline = deadline
	}
	responses := make(chan timedResponse, len(batch))
	responses <- timedResponse{response: response{Outcome: invariants.Rejected}, atMs: 1600}
	responses <- timedResponse{atMs: 1900, err: io.EOF}
	p.receive(batch, responses, false)
	for i, want := range []float64{0, 100, 0, 200, 0} {
		if got := batch[i].attempt.ExtraSlack; got != want {
			t.Errorf("request %d may wait for %v ms more, want %v", i, got, want)
		}
	}
}
