package clients

import (
	"testing"

	"mintspring/internal/node/exchange"
)

// discardingClient ignores responses.
type discardingClient struct{}

func (discardingClient) ResponseReady(*exchange.Exchange) {}

func newRequest() *exchange.Exchange { return &exchange.Exchange{Client: discardingClient{}} }

// Replies are queued until the last one, and the phase only increases.
func TestStatePhases(t *testing.T) {
	var s sharedState
	if !s.enqueue(pendingReply{text: "a"}) || s.phase != phaseOpen {
		t.Fatal("an open connection accepted no reply")
	}
	if !s.enqueue(pendingReply{text: "b", last: true}) || s.phase != phaseEnding {
		t.Fatal("the last reply does not end the connection")
	}
	if s.enqueue(pendingReply{text: "c"}) {
		t.Error("a reply was queued behind the last one")
	}
	unwritten, _ := s.close()
	if len(unwritten) != 2 || s.phase != phaseClosed || s.hasPending() || s.betweenRequests() {
		t.Errorf("%d replies unwritten, %+v", len(unwritten), s)
	}
	if s.enqueue(pendingReply{text: "d"}) {
		t.Error("a closed connection accepted a reply")
	}
}

// The usage of a connection only increases, whatever arrives.
func TestStateUsage(t *testing.T) {
	var s sharedState
	s.recordRead(1, true, false)
	if s.usage != usageReceived || !s.incomplete() || s.betweenRequests() {
		t.Fatalf("after part of a command: %+v", s)
	}
	for i, want := range []struct {
		use   requestOrdinal
		usage usage
	}{{firstRequest, usageRequested}, {secondRequest, usageReused}, {laterRequest, usageReused}} {
		if use := s.recordRequest(); use != want.use {
			t.Errorf("request %d is %v", i, use)
		}
		s.enqueue(pendingReply{request: newRequest()})
		s.recordRead(2, false, false)
		if s.usage != want.usage {
			t.Errorf("after request %d usage %v", i, s.usage)
		}
	}
}

// A reply is written once the replies before it are written and its request has a response.
func TestStateWriter(t *testing.T) {
	var s sharedState
	first, second := newRequest(), newRequest()
	s.enqueue(pendingReply{request: first})
	s.enqueue(pendingReply{request: second, last: true})
	second.Respond(exchange.Response{Value: []byte("second")})
	if _, _, ok := s.dequeue(10); ok || s.writer != writerWaiting {
		t.Fatal("the second response was written before the first")
	}
	first.Respond(exchange.Response{Value: []byte("first")})
	for _, want := range []struct {
		value string
		after writerPhase
	}{{"first", writerWaiting}, {"second", writerFinished}} {
		r, response, ok := s.dequeue(10)
		if !ok || string(response.Value) != want.value || s.writer != writerWriting || !s.hasPending() {
			t.Fatalf("%s: %+v, %v, %+v", want.value, response, ok, s)
		}
		if last := len(s.replies) == 0; s.finishingReply(14, 5) != last || s.finishingReply(15, 5) {
			t.Errorf("%s: finishingReply is %v with %d replies behind it", want.value, s.finishingReply(14, 5), len(s.replies))
		}
		s.recordWritten(20, r.last)
		if s.writer != want.after || s.lastActive != 20 {
			t.Errorf("%s: after it %+v", want.value, s)
		}
	}
}

// The reader pauses at the limit, resumes once below it, and drains the connection once for each request to drain it.
func TestStateReader(t *testing.T) {
	var s sharedState
	for range maxPipelined {
		s.enqueue(pendingReply{text: "a"})
	}
	s.recordRead(1, false, false)
	if !s.paused || s.tryResume() || !s.paused {
		t.Fatal("the reader does not pause at the limit")
	}
	s.dequeue(2)
	if !s.canResume() || !s.tryResume() || s.paused || s.tryResume() {
		t.Error("the reader does not resume once below the limit")
	}
	if s.consumeDrainRequest() {
		t.Error("a drain was requested without a call")
	}
	s.drainRequested = true
	if !s.consumeDrainRequest() || s.consumeDrainRequest() {
		t.Error("a drain request was not reported exactly once")
	}
}
