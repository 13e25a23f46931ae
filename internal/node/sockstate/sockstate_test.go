package sockstate

import (
	"io"
	"net"
	"testing"
	"time"

	"mintspring/internal/testbed/loopbacktest"
)

// tcpPair returns both ends of a TCP connection on loopback.
func tcpPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	ln := loopbacktest.Listen(t)
	defer func() { _ = ln.Close() }() // an error has no consequence for the test
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

// waitForPeek waits until Peek reports the given results for a connection.
func waitForPeek(t *testing.T, conn net.Conn, wantReadable, wantClosed bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		readable, closed := Peek(conn)
		if readable == wantReadable && closed == wantClosed {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("readable %v, closed %v; want %v, %v", readable, closed, wantReadable, wantClosed)
		}
	}
}

func TestPeek(t *testing.T) {
	client, server := tcpPair(t)
	waitForPeek(t, server, false, false)
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	waitForPeek(t, server, true, false)
	waitForPeek(t, server, true, false) // the first Peek did not read the byte
	if _, err := io.ReadFull(server, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	waitForPeek(t, server, false, false)
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
	waitForPeek(t, server, false, true)
	if err := server.Close(); err != nil {
		t.Fatal(err)
	}
	waitForPeek(t, server, false, true)
}

func TestPeekIgnoresOtherConnections(t *testing.T) {
	client, server := net.Pipe()
	defer func() { _, _ = client.Close(), server.Close() }()
	waitForPeek(t, client, false, false)
}

// EndedByPeer detects that the peer has closed or reset a connection even if unread bytes precede the end. It does not report an open
// connection.
func TestEndedByPeer(t *testing.T) {
	for _, reset := range []bool{false, true} {
		client, server := tcpPair(t)
		if _, err := client.Write([]byte("unread")); err != nil {
			t.Fatal(err)
		}
		waitForPeek(t, server, true, false)
		if EndedByPeer(server) {
			t.Error("an open connection is reported as ended")
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
				t.Fatalf("reset %v: the end of the connection was not detected", reset)
			}
		}
	}
	client, server := net.Pipe()
	defer func() { _, _ = client.Close(), server.Close() }()
	if EndedByPeer(client) {
		t.Error("an open connection without a socket is reported as ended")
	}
}

// HasPending reports a connection from the time it is established until it is accepted.
func TestHasPending(t *testing.T) {
	ln := loopbacktest.Listen(t)
	defer ln.Close() //nolint:errcheck // the test is over
	if HasPending(ln) {
		t.Error("a pending connection is reported before any was opened")
	}
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close() //nolint:errcheck // the test is over
	if !HasPending(ln) {
		t.Error("the pending connection is not reported")
	}
	if _, err := ln.Accept(); err != nil {
		t.Fatal(err)
	}
	if HasPending(ln) {
		t.Error("an accepted connection is reported as pending")
	}
	if HasPending(struct{ net.Listener }{ln}) {
		t.Error("a pending connection is reported for a listener without a file descriptor")
	}
}

func TestSinceLastArrival(t *testing.T) {
	client, server := tcpPair(t)
	if age, known := SinceLastArrival(server); known {
		t.Errorf("before any bytes: %v", age)
	}
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	sentAt := time.Now()
	waitForPeek(t, server, true, false)
	const wait, tolerance = 100 * time.Millisecond, 20 * time.Millisecond // the kernel counts in steps of up to 10 ms
	time.Sleep(wait)
	age, known := SinceLastArrival(server)
	if most := time.Since(sentAt) + tolerance; !known || age < wait-tolerance || age > most {
		t.Errorf("%v, known: %v; want %v to %v", age, known, wait, most)
	}
}
