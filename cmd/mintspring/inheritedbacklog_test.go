package main

import (
	"testing"
	"time"
)

// newFleetWithHeldSocket returns a fleet of three silent servers whose node's socket the platform holds.
func newFleetWithHeldSocket(t *testing.T, timeout time.Duration) *largeFleet {
	t.Helper()
	f := newLargeFleet(t, 3, int(timeout/time.Millisecond))
	f.socket, f.addr = heldSocket(t)
	return f
}

// Guards against requests lost at a start on a socket that the platform holds (incident 40): requests had waited there while no process of the node ran, and
// had all of their time again from when they were read.
func TestRequestsSentBeforeStartAreAnsweredInTime(t *testing.T) {
	const timeout = time.Second
	f := newFleetWithHeldSocket(t, timeout)
	var requests []*sentRequest
	for client := range 3 {
		request, err := f.send(client)
		if err != nil {
			t.Fatal(err)
		}
		requests = append(requests, request)
	}
	time.Sleep(timeout)
	f.start(1)
	for _, request := range requests {
		if _, err := request.expectAnswerInTime(); err != nil {
			t.Error(err)
		}
	}
}

// Guards against requests refused early: one that is sent right before a start has its time since then.
func TestRequestSentRightBeforeStartKeepsItsTime(t *testing.T) {
	const timeout = 2 * time.Second
	f := newFleetWithHeldSocket(t, timeout)
	request, err := f.send(0)
	if err != nil {
		t.Fatal(err)
	}
	f.start(1)
	if took, err := request.expectAnswerInTime(); err != nil || took < timeout*3/4 {
		t.Errorf("answered after %v of %v, %v", took, timeout, err)
	}
}
