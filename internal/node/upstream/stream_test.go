package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"mintspring/internal/fleet"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/memlimit"
)

// readAll returns the bytes of a stream and the error that ended it.
func readAll(s exchange.Stream) ([]byte, error) {
	var all []byte
	for {
		b, err := s.Next()
		if err != nil {
			return all, err
		}
		all = append(all, b...)
	}
}

// nextStream waits for the next completion and returns the stream in its response.
func (h *harness) nextStream() exchange.Stream {
	h.t.Helper()
	completion := h.nextCompletion()
	if completion.Response.Stream == nil {
		h.t.Fatalf("no stream: %+v", completion)
	}
	return completion.Response.Stream
}

// testValue returns a value of n bytes.
func testValue(n int) []byte { return bytes.Repeat([]byte("0123456789abcdef"), n/16+1)[:n] }

// A large value arrives completely, whatever the size of the pieces in which it is sent, and its connection is reused.
func TestLargeValueInPieces(t *testing.T) {
	const size = 300_000
	for _, piece := range []int{1 << 20, 4096, 997} {
		h := newHarness(t, func(c net.Conn) {
			for read(c) != "" {
				unsent := append(append([]byte(fmt.Sprintf("large %d\n", size)), testValue(size)...), '\n')
				for len(unsent) > 0 {
					n := min(piece, len(unsent))
					write(c, string(unsent[:n]))
					unsent = unsent[n:]
				}
			}
		})
		for i := range 3 {
			h.send("q", 1000)
			got, err := readAll(h.nextStream())
			if !errors.Is(err, io.EOF) || !bytes.Equal(got, testValue(size)) {
				t.Fatalf("pieces of %d: %d bytes, %v", piece, len(got), err)
			}
			time.Sleep(5 * time.Millisecond)
			if n := len(h.accepted); n != 1 {
				t.Errorf("value %d: %d connections were opened", i, n)
			}
		}
	}
}

// Next returns the last byte of a value only if the terminator follows it. A value that is truncated or longer than announced is never
// reported as complete, and its connection is closed.
func TestIncompleteLargeValue(t *testing.T) {
	const size = 100_000
	for name, text := range map[string]string{
		"truncated":    string(testValue(size / 2)),
		"unterminated": string(testValue(size)),
		"longer":       string(testValue(size)) + "more\n",
	} {
		h := newHarness(t, func(c net.Conn) {
			read(c)
			write(c, fmt.Sprintf("large %d\n", size)+text)
			if name != "longer" {
				closeConn(c)
			}
		})
		h.send("q", 1000)
		got, err := readAll(h.nextStream())
		if err == nil || errors.Is(err, io.EOF) || len(got) >= size {
			t.Errorf("%s: %d bytes, %v", name, len(got), err)
		}
		for deadline := time.Now().Add(time.Second); h.endpoint.group.Sockets.Held() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: the connection was not closed", name)
			}
		}
	}
}

// A large value that stalls fails, and one that arrives slowly does not. The attempt's timeout does not apply to either.
func TestSlowLargeValue(t *testing.T) {
	const size = 70_000
	h := newHarness(t, func(c net.Conn) {
		for request := read(c); request != ""; request = read(c) {
			write(c, fmt.Sprintf("large %d\n", size))
			for i := range 7 {
				if strings.HasPrefix(request, "stalled") && i == 3 {
					return
				}
				time.Sleep(40 * time.Millisecond)
				write(c, string(testValue(10_000)))
			}
			write(c, "\n")
		}
	})
	h.endpoint.group.StreamStallTimeout = 150
	h.send("slow", 60)
	if got, err := readAll(h.nextStream()); !errors.Is(err, io.EOF) || len(got) != size {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	h.send("stalled", 60)
	if got, err := readAll(h.nextStream()); errors.Is(err, io.EOF) || len(got) != 30_000 {
		t.Errorf("%d bytes, %v", len(got), err)
	}
}

// Closing a stream before or while it is read closes its connection.
func TestAbandonedLargeValue(t *testing.T) {
	h := newHarness(t, func(c net.Conn) {
		for read(c) != "" {
			write(c, "large 4000000\n"+string(testValue(1000)))
		}
	})
	for _, readSome := range []bool{false, true} {
		h.send("q", 1000)
		s := h.nextStream()
		if readSome {
			if _, err := s.Next(); err != nil {
				t.Fatal(err)
			}
			go func() { time.Sleep(20 * time.Millisecond); s.Close() }()
			if _, err := readAll(s); errors.Is(err, io.EOF) {
				t.Errorf("the stream ended as if it were complete: %v", err)
			}
		}
		s.Close()
		s.Close()
		for deadline := time.Now().Add(time.Second); h.endpoint.group.Sockets.Held() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the connection was not closed")
			}
		}
	}
}

// unsizedProtocol is a lineProtocol whose responses consist of a value and end with the connection.
type unsizedProtocol struct{ lineProtocol }

