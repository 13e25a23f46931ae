package admin

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mintspring/internal/testbed/loopbacktest"
)

// testTimeout bounds each wait of a test.
const testTimeout = 5 * time.Second

// recordingHandler records the calls that it executes.
type recordingHandler struct{ calls chan string }

func (h recordingHandler) record(call string) (string, error)      { h.calls <- call; return call, nil }
func (h recordingHandler) Status() (string, error)                 { return h.record("status") }
func (h recordingHandler) EnterStandby() (string, error)           { return h.record("standby") }
func (h recordingHandler) LeaveStandby() (string, error)           { return h.record("active") }
func (h recordingHandler) Peers() (string, error)                  { return h.record("peers") }
func (h recordingHandler) IdempotencyStatus() (string, error)      { return h.record("book") }
func (h recordingHandler) RollingRestart([]string) (string, error) { return h.record("roll") }
func (h recordingHandler) ReadmitServer(id string) (string, error) { return h.record("off " + id) }

func (h recordingHandler) ChangeMembership(string, []string) (string, error) {
	return h.record("council")
}

func (h recordingHandler) ExcludeServer(id string) (string, error) {
	if id == "none" {
		return "", errors.New("no cache server \"none\"\nwas ever listed")
	}
	return h.record("on " + id)
}

// startServer starts a server that ends with the test, and returns its address.
func startServer(t testing.TB, h Handler) (addr string) {
	t.Helper()
	addr, _ = startClosableServer(t, h)
	return addr
}

func startClosableServer(t testing.TB, h Handler) (addr string, s *Server) {
	t.Helper()
	ln := loopbacktest.Listen(t)
	s = &Server{Handler: h, OnPanic: func(p any) { t.Errorf("panic: %v", p) }}
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String(), s
}

func startRecordingServer(t testing.TB) (addr string, h recordingHandler) {
	t.Helper()
	h = recordingHandler{make(chan string, 1000)}
	return startServer(t, h), h
}

func dial(t testing.TB, addr string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test is over
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn.(*net.TCPConn)
}

func write(t testing.TB, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatalf("%.40q: %v", text, err)
	}
}

// call sends a call on a new connection and returns the reply.
func call(t testing.TB, addr, text string) string {
	t.Helper()
	conn := dial(t, addr)
	write(t, conn, text)
	reply, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("%.40q: %v after %q", text, err, reply)
	}
	return string(reply)
}

func TestCommandReplies(t *testing.T) {
	addr, _ := startRecordingServer(t)
	for text, want := range map[string]string{
		"status\n":                              "OK status\n",
		"status\r\n":                            "OK status\n",
		"standby\nactive\n":                     "OK standby\n", // one line to a connection
		"active\n" + strings.Repeat("x", 20000): "OK active\n",
		"maint-on s-1\n":                        "OK on s-1\n",
		"maint-off s-1\n":                       "OK off s-1\n",
		"maint-on none\n":                       "ERR no cache server \"none\"?was ever listed\n",
	} {
		if got := call(t, addr, text); got != want {
			t.Errorf("the reply to %.40q is %q, want %q", text, got, want)
		}
	}
	for _, text := range []string{
		"\n", "  \n", "STATUS\n", "status now\n", "maint-on\n", "maint-on a b\n", "maint-off\n",
		"reboot\n", "\x00\xff\xfe\n", "GET / HTTP/1.1\r\n\r\n", strings.Repeat("a", 5000) + "\n", strings.Repeat("status ", 200) + "\n",
	} {
		got := call(t, addr, text)
		if !strings.HasPrefix(got, "ERR ") || strings.Count(got, "\n") != 1 || !strings.HasSuffix(got, "\n") {
			t.Errorf("the reply to %.40q is %q", text, got)
		}
	}
}

// TestTruncatedCall: a call without a line feed is not executed, because a truncated id may be the id of another server.
func TestTruncatedCall(t *testing.T) {
	addr, handler := startRecordingServer(t)
	conn := dial(t, addr)
	write(t, conn, "maint-on s-1")
	if err := conn.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if b, _ := io.ReadAll(conn); !strings.HasPrefix(string(b), "ERR ") {
		t.Errorf("reply %q", b)
	}
	if len(handler.calls) > 0 {
		t.Errorf("executed: %s", <-handler.calls)
	}
}

// TestConnectionLimit: callers that hold connections without a complete call, or that never read the reply, do not block other callers.
func TestConnectionLimit(t *testing.T) {
	addr, _ := startRecordingServer(t)
	for i := range 10 * MaxConnections {
		conn := dial(t, addr)
		switch i % 3 {
		case 1:
			write(t, conn, "stat")
		case 2:
			write(t, conn, "status\n")
		}
	}
	start := time.Now()
	if got := call(t, addr, "status\n"); got != "OK status\n" {
		t.Errorf("reply %q", got)
	}
	if took := time.Since(start); took > ReplyTimeout/2 {
		t.Errorf("reply after %v", took)
	}
}

func FuzzLine(f *testing.F) {
	for _, s := range []string{"status", "maint-on s-1", "maint-off  s-1 ", "\x00", "active x", strings.Repeat("é", 300)} {
		f.Add(s)
	}
	server := &Server{Handler: recordingHandler{make(chan string, 1<<20)}}
	f.Fuzz(func(t *testing.T, line string) {
		reply, err := server.execute(line)
		if err == nil && reply == "" {
			t.Error("neither a reply nor an error")
		}
		if line := sanitize(reply); strings.ContainsAny(line, "\r\n") {
			t.Errorf("the reply %q is more than a line", line)
		}
	})
}

// slowHandler takes 150 ms to return the status.
type slowHandler struct {
	recordingHandler
	started  chan struct{}
	finished *atomic.Bool
}

func (h slowHandler) Status() (string, error) {
	close(h.started)
	time.Sleep(150 * time.Millisecond)
	h.finished.Store(true)
	return "status", nil
}

// TestCloseWaitsForCalls: Close returns only when a call in progress has its reply, because the process exits after Close. Callers that
// have sent nothing or an incomplete call do not delay Close.
func TestCloseWaitsForCalls(t *testing.T) {
	h := slowHandler{recordingHandler{make(chan string, 9)}, make(chan struct{}), &atomic.Bool{}}
	addr, server := startClosableServer(t, h)
	dial(t, addr)
	if _, err := io.WriteString(dial(t, addr), "stat"); err != nil {
		t.Fatal(err)
	}
	caller := dial(t, addr)
	if _, err := io.WriteString(caller, "status\n"); err != nil {
		t.Fatal(err)
	}
	<-h.started
	start := time.Now()
	server.Close()
	if !h.finished.Load() {
		t.Error("Close returned before the call was executed")
	}
	if took := time.Since(start); took > ReplyTimeout/2 {
		t.Errorf("Close took %v", took)
	}
	if reply, err := io.ReadAll(caller); err != nil || string(reply) != "OK status\n" {
		t.Errorf("the reply is %q, %v", reply, err)
	}
}
