package discovery

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"mintspring/internal/testbed/loopbacktest"
)

// testTimeout bounds each wait of a test.
const testTimeout = 10 * time.Second

// event records one call of OnUpdate or OnError.
type event struct {
	update Update
	err    error
}

// newClient returns a client of the service at addr and a channel with the calls of its callbacks.
func newClient(addr string) (*Client, chan event) {
	events := make(chan event, 100)
	return &Client{
		Addr:     addr,
		OnUpdate: func(u Update) { events <- event{update: u} },
		OnError:  func(err error) { events <- event{err: err} },
	}, events
}

// newTestClient returns a client of an HTTP server with the given handler.
func newTestClient(t *testing.T, serve http.HandlerFunc) (*Client, chan event) {
	t.Helper()
	s := loopbacktest.StartServer(t, serve)
	t.Cleanup(s.CloseClientConnections)
	return newClient(strings.TrimPrefix(s.URL, "http://"))
}

// send sends part of a response. It ignores errors, because the client may have cancelled the call.
func send(w http.ResponseWriter, text string) {
	_, _ = fmt.Fprint(w, text)
	w.(http.Flusher).Flush()
}

func nextEvent(t *testing.T, events chan event) event {
	t.Helper()
	select {
	case e := <-events:
		return e
	case <-time.After(testTimeout):
		t.Fatal("no callback was called")
		return event{}
	}
}

// shortTimeouts make calls without a response fail quickly.
var shortTimeouts = Timeouts{Dial: time.Second, Header: 150 * time.Millisecond, Idle: 150 * time.Millisecond}

// newRawClient returns a client with short timeouts and a service on bare TCP connections. serve is called with each connection and the
// requested path. Connections stay open until the end of the test, so that a call ends only by the bytes that serve sends or by a timeout.
func newRawClient(t *testing.T, serve func(conn net.Conn, path string)) (*Client, chan event) {
	t.Helper()
	ln := loopbacktest.Listen(t)
	var mu sync.Mutex // guards conns
	var conns []net.Conn
	t.Cleanup(func() {
		_ = ln.Close() // the test is over
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range conns {
			_ = conn.Close() // the test is over
		}
	})
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			go func() {
				if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					serve(conn, req.URL.String())
				}
			}()
		}
	}()
	c, events := newClient(ln.Addr().String())
	c.Timeouts = shortTimeouts
	return c, events
}

// sendRaw sends part of a response. It ignores errors, because the client may have cancelled the call.
func sendRaw(conn net.Conn, text string) {
	_, _ = conn.Write([]byte(text))
}
