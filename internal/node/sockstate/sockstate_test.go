package sockstate

import (
	"io"
	"net"
	"testing"
	"time"

	"mintspring/internal/testbed/loopbacktest"
)

// pair returns both ends of a TCP connection on loopback.
func pair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	ln := loopbacktest.Listen(t)
	defer func() { _ = ln.Close() }() // nothing is lost with it
	var err error
	client, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_, _ = client.Close(), server.Close() // the test may have closed them
	})
	return client, server
}

// expect waits until a connection is in a state.
func expect(t *testing.T, conn net.Conn, readable, closed bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		r, c := Peek(conn)
		if r == readable && c == closed {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("readable %v, closed %v; want %v, %v", r, c, readable, closed)
		}
	}
}

func TestPeek(t *testing.T) {
	client, server := pair(t)
	expect(t, server, false, false)
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	expect(t, server, true, false)
	expect(t, server, true, false) // it has read nothing
	if _, err := io.ReadFull(server, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	expect(t, server, false, false)
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
	expect(t, server, false, true)
	if err := server.Close(); err != nil {
		t.Fatal(err)
	}
	expect(t, server, false, true)
}

func TestPeekAtOtherConnections(t *testing.T) {
	client, server := net.Pipe()
	defer func() { _, _ = client.Close(), server.Close() }()
	expect(t, client, false, false)
}

// The end of a connection shows behind bytes that were not read, and not before it has come.
func TestEndedByPeer(t *testing.T) {
	for _, reset := range []bool{false, true} {
		client, server := pair(t)
		if _, err := client.Write([]byte("unread")); err != nil {
			t.Fatal(err)
		}
		expect(t, server, true, false)
		if EndedByPeer(server) {
			t.Error("it has ended while it is open")
		}
		if reset {
			if err := client.(*net.TCPConn).SetLinger(0); err != nil {
				t.Fatal(err)
			}
		}
		if err := client.Close(); err != nil {
			t.Fatal(err)
		}
		for deadline := time.Now().Add(5 * time.Second); !EndedByPeer(server); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("reset %v: its end does not show", reset)
			}
		}
	}
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	if EndedByPeer(near) {
		t.Error("a connection without a socket has ended")
	}
}

// A connection waits from its being established until it is accepted.
func TestHasPending(t *testing.T) {
	ln := loopbacktest.Listen(t)
	defer ln.Close() //nolint:errcheck // the test is over
	if HasPending(ln) {
		t.Error("a connection waits before there was any")
	}
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close() //nolint:errcheck // the test is over
	if !HasPending(ln) {
		t.Error("no connection waits")
	}
	if _, err := ln.Accept(); err != nil {
		t.Fatal(err)
	}
	if HasPending(ln) {
		t.Error("a connection waits that has been accepted")
	}
	if HasPending(struct{ net.Listener }{ln}) {
		t.Error("a connection waits at a listener that cannot tell")
	}
}
