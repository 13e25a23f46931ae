package exchange

import (
	"errors"
	"io"
	"testing"

	"mintspring/internal/fleet"
)

// countingClient counts responses.
type countingClient int

func (c *countingClient) ResponseReady(*Exchange) { *c++ }

func TestFirstResponseIsFinal(t *testing.T) {
	var c countingClient
	x := &Exchange{Client: &c}
	if x.Response() != nil {
		t.Error("there is a response before one was set")
	}
	if !x.Respond(Response{Kind: Rejected, RetryAfter: 7}) || x.Respond(Response{Kind: Completed}) {
		t.Error("the first response is not accepted, or the second one is")
	}
	if r := x.Response(); r == nil || r.Kind != Rejected || r.RetryAfter != 7 || c != 1 {
		t.Errorf("response %+v, the client was notified %d times", r, c)
	}
}

func TestOutcomeFollowsFromProgress(t *testing.T) {
	for _, c := range []struct {
		progress Progress
		result   fleet.Result
		want     fleet.Result
	}{
		{NotConnected, fleet.Reset, fleet.ConnectFailed},
		{NotConnected, fleet.ConnectFailed, fleet.ConnectFailed},
		{PartiallyWritten, fleet.Declined, fleet.Declined},
		{PartiallyWritten, fleet.TimedOut, fleet.NotSent},
		{NotConnected, fleet.Cancelled, fleet.NotSent},
		{FullyWritten, fleet.Reset, fleet.Reset},
		{FullyWritten, fleet.TimedOut, fleet.TimedOut},
		{ResponseStarted, fleet.Failed, fleet.Failed},
	} {
		err := &AttemptError{Progress: c.progress, Result: c.result, Cause: io.ErrUnexpectedEOF}
		if got := err.Outcome(); got != c.want || err.NotExecuted() != (c.progress < FullyWritten) {
			t.Errorf("%v, %v: outcome %v, want %v", c.progress, c.result, got, c.want)
		}
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%v does not wrap its cause", err)
		}
	}
}

func TestBodyIsStreamed(t *testing.T) {
	b := NewBody(5)
	written := make(chan error, 1)
	go func() {
		_, err := b.Write([]byte("value"))
		b.CloseWriter(nil)
		written <- err
	}()
	if b.Consumed() {
		t.Error("consumed before the first read")
	}
	got, err := io.ReadAll(b)
	if err != nil || string(got) != "value" || !b.Consumed() {
		t.Errorf("read %q, %v", got, err)
	}
	if err := <-written; err != nil {
		t.Error(err)
	}
	cause := errors.New("stopped")
	b = NewBody(5)
	b.CloseReader(cause)
	if _, err := b.Write([]byte("value")); !errors.Is(err, cause) {
		t.Errorf("write after CloseReader: %v", err)
	}
}
