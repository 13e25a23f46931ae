package clients

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"mintspring/internal/clock"
	"mintspring/internal/config/settings"
	"mintspring/internal/fleet"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/fdlimit"
	"mintspring/internal/node/lifecycle"
	"mintspring/internal/testbed/loopbacktest"
)

// fakeHandler stands in for the node: it passes what it is called with to the test.
type fakeHandler struct {
	taken, gone, complete chan *exchange.Exchange // requests, those of clients that are gone, and those whose body is complete
}

func (d *fakeHandler) HandleRequest(x *exchange.Exchange)           { d.taken <- x }
func (d *fakeHandler) ClientGone(x *exchange.Exchange)              { d.gone <- x }
func (d *fakeHandler) BodyReceived(x *exchange.Exchange, _ float64) { d.complete <- x }

// harness is a server on a loopback address, or on a pipeListener.
type harness struct {
	*fakeHandler
	t      *testing.T
	server *Server
	addr   string

	listener *pipeListener // in place of addr
}

// testCloseTime is how long a server of a test accepts what is in its backlog at its end.
const testCloseTime = 100 * time.Millisecond

func newHarness(t *testing.T, with ...func(*Server)) *harness {
	t.Helper()
	ln := loopbacktest.Listen(t)
	d := &fakeHandler{
		taken: make(chan *exchange.Exchange, 1000), gone: make(chan *exchange.Exchange, 1000),
		complete: make(chan *exchange.Exchange, 1000),
	}
	life := &lifecycle.State{}
	life.MarkListed()
	s := &Server{
		Handler: d, Lifecycle: life, Clock: clock.New(), Sockets: fdlimit.New(1000, 0), CommandTimeout: 1000,
		OnPanic: func(p any) { t.Errorf("panic: %v", p) }, LogError: func(string, error) {},
	}
	s.SetConfig(testConfig())
	s.Config().RetryAfter = 70
	for _, f := range with {
		f(s)
	}
	go func() { _ = s.Serve(ln) }() // it returns when the test ends
	t.Cleanup(func() { s.Close(testCloseTime) })
	return &harness{fakeHandler: d, t: t, server: s, addr: ln.Addr().String()}
}

func testConfig() *Config {
	d := testDeployment()
	return NewConfig(d, func(name string) (fleet.ClassID, bool) {
		i := slices.Index(d.RequestClasses, name)
		return fleet.ClassID(i), i >= 0
	})
}

func testDeployment() settings.Deployment {
	return settings.Deployment{
		RequestClasses: []string{"read", "put", "pay"}, Tenants: []string{"acme", "zeta"},
		Limits: fleet.Limits{Quantum: 5, Classes: []fleet.Class{
			{ClientTimeout: 500},
			{ClientTimeout: 500, Effect: fleet.Deduplicated},
			{ClientTimeout: 500, Effect: fleet.NonIdempotent},
		}},
	}
}

// client is a client's connection to the server under test.
type client struct {
	net.Conn
	r *bufio.Reader
	t *testing.T
}

func (r *harness) dial() *client {
	r.t.Helper()
	var c net.Conn
	var err error
	if r.listener != nil {
		var theirs net.Conn
		c, theirs = net.Pipe()
		r.listener.accepted <- theirs
	} else if c, err = net.Dial("tcp", r.addr); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		r.t.Fatal(err)
	}
	return &client{c, bufio.NewReader(c), r.t}
}

// command encodes a command.
func command(words ...string) string {
	s := fmt.Sprintf("*%d\r\n", len(words))
	for _, w := range words {
		s += fmt.Sprintf("$%d\r\n%s\r\n", len(w), w)
	}
	return s
}

// writePieces sends a text in pieces.
func (c *client) sendChunks(piece int, text string) {
	for i := 0; i < len(text); i += piece {
		c.send(text[i:min(i+piece, len(text))])
	}
}

// expect reads a reply.
func (c *client) expect(reply string) {
	c.t.Helper()
	b := make([]byte, len(reply))
	if n, err := io.ReadFull(c.r, b); string(b) != reply {
		c.t.Fatalf("reply %q (%v), want %q", b[:n], err, reply)
	}
}

// expectEnd reads the end of the connection.
func (c *client) expectEnd() {
	c.t.Helper()
	if b, err := c.r.ReadByte(); err == nil {
		c.t.Fatalf("byte %q where the connection should end", b)
	}
}

func (r *harness) nextRequest() *exchange.Exchange {
	r.t.Helper()
	select {
	case x := <-r.taken:
		return x
	case <-time.After(5 * time.Second):
		r.t.Fatal("no request arrived")
		return nil
	}
}

const testExtra = "c=read,t=zeta,d=480,h=2500,size=70,odd=1"

// newPipeHarness returns a harness for synctest, on connections without sockets.
func newPipeHarness(t *testing.T, life *lifecycle.State) *harness {
	t.Helper()
	ln := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
	d := &fakeHandler{taken: make(chan *exchange.Exchange, 1000), gone: make(chan *exchange.Exchange, 1000)}
	s := &Server{
		Handler: d, Lifecycle: life, Clock: clock.New(), Sockets: fdlimit.New(1000, 0), CommandTimeout: 1000,
		OnPanic: func(p any) { t.Errorf("panic: %v", p) }, LogError: func(string, error) {},
	}
	s.SetConfig(testConfig())
	go func() { _ = s.Serve(ln) }() // it returns when the test ends
	t.Cleanup(func() { _ = ln.Close() })
	return &harness{fakeHandler: d, t: t, server: s, listener: ln}
}

// pipeListener accepts the ends of pipes.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// send writes to the server. The replies show whether it arrived.
func (c *client) send(text string) { _, _ = io.WriteString(c, text) }

// disconnect closes the client's side.
func (c *client) disconnect() { _ = c.Close() }

// skipLine reads a line that does not matter.
func (c *client) skipLine() { _, _ = c.r.ReadString('\n') }
