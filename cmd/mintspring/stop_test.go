package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// killAfterDeadline is a figure of the operators' protocol ("Figures"): the platform kills the process no sooner than this after the
// longest request deadline, counted from SIGTERM.
const killAfterDeadline = 700 * time.Millisecond

// expectStop signals the process to stop and expects it to exit before the platform may kill it.
func (n *testNode) expectStop(p *nodeProcess, signals ...syscall.Signal) {
	n.t.Helper()
	start := time.Now()
	for _, s := range signals {
		if err := p.Process.Signal(s); err != nil {
			n.t.Fatal(err)
		}
	}
	killAfter := time.Duration(n.timeoutMs)*time.Millisecond + killAfterDeadline
	select {
	case err := <-p.exited:
		if took := time.Since(start); err != nil || took > killAfter {
			n.t.Errorf("after %v: the process exits %v later with %v; it may be killed after %v", signals, took, err, killAfter)
		}
	case <-time.After(killAfter + testTimeout):
		n.t.Errorf("after %v the process does not exit", signals)
	}
}

// TestStopBeforeEarliestKill checks that the node exits before the platform may kill it, which is early if request deadlines are short.
// The node must also exit in time with a client that has sent half a command, and after several signals in any order.
func TestStopBeforeEarliestKill(t *testing.T) {
	series := [][]syscall.Signal{
		{syscall.SIGTERM},
		{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
		{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	}
	for _, signals := range series {
		n := newTestNode(t)
		n.timeoutMs = 250
		p := n.start()
		p.waitForReply("status", "OK")
		conn, err := net.Dial("tcp", n.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer closeAll(conn)
		if _, err := io.WriteString(conn, "*4\r\n$6\r\nKV.GET\r\n$1"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
		n.expectStop(p, signals...)
	}
}

// TestStopDuringStart checks that the time limits of a stop begin when SIGTERM arrives, also while the node starts, and that a client
// whose connection the listening socket has accepted by then gets a response.
func TestStopDuringStart(t *testing.T) {
	n := newTestNode(t)
	n.timeoutMs = 300
	adminAddr := n.reserveAddr()
	holder, err := net.Listen("tcp", adminAddr)
	if err != nil {
		t.Fatal(err)
	}
	p := n.startAt(adminAddr)
	time.Sleep(300 * time.Millisecond) // the process waits for the address of its admin port
	answered := make(chan error, 1)
	go func() { answered <- n.requestOnce("early") }()
	time.AfterFunc(600*time.Millisecond, func() { closeAll(holder) })
	n.expectStop(p, syscall.SIGTERM)
	if err := <-answered; err != nil {
		t.Error(err)
	}
}

// requestOnce sends a request on a connection of its own and expects a complete reply, which may be an error reply.
func (n *testNode) requestOnce(id string) error {
	conn, err := net.Dial("tcp", n.addr)
	if err != nil {
		return err
	}
	defer closeAll(conn)
	b := redcon.AppendArray(nil, 4)
	for _, arg := range []string{"KV.GET", "k" + id, id, fmt.Sprintf("c=read,d=%d", n.timeoutMs)} {
		b = redcon.AppendBulkString(b, arg)
	}
	line, err := exchange(conn, bufio.NewReader(conn), b)
	if err != nil {
		return fmt.Errorf("request %s has the reply %q and %w", id, strings.TrimSpace(line), err)
	}
	return nil
}

// TestStopAnswersBacklogAfterPause pauses the process for 150 ms around the moment at which it stops accepting. Requests on connections
// that were established during the pause must get responses, because the kernel has already accepted those connections.
func TestStopAnswersBacklogAfterPause(t *testing.T) {
	n := newTestNode(t)
	p := n.start()
	p.waitForReply("status", "OK")
	const clients, pause = 20, 150 * time.Millisecond
	answered := make(chan error, clients)
	start := time.Now()
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(stopGrace - 2*pause/3)
	if err := p.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for i := range clients {
		go func() { answered <- n.requestOnce(fmt.Sprint("held", i)) }()
	}
	time.Sleep(pause)
	if err := p.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for range clients {
		if err := <-answered; err != nil {
			t.Errorf("%v after SIGTERM: %v", time.Since(start), err)
		}
	}
	if err := <-p.exited; err != nil {
		t.Error(err)
	}
}
