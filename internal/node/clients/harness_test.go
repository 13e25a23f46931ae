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

// fakeHandler takes the place of the node, and passes the arguments of its calls on to the test.
type fakeHandler struct {
	requests     chan *exchange.Exchange
	disconnected chan *exchange.Exchange // requests whose client has disconnected
	bodies       chan *exchange.Exchange // requests whose body has arrived completely
}

func (f *fakeHandler) HandleRequest(x *exchange.Exchange)           { f.requests <- x }
func (f *fakeHandler) ClientGone(x *exchange.Exchange)              { f.disconnected <- x }
func (f *fakeHandler) BodyReceived(x *exchange.Exchange, _ float64) { f.bodies <- x }

// harness is a server under test, on a loopback address or a pipeListener.
type harness struct {
	*fakeHandler
	t      *testing.T
	server *Server
	addr   string

	listener *pipeListener // used instead of addr, unless nil
}

// testCloseTime is how long a server under test accepts connections of its backlog when it is closed.
const testCloseTime = 100 * time.Millisecond

func newHarness(t *testing.T, options ...func(*Server)) *harness {
	t.Helper()
	listener := loopbacktest.Listen(t)
	handler := &fakeHandler{
		requests: make(chan *exchange.Exchange, 1000), disconnected: make(chan *exchange.Exchange, 1000),
		bodies: make(chan *exchange.Exchange, 1000),
	}
	state := &lifecycle.State{}
	state.MarkEndpointsKnown()
	s := &Server{
		Handler: handler, Lifecycle: state, Clock: clock.New(), Sockets: fdlimit.New(1000, 0), CommandTimeout: 1000,
		OnPanic: func(p any) { t.Errorf("panic: %v", p) }, LogError: func(string, error) {},
	}
	s.SetConfig(testConfig())
	s.Config().RetryAfter = 70
	for _, option := range options {
		option(s)
	}
	go func() { _ = s.Serve(listener) }() // it returns when the test ends
	t.Cleanup(func() { s.Close(testCloseTime) })
	return &harness{fakeHandler: handler, t: t, server: s, addr: listener.Addr().String()}
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
	reader *bufio.Reader
	t      *testing.T
}

func (h *harness) dial() *client {
	h.t.Helper()
	var c net.Conn
	var err error
	if h.listener != nil {
		var serverEnd net.Conn
		c, serverEnd = net.Pipe()
		h.listener.toAccept <- serverEnd
	} else if c, err = net.Dial("tcp", h.addr); err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		h.t.Fatal(err)
	}
	return &client{c, bufio.NewReader(c), h.t}
}

// command encodes a command in RESP2.
func command(args ...string) string {
	s := fmt.Sprintf("*%d\r\n", len(args))
	for _, arg := range args {
		s += fmt.Sprintf("$%d\r\n%s\r\n", len(arg), arg)
	}
	return s
}

// sendChunks sends a text in chunks of the given size.
func (c *client) sendChunks(size int, text string) {
	for i := 0; i < len(text); i += size {
		c.send(text[i:min(i+size, len(text))])
	}
}

// expect reads a reply, which must be the given one.
func (c *client) expect(want string) {
	c.t.Helper()
	b := make([]byte, len(want))
	if n, err := io.ReadFull(c.reader, b); string(b) != want {
		c.t.Fatalf("reply %q (%v), want %q", b[:n], err, want)
	}
}

// expectEnd fails unless the server has ended the connection without sending more.
func (c *client) expectEnd() {
	c.t.Helper()
	if b, err := c.reader.ReadByte(); err == nil {
		c.t.Fatalf("byte %q where the connection should end", b)
	}
}

func (h *harness) nextRequest() *exchange.Exchange {
	h.t.Helper()
	select {
	case x := <-h.requests:
		return x
	case <-time.After(5 * time.Second):
		h.t.Fatal("no request arrived")
		return nil
	}
}

const testExtra = "c=read,t=zeta,d=480,h=2500,size=70,odd=1"

// newPipeHarness returns a harness for synctest, which needs connections without sockets.
func newPipeHarness(t *testing.T, state *lifecycle.State) *harness {
	t.Helper()
	listener := &pipeListener{toAccept: make(chan net.Conn), closed: make(chan struct{})}
	handler := &fakeHandler{requests: make(chan *exchange.Exchange, 1000), disconnected: make(chan *exchange.Exchange, 1000)}
	s := &Server{
		Handler: handler, Lifecycle: state, Clock: clock.New(), Sockets: fdlimit.New(1000, 0), CommandTimeout: 1000,
		OnPanic: func(p any) { t.Errorf("panic: %v", p) }, LogError: func(string, error) {},
	}
	s.SetConfig(testConfig())
	go func() { _ = s.Serve(listener) }() // it returns when the test ends
	t.Cleanup(func() { _ = listener.Close() })
	return &harness{fakeHandler: handler, t: t, server: s, listener: listener}
}

// pipeListener accepts ends of pipes.
type pipeListener struct {
	toAccept chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.toAccept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// send writes to the server. Errors are ignored: the replies show whether the text arrived.
func (c *client) send(text string) { _, _ = io.WriteString(c, text) }

// disconnect closes the client's side.
func (c *client) disconnect() { _ = c.Close() }

// skipLine reads a line and ignores it.
func (c *client) skipLine() { _, _ = c.reader.ReadString('\n') }