func (unsizedProtocol) ParseResponse([]byte) (int, Response, error) {
	return 0, Response{}, ErrUnsized
}

func (unsizedProtocol) ReadUnsized(r io.Reader, write func([]byte) error) (Response, error) {
	b := make([]byte, 5000)
	for {
		n, err := r.Read(b)
		if n > 0 {
			if err := write(b[:n]); err != nil {
				return Response{}, err
			}
		}
		if errors.Is(err, io.EOF) {
			return Response{Result: fleet.Completed}, nil
		}
		if err != nil {
			return Response{}, err
		}
	}
}

// A value of unknown length is buffered within the memory budget. A small value is returned as a whole, and a large one as a stream. If
// the attempt times out, the response is still read to its end.
func TestUnsizedValues(t *testing.T) {
	sizes, writeErrs := make(chan int, 10), make(chan error, 10)
	h := newHarness(t, func(c net.Conn) {
		read(c)
		n := <-sizes
		var err error
		for unsent := testValue(n); len(unsent) > 0 && err == nil; {
			piece := min(20_000, len(unsent))
			_, err = c.Write(unsent[:piece])
			unsent = unsent[piece:]
			time.Sleep(time.Millisecond)
		}
		writeErrs <- err
		closeConn(c)
	})
	h.endpoint.protocol = unsizedProtocol{}
	h.endpoint.group.Memory = memlimit.New(600_000)
	for _, n := range []int{10, 60_000, 65_537, 400_000} {
		sizes <- n
		h.send("q", 5000)
		completion := h.nextCompletion()
		got := completion.Response.Value
		if completion.Response.Stream != nil {
			got, _ = readAll(completion.Response.Stream)
			completion.Response.Stream.Close()
		}
		if !bytes.Equal(got, testValue(n)) || (completion.Response.Stream != nil) != (n > exchange.MaxBufferedValue) {
			t.Errorf("%d bytes arrived of %d, %+v", len(got), n, completion)
		}
		<-writeErrs //nolint:errcheck // the value arrived completely
	}
	sizes <- 900_000
	h.send("q", 5000)
	h.expectResult("value exceeds the memory budget", fleet.Reset)
	<-writeErrs //nolint:errcheck // all of it may have been written before the reset
	sizes <- 400_000
	h.send("q", 8)
	h.expectResult("timed out", fleet.TimedOut)
	if err := <-writeErrs; err != nil {
		t.Errorf("the server's connection was reset: %v", err)
	}
	time.Sleep(10 * time.Millisecond)
	if n := h.endpoint.group.Memory.Used(); n != 0 {
		t.Errorf("%d bytes of memory were not returned to the budget", n)
	}
	// When an attempt is cancelled, its connection is closed at once: the request may be retried, and would be in flight twice.
	sizes <- 4_000_000
	attempt := h.send("q", 5000)
	for begun := false; !begun; time.Sleep(time.Millisecond) {
		h.endpoint.mu.Lock()
		begun = attempt.conn != nil && attempt.conn.readingUnsized
		h.endpoint.mu.Unlock()
	}
	h.endpoint.Cancel(attempt)
	h.expectResult("cancelled", fleet.Cancelled)
	if err := <-writeErrs; err == nil {
		t.Error("a cancelled response was read to its end")
	}
}

// After its attempt has timed out, a value of unknown length is read for a limited time only, even if bytes keep arriving.
func TestEndlessUnsizedValue(t *testing.T) {
	writeErr := make(chan error, 1)
	h := newHarness(t, func(c net.Conn) {
		read(c)
		for {
			if _, err := c.Write([]byte("v")); err != nil {
				writeErr <- err
				return
			}
			time.Sleep(time.Millisecond)
		}
	})
	h.endpoint.protocol = unsizedProtocol{}
	h.endpoint.group.Memory, h.endpoint.group.DiscardTimeout = memlimit.New(600_000), 100
	h.send("q", 30)
	h.expectResult("timed out", fleet.TimedOut)
	select {
	case <-writeErr: //nolint:errcheck // any error shows that the connection was closed
	case <-time.After(5 * time.Second):
		t.Error("the response is still being read")
	}
}

// A connection on which a server has responded before it has read all of a large value is not used again: the next request once waited behind the
// rest of the value until its time was over.
func TestEarlyResponseToLargeValueEndsConnection(t *testing.T) {
	h := newHarness(t, func(c net.Conn) {
		if request := read(c); !strings.HasPrefix(request, "large") {
			write(c, request)
			return
		}
		write(c, "early\n") // and reads nothing more
	})
	h.endpoint.Send(&exchange.Exchange{Key: []byte("large"), Value: testValue(64 << 20)}, 0, 1000, math.Inf(1))
	h.expectResult("large", fleet.Completed)
	time.Sleep(20 * time.Millisecond)
	h.send("next", 300)
	h.expectResult("next", fleet.Completed)
	if n := len(h.accepted); n != 2 {
		t.Errorf("%d connections were opened", n)
	}
}
