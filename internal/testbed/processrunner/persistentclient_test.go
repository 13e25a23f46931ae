package processrunner

import (
	"io"
	"net"
	"testing"

	"mintspring/internal/testbed/invariants"
)

// Responses on a connection come in the order of the requests. An unanswered request is therefore allowed extra time until the requests
// before it are answered or past their deadlines.
func TestUnansweredRequestsWaitInOrder(t *testing.T) {
	clientConn, serverConn := net.Pipe()
	t.Cleanup(func() { _ = serverConn.Close() })
	p := &persistentClient{conn: &client{netConn: clientConn}}
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
