package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"mintspring/internal/node/admin"
	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/logrecorder"
	"mintspring/internal/testbed/loopbacktest"
	"mintspring/internal/testbed/reservedport"
	"mintspring/internal/testbed/syscalltrace"
)

// The test binary runs as a node if nodeEnv is set, because tests of takeovers need several real processes. operatorEnv names the
// operator's file of that node. With programArg as its first argument it runs as the program mintspring, with the arguments that follow.
const (
	programArg  = "as-mintspring"
	nodeEnv     = "MINTSPRING_TEST_AS_NODE"
	operatorEnv = "MINTSPRING_TEST_OPERATOR"
	faultsEnv   = "MINTSPRING_TEST_FAULTS" // plan of failing system calls
)

func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == programArg {
		os.Args = append(os.Args[:1], os.Args[2:]...)
		main()
		os.Exit(0)
	}
	if plan := os.Getenv(faultsEnv); plan != "" {
		runWithFaults(plan)
	}
	if os.Getenv(nodeEnv) != "" {
		if err := (&runCmd{fileFlags{Operator: os.Getenv(operatorEnv)}}).Run(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	if err := disableRaceExitDelay(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// runWithFaults runs the test binary as a node whose system calls fail according to a plan, and exits.
func runWithFaults(text string) {
	plan, err := syscalltrace.ParseFaultPlan(text)
	if err == nil {
		err = os.Unsetenv(faultsEnv)
	}
	if err == nil {
		err = syscalltrace.RunWithFaults(os.Args[:1], plan)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// disableRaceExitDelay makes the processes that tests start exit without a delay. Under the race detector a program sleeps for a second
// before it exits, with its listener already closed. A bench expects each request to be answered until the process is gone, so that a
// stopping node looked like one that rejects connections for a second. Without the race detector the variable is not read.
func disableRaceExitDelay() error {
	return os.Setenv("GORACE", strings.TrimSpace(os.Getenv("GORACE")+" atexit_sleep_ms=0"))
}

// testTimeout bounds the waits for events that usually occur at once.
const testTimeout = 5 * time.Second

// eventually calls f until it returns no error. If it still returns one after the timeout, the test fails.
func eventually(t testing.TB, timeout time.Duration, f func() error) {
	t.Helper()
	for deadline := time.Now().Add(timeout); ; time.Sleep(20 * time.Millisecond) {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}

// closeAll closes its arguments and ignores errors, because they may be closed already.
func closeAll(closers ...interface{ Close() error }) {
	for _, c := range closers {
		_ = c.Close()
	}
}

func writeFile(t testing.TB, name, text string) {
	t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// testNode is the environment in which processes of one node are started: the listening socket that is held for them, a directory, a
// discovery service, and two cache servers that count the requests they receive.
type testNode struct {
	t               *testing.T
	socket          *os.File
	addr            string
	dir             string
	discovery       string
	operatorFile    string          // path of the operator's file; empty: none
	faultPlan       string          // plan of failing system calls of processes that are started from now on; empty: none
	extraGuarantees string          // more JSON fields of Guarantees, each after a comma
	timeoutMs       int             // timeout of requests, in ms
	sockets         int             // limit on file descriptors
	serviceTime     time.Duration   // time that a cache server takes for a request; set before the first request
	answer          string          // what a cache server answers; set before the first request
	pause           time.Duration   // of a cache server within its answer, before rest; set before the first request
	rest            string          // what it answers after the pause; empty: it does not pause
	received        [2]atomic.Int64 // requests, by cache server
	executions      sync.Map        // number of executions, an *atomic.Int64, by request id
}

func newTestNode(t *testing.T) *testNode {
	t.Helper()
	n := &testNode{t: t, dir: t.TempDir(), timeoutMs: 1200, sockets: 1024, serviceTime: time.Millisecond, answer: "*3\r\n$3\r\nhit\r\n$3\r\nhit\r\n$-1\r\n"}
	n.socket, n.addr = heldSocket(t)
	var members []string
	for i := range n.received {
		ln := n.listen()
		members = append(members, fmt.Sprintf(`{"id":"s%d","host_port":%q,"phase":"in_service"}`, i, ln.Addr()))
		go n.serveCache(ln, &n.received[i])
	}
	list := fmt.Sprintf(`{"revision":1,"complete":true,"members":[%s]}`+"\n", strings.Join(members, ","))
	service := loopbacktest.StartServer(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = fmt.Fprint(w, list) // the node may have closed the connection
		w.(http.Flusher).Flush()
		if req.URL.Query().Has("watch") {
			<-req.Context().Done()
		}
	}))
	t.Cleanup(service.CloseClientConnections)
	n.discovery = service.Listener.Addr().String()
	return n
}

// heldSocket returns a listening socket that the test holds for processes, and its address.
func heldSocket(t *testing.T) (socket *os.File, addr string) {
	t.Helper()
	ln := loopbacktest.Listen(t)
	socket, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	closeAll(ln)
	t.Cleanup(func() { closeAll(socket) })
	return socket, ln.Addr().String()
}

// serveCache runs a cache server that has every key, until its listener is closed. Its reply to anything but a request to a cache server
// is an error.
func (n *testNode) serveCache(ln net.Listener, received *atomic.Int64) {
	// Serve returns when the listener is closed.
	_ = redcon.Serve(ln, func(c redcon.Conn, cmd redcon.Command) {
		if fakes.IsFence(cmd.Args) {
			c.WriteString("PONG")
			return
		}
		if !fakes.IsCacheRequest(cmd.Args) {
			c.WriteError("ERR not a request to a cache server")
			return
		}
		received.Add(1)
		count, _ := n.executions.LoadOrStore(string(cmd.Args[2]), new(atomic.Int64))
		count.(*atomic.Int64).Add(1)
		time.Sleep(n.serviceTime)
		if n.rest != "" {
			_, _ = c.NetConn().Write([]byte(n.answer)) // the node may have closed the connection
			time.Sleep(n.pause)
			c.WriteRaw([]byte(n.rest))
			return
		}
		c.WriteRaw([]byte(n.answer))
	}, nil, nil)
}

func (n *testNode) listen() net.Listener {
	ln := loopbacktest.Listen(n.t)
	n.t.Cleanup(func() { closeAll(ln) })
	return ln
}

// writeOperatorFile writes the operator's file of the processes that are started from now on.
func (n *testNode) writeOperatorFile(text string) {
	n.t.Helper()
	n.operatorFile = filepath.Join(n.dir, "operator.toml")
	writeFile(n.t, n.operatorFile, text)
}

// nodeProcess is a process of a node.
type nodeProcess struct {
	*exec.Cmd
	configFile string
	adminAddr  string
	exited     chan error // receives the error of Wait once, and is closed then
	log        *logrecorder.Recorder
	t          *testing.T
}

func (n *testNode) start() *nodeProcess {
	n.t.Helper()
	return n.startAt(n.reserveAddr())
}

// reserveAddr returns an address that is reserved until the end of the test.
func (n *testNode) reserveAddr() string {
	n.t.Helper()
	port, err := reservedport.Reserve()
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { closeAll(port) })
	return port.Addr()
}

// startAt starts a process with its admin port at adminAddr.
func (n *testNode) startAt(adminAddr string) *nodeProcess {
	n.t.Helper()
	text := strings.NewReplacer(
		"127.0.0.1:1\"", n.addr+`","admin":"`+adminAddr+`"`,
		"127.0.0.1:2", n.discovery,
		`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, n.sockets),
		`"known":{"revision":41,"complete":true,"members":[{"id":"s"}]},`, "",
		`"SloTime":1000,"StatementTimeout":2000}]`, `"Effect":"pure","SloTime":`+strconv.Itoa(n.timeoutMs/3)+`000,"StatementTimeout":`+strconv.Itoa(n.timeoutMs)+`000,"Importance":1}],
		"PolicyLimits":{"MaxExecutions":4,"ConnectTimeout":250000},"Quantum":5000,"Guarantees":{"StopSendingWithin":500000`+n.extraGuarantees+`}`,
	).Replace(validConfig)
	file := filepath.Join(n.t.TempDir(), "config.json")
	writeFile(n.t, file, text)
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), nodeEnv+"=1", "LB_CONFIG="+file, "LB_SOCKET_FD=3", "TMPDIR="+n.dir, operatorEnv+"="+n.operatorFile, faultsEnv+"="+n.faultPlan)
	c.ExtraFiles = []*os.File{n.socket}
	log := &logrecorder.Recorder{}
	c.Stderr = log
	if err := c.Start(); err != nil {
		n.t.Fatal(err)
	}
	p := &nodeProcess{c, file, adminAddr, make(chan error, 1), log, n.t}
	go func() {
		p.exited <- c.Wait()
		close(p.exited)
	}()
	n.t.Cleanup(p.kill)
	return p
}

// replaceInConfig replaces the first occurrence of a text in the configuration file of the process.
func (p *nodeProcess) replaceInConfig(old, replacement string) {
	p.t.Helper()
	text, err := os.ReadFile(p.configFile)
	if err != nil {
		p.t.Fatal(err)
	}
	writeFile(p.t, p.configFile, strings.Replace(string(text), old, replacement, 1))
}

// kill ends the process at the end of a test, before the addresses that the process connects to are released. If the test has failed, it
// prints the log of the process.
func (p *nodeProcess) kill() {
	_ = p.Process.Kill() // it may have exited
	select {
	case err := <-p.exited:
		if p.t.Failed() {
			p.t.Logf("process %d: %v", p.Process.Pid, err)
		}
	case <-time.After(testTimeout):
		p.t.Errorf("process %d has not ended %v after it was killed", p.Process.Pid, testTimeout)
	}
	if p.t.Failed() {
		p.t.Logf("process %d:\n%s", p.Process.Pid, p.log)
	}
}

// waitForReply repeats a call on the admin port until the reply begins with the prefix.
func (p *nodeProcess) waitForReply(line, prefix string) {
	p.t.Helper()
	got := ""
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		text, err := callAdmin(p.adminAddr, line)
		if got = admin.ReplyOK + text; err != nil {
			var refusal *refusalError
			if got = err.Error(); errors.As(err, &refusal) {
				got = refusal.Reply
			}
		}
		if strings.HasPrefix(got, prefix) {
			return
		}
	}
	p.t.Errorf("the reply to %s is %q, want %q", line, got, prefix)
}

// signalAndWait sends a signal and waits for the process to exit.
func (p *nodeProcess) signalAndWait(sig syscall.Signal, timeout time.Duration) {
	p.t.Helper()
	if err := p.Process.Signal(sig); err != nil {
		p.t.Errorf("%v: %v", sig, err)
	}
	select {
	case err := <-p.exited:
		if sig != syscall.SIGKILL && err != nil {
			p.t.Errorf("after %v the process exits with %v", sig, err)
		}
	case <-time.After(timeout):
		p.t.Errorf("the process has not exited %v after %v", timeout, sig)
	}
}
