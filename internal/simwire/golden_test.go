package simwire

import (
	"bytes"
	"testing"

	"mintspring/internal/fleet"
	"mintspring/internal/testbed/goldentest"
)

// golden reads a fixture. The fixtures were written by this program before its names changed; the wire is another program's, so that no
// byte of it may change.
func golden(t *testing.T, name string) string {
	t.Helper()
	return string(goldentest.Read(t, name))
}

// diff names the first line in which two texts differ.
func diff(t *testing.T, got, want string) {
	t.Helper()
	if got == want {
		return
	}
	g, w := bytes.Split([]byte(got), []byte("\n")), bytes.Split([]byte(want), []byte("\n"))
	for i := range min(len(g), len(w)) {
		if !bytes.Equal(g[i], w[i]) {
			t.Fatalf("line %d is %q, was %q", i+1, g[i], w[i])
		}
	}
	t.Fatalf("%d lines, were %d", len(g), len(w))
}

// TestGoldenSession plays a recorded input of two instances, with every message of the wire in it, and compares the actions.
func TestGoldenSession(t *testing.T) {
	out, err := play(t, golden(t, "session.in"))
	if err != nil {
		t.Fatal(err)
	}
	diff(t, out, golden(t, "session.out"))
}

// TestGoldenActions writes each decision that the module can take.
func TestGoldenActions(t *testing.T) {
	var out bytes.Buffer
	h := &Host{out: newActionWriter(&out)}
	n := &instance{id: 7, serverNames: []string{"10.0.0.1:11211", "10.0.0.2:11211"}}
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
		q := n.slab.Alloc()
		q.ID = 42
		h.apply(n, q, decision)
	}
	if err := h.out.flush(); err != nil {
		t.Fatal(err)
	}
	diff(t, out.String(), golden(t, "actions.out"))
}
