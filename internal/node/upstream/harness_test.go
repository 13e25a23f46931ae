package upstream

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"mintspring/internal/clock"
	"mintspring/internal/fleet"
	"mintspring/internal/node/connpool"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/fdlimit"
	"mintspring/internal/node/memlimit"
	"mintspring/internal/testbed/loopbacktest"
)

// lineProtocol is a protocol in which requests and responses are single lines. Some response lines have an effect: "panic" makes the
// parser panic, "malformed" makes it fail, "miss" is a miss, "failed" a failure, "last" ends the use of the connection, and "large N" announces a value of N bytes.
type lineProtocol struct{}

func (lineProtocol) AppendRequest(b []byte, request *exchange.Exchange, _ float64) []byte {
	b = append(b, request.Key...)
	if request.IsLarge() {
		return b
	}
	return append(append(b, request.Value...), '\n')
}

func (lineProtocol) ValueTerminator() string { return "\n" }

func (lineProtocol) ParseTail(b []byte, _ Response) (Tail, error) {
	switch bytes.IndexByte(b, '\n') {
	case -1:
		return Tail{}, nil
	case 0:
		return Tail{ValueEnded: true, Complete: true, Length: 1, Response: Response{Result: fleet.Completed}}, nil
	}
	return Tail{}, errors.New("malformed tail")
}

func (lineProtocol) ParseResponse(b []byte) (int, Response, error) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		return 0, Response{}, nil
	}
	switch text := string(b[:i]); text {
	case "panic":
		panic(text)
	case "malformed":
		return 0, Response{}, errors.New("malformed response")
	case "failed":
		return i + 1, Response{Result: fleet.Failed}, nil
	case "miss":
		return i + 1, Response{Result: fleet.Missed}, nil
	default:
		if size, large := strings.CutPrefix(text, "large "); large {
			n, _ := strconv.ParseInt(size, 10, 64)
			return i + 1, Response{Result: fleet.Completed, LargeValueSize: n}, nil
		}
		return i + 1, Response{Result: fleet.Completed, Value: []byte(text), Close: text == "last"}, nil
	}
}

// testFence is the fence of fencedProtocol, and the reply to it.
const testFence = "fence\n"

// fencedProtocol is a lineProtocol with fences.
type fencedProtocol struct{ lineProtocol }

func (fencedProtocol) AppendFence(b []byte) []byte { return append(b, testFence...) }

func (fencedProtocol) ParseFenceReply(b []byte) int {
	if bytes.HasPrefix(b, []byte(testFence)) {
		return len(testFence)
	}
	return 0
}

// harness is an endpoint whose server is a fake.
type harness struct {
	t           *testing.T
	endpoint    *Endpoint
	completions chan Completion
	panics      chan any
	listener    net.Listener  // listener of the fake server
	accepted    chan net.Conn // the server's ends of its connections
}

// newHarness starts a fake server that calls serve for each connection, and an endpoint that sends attempts to it.
func newHarness(t *testing.T, serve func(c net.Conn)) *harness {
	t.Helper()
	listener := loopbacktest.Listen(t)
	h := &harness{
		t: t, completions: make(chan Completion, 100), panics: make(chan any, 10),
		listener: listener, accepted: make(chan net.Conn, 100),
	}
	t.Cleanup(func() { closeConn(listener) })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			h.accepted <- c
			go serve(c)
		}
	}()
	h.endpoint = New(&Group{
		Clock: clock.New(), Sockets: fdlimit.New(1000, 0), ConnectTimeout: 200,
		OnDone:  func(_ *Attempt, completion Completion) { h.completions <- completion },
		OnPanic: func(p any) { h.panics <- p }, Memory: memlimit.New(0),
	}, lineProtocol{}, "s", connpool.Config{IdleTimeout: 300})
	h.endpoint.SetTarget(listener.Addr().String(), true)
	return h
}

// send starts an attempt with a timeout in ms.
func (h *harness) send(key string, timeout float64) *Attempt {
	return h.endpoint.Send(&exchange.Exchange{Key: []byte(key)}, 0, timeout, math.Inf(1))
}

func (h *harness) nextCompletion() Completion {
	h.t.Helper()
	select {
	case completion := <-h.completions:
		return completion
	case <-time.After(5 * time.Second):
		h.t.Fatal("no attempt was completed within 5 s")
		return Completion{}
	}
}

// expectResult waits for the next completion and checks its outcome.
func (h *harness) expectResult(name string, want fleet.Result) {
	h.t.Helper()
	completion := h.nextCompletion()
	got := completion.Response.Result
	if completion.Failure != nil {
		got = completion.Failure.Outcome()
	}
	if got != want {
		h.t.Errorf("%s: outcome %d (%v), want %d", name, got, completion.Failure, want)
	}
}

// read reads once. It returns an empty string at the end of the connection.
func read(c net.Conn) string {
	b := make([]byte, 1000)
	n, _ := c.Read(b)
	return string(b[:n])
}

// readBytes reads at most n bytes.
func readBytes(c net.Conn, n int) { _, _ = c.Read(make([]byte, n)) }

// write writes to the endpoint. It ignores errors, since the results of the attempts show whether the text arrived.
func write(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

func closeConn(c io.Closer) { _ = c.Close() }

// echo serves a connection by sending back the bytes that it receives.
func echo(c net.Conn) {
	for {
		s := read(c)
		if s == "" {
			return
		}
		write(c, s)
	}
}

// addPipeConn adds an unbuffered connection to the pool, on which a write blocks until the bytes are read. It returns the server's end.
func (h *harness) addPipeConn() net.Conn {
	clientEnd, serverEnd := net.Pipe()
	endpoint := h.endpoint
	c := &conn{Conn: connpool.Conn{Addr: h.listener.Addr().String()}, endpoint: endpoint, net: clientEnd, outgoing: make(chan message, maxOutgoing)}
	go c.writeLoop()
	go c.readLoop()
	endpoint.mu.Lock()
	endpoint.pool.Release(endpoint.group.Clock.Now(), c)
	endpoint.mu.Unlock()
	return serverEnd
}
