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

// lineProtocol is a protocol of one line each way. A response "boom" makes its parser panic.
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
	case "boom":
		panic(text)
	case "bad":
		return 0, Response{}, errors.New("bad")
	default:
		if size, is := strings.CutPrefix(text, "large "); is {
			n, _ := strconv.ParseInt(size, 10, 64)
			return i + 1, Response{Result: fleet.Completed, LargeValueSize: n}, nil
		}
		return i + 1, Response{Result: fleet.Completed, Value: []byte(text), Close: text == "last"}, nil
	}
}

// harness is an endpoint at a fake server that serves each connection with one function.
type harness struct {
	t        *testing.T
	endpoint *Endpoint
	ended    chan Completion
	panics   chan any
	ln       net.Listener
	conns    chan net.Conn
}

func newHarness(t *testing.T, serve func(c net.Conn)) *harness {
	t.Helper()
	ln := loopbacktest.Listen(t)
	r := &harness{t: t, ended: make(chan Completion, 100), panics: make(chan any, 10), ln: ln, conns: make(chan net.Conn, 100)}
	t.Cleanup(func() { closeConn(ln) })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.conns <- c
			go serve(c)
		}
	}()
	r.endpoint = New(&Group{
		Clock: clock.New(), Sockets: fdlimit.New(1000, 0), ConnectTimeout: 200,
		OnDone:  func(_ *Attempt, end Completion) { r.ended <- end },
		OnPanic: func(p any) { r.panics <- p }, Memory: memlimit.New(0),
	}, lineProtocol{}, "s", connpool.Config{IdleTimeout: 300})
	r.endpoint.SetTarget(ln.Addr().String(), true)
	return r
}

func (r *harness) send(key string, limit float64) *Attempt {
	return r.endpoint.Send(&exchange.Exchange{Key: []byte(key)}, 0, limit, math.Inf(1))
}

func (r *harness) end() Completion {
	r.t.Helper()
	select {
	case e := <-r.ended:
		return e
	case <-time.After(5 * time.Second):
		r.t.Fatal("an attempt has no completion")
		return Completion{}
	}
}

// expect waits for the next completion and checks its outcome.
func (r *harness) expect(name string, want fleet.Result) {
	r.t.Helper()
	e := r.end()
	got := e.Response.Result
	if e.Failure != nil {
		got = e.Failure.Outcome()
	}
	if got != want {
		r.t.Errorf("%s: outcome %d (%v), want %d", name, got, e.Failure, want)
	}
}

// read reads once; an empty string is the end of the connection.
func read(c net.Conn) string {
	b := make([]byte, 1000)
	n, _ := c.Read(b)
	return string(b[:n])
}

// readBytes reads at most n bytes.
func readBytes(c net.Conn, n int) { _, _ = c.Read(make([]byte, n)) }

// write writes to the endpoint. The attempts show whether it arrived.
func write(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

func closeConn(c io.Closer) { _ = c.Close() }

// echo serves a connection by sending back what arrives.
func echo(c net.Conn) {
	for {
		s := read(c)
		if s == "" {
			return
		}
		write(c, s)
	}
}

// piped adds a connection on which each byte waits until the far end reads it.
func (r *harness) piped() net.Conn {
	near, far := net.Pipe()
	endpoint := r.endpoint
	c := &conn{Conn: connpool.Conn{Addr: r.ln.Addr().String()}, endpoint: endpoint, net: near, attempts: make(chan *Attempt, 1)}
	go c.writeLoop()
	go c.readLoop()
	endpoint.mu.Lock()
	endpoint.pool.Release(endpoint.group.Clock.Now(), c)
	endpoint.mu.Unlock()
	return far
}
