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

// Times of the operators' protocol ("Figures"): the process is killed no sooner than this after the longest deadline of a request, counted
// from SIGTERM.
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
	kill := time.Duration(n.timeoutMs)*time.Millisecond + killAfterDeadline
	select {
	case err := <-p.exited:
		if took := time.Since(start); err != nil || took > kill {
			n.t.Errorf("after %v: the process exits %v later with %v; it may be killed after %v", signals, took, err, kill)
		}
	case <-time.After(kill + testTimeout):
		n.t.Errorf("after %v the process does not exit", signals)
	}
}

// TestStopBeforeEarliestKill: with short deadlines the platform kills soon, and the node has ended before, also beside a client
// that has sent half of a command, and after signals in series, in either order.
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

// TestStopDuringStart: SIGTERM that comes while the node starts counts from its arrival. A client that the listening socket
// has taken by then has its answer.
func TestStopDuringStart(t *testing.T) {
	n := newTestNode(t)
	n.timeoutMs = 300
	adminAddr := n.reserveAddr()
	busy, err := net.Listen("tcp", adminAddr)
	if err != nil {
		t.Fatal(err)
	}
	p := n.startAt(adminAddr)
	time.Sleep(300 * time.Millisecond) // it waits for the admin port's address
	answered := make(chan error, 1)
	go func() { answered <- n.requestOnce("early") }()
	time.AfterFunc(600*time.Millisecond, func() { closeAll(busy) })
	n.expectStop(p, syscall.SIGTERM)
	if err := <-answered; err != nil {
		t.Error(err)
	}
}

// requestOnce sends a request on a connection of its own and expects a complete reply, of whatever kind.
func (n *testNode) requestOnce(id string) error {
	conn, err := net.Dial("tcp", n.addr)
	if err != nil {
		return err
	}
	defer closeAll(conn)
	b := redcon.AppendArray(nil, 4)
	for _, word := range []string{"KV.GET", "k" + id, id, fmt.Sprintf("c=read,d=%d", n.timeoutMs)} {
		b = redcon.AppendBulkString(b, word)
	}
	line, err := exchange(conn, bufio.NewReader(conn), b)
	if err != nil {
		return fmt.Errorf("request %s has the reply %q and %w", id, strings.TrimSpace(line), err)
	}
	return nil
}

// TestStopAnswersBacklogAfterHoldUp: the process is held up for 0.15 s across the moment at which it stops accepting. Requests on
// connections that were established meanwhile have their answers: the node's machine has accepted them.
func TestStopAnswersBacklogAfterHoldUp(t *testing.T) {
	n := newTestNode(t)
	p := n.start()
	p.waitForReply("status", "OK")
	const clients, holdUp = 20, 150 * time.Millisecond
	answered := make(chan error, clients)
	start := time.Now()
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(stopGrace - 2*holdUp/3)
	if err := p.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for i := range clients {
		go func() { answered <- n.requestOnce(fmt.Sprint("held", i)) }()
	}
	time.Sleep(holdUp)
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
