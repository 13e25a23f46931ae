package simwire

import (
	"bytes"
	"testing"

	"mintspring/internal/fleet"
	"mintspring/internal/testbed/goldentest"
)

// golden returns the content of a fixture. The fixtures pin the wire format: it belongs to another program, so that no byte may change.
func golden(t *testing.T, name string) string {
	t.Helper()
	return string(goldentest.Read(t, name))
}

// diff fails the test with the first line in which two texts differ.
func diff(t *testing.T, got, want string) {
	t.Helper()
	if got == want {
		return
	}
	gotLines, wantLines := bytes.Split([]byte(got), []byte("\n")), bytes.Split([]byte(want), []byte("\n"))
	for i := range min(len(gotLines), len(wantLines)) {
		if !bytes.Equal(gotLines[i], wantLines[i]) {
			t.Fatalf("line %d is %q, want %q", i+1, gotLines[i], wantLines[i])
		}
	}
	t.Fatalf("%d lines, want %d", len(gotLines), len(wantLines))
}

// TestGoldenSession runs a recorded input of two instances, with every message of the protocol in it, and compares the actions.
func TestGoldenSession(t *testing.T) {
	out, err := runHost(t, golden(t, "session.in"))
	if err != nil {
		t.Fatal(err)
	}
	diff(t, out, golden(t, "session.out"))
}

// TestGoldenActions compares the actions for each kind of decision.
func TestGoldenActions(t *testing.T) {
	var out bytes.Buffer
	h := &Host{out: newActionWriter(&out)}
	inst := &instance{id: 7, serverNames: []string{"10.0.0.1:11211", "10.0.0.2:11211"}}
	for _, decision := range []fleet.Decision{
		{Action: fleet.Hold},
		{Action: fleet.Send, Server: 1, Attempt: 0, Timeout: 399.25},
		{Action: fleet.Send, Server: 0, Attempt: 1, Timeout: 0},
		{Action: fleet.Reject},
		{Action: fleet.Reject, RetryAfter: 12.3456},
		{Action: fleet.Abort},
		{Action: fleet.Cancel, Attempt: 1},
		{Action: fleet.Subscribe},
		{Action: fleet.PollList},
		{Action: fleet.Probe, Server: 1},
		{Action: fleet.Broadcast, Body: []byte("hello, peers")},
		{Action: fleet.Hold, CloseIdle: true, IdleServer: 1},
		{Action: fleet.Abort, CloseIdle: true, IdleServer: 0},
	} {
		request := inst.slab.Alloc()
		request.ID = 42
		h.apply(inst, request, decision)
	}
	if err := h.out.flush(); err != nil {
		t.Fatal(err)
	}
	diff(t, out.String(), golden(t, "actions.out"))
}
