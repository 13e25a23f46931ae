package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// windowLoad keeps a number of requests in flight on each connection, so that a connection is hardly ever between requests, and counts the
// replies.
type windowLoad struct {
	nextID                 atomic.Int64
	completed, rejected    atomic.Int64
	failed                 atomic.Int64 // replies that are neither values nor rejections
	firstFailure           atomic.Pointer[string]
	clients                sync.WaitGroup
	stopped                atomic.Bool
	window, requestTimeout int
}

func (n *testNode) startWindowLoad(clients, window int) *windowLoad {
	l := &windowLoad{window: window, requestTimeout: n.timeoutMs}
	for range clients {
		l.clients.Go(func() {
			for !l.stopped.Load() {
				conn, err := net.Dial("tcp", n.addr)
				if err != nil {
					l.recordFailure(err.Error())
					return
				}
				l.use(conn)
				closeAll(conn)
			}
		})
	}
	return l
}

func (l *windowLoad) recordFailure(text string) {
	l.failed.Add(1)
	l.firstFailure.CompareAndSwap(nil, &text)
}

// use sends requests on a connection until it ends or the load is stopped, and reads the replies to all of them.
func (l *windowLoad) use(conn net.Conn) {
	if err := conn.SetDeadline(time.Now().Add(2 * testTimeout)); err != nil {
		l.recordFailure(err.Error())
		return
	}
	in := bufio.NewReader(conn)
	for range l.window {
		l.send(conn)
	}
	for pending := l.window; pending > 0; pending-- {
		line, err := in.ReadString('\n')
		if err == nil && line == "$3\r\n" {
			line, err = in.ReadString('\n')
		}
		switch {
		case err != nil:
			return // the connection has ended between two replies; what is in flight crosses its end
		case line == "hit\r\n":
			l.completed.Add(1)
		case strings.HasPrefix(line, "-BUSY"):
			l.rejected.Add(1)
		default:
			l.recordFailure(line)
		}
		if !l.stopped.Load() && l.send(conn) {
			pending++
		}
	}
}

func (l *windowLoad) send(conn net.Conn) bool {
	id := fmt.Sprint("w", l.nextID.Add(1))
	b := redcon.AppendArray(nil, 4)
	for _, arg := range []string{"KV.GET", "k" + id, id, fmt.Sprintf("c=read,d=%d", l.requestTimeout)} {
		b = redcon.AppendBulkString(b, arg)
	}
	_, err := conn.Write(b)
	return err == nil
}

// expectNoneRejected stops the load and checks that every reply had a value.
func (l *windowLoad) expectNoneRejected(t *testing.T) {
	t.Helper()
	l.stopped.Store(true)
	l.clients.Wait()
	if rejected, failed := l.rejected.Load(), l.failed.Load(); rejected > 0 || failed > 0 || l.completed.Load() < minRequests {
		t.Errorf("%d requests were completed, %d rejected, %d failed (%v)", l.completed.Load(), rejected, failed, l.firstFailure.Load())
	}
}

// TestBusyClientsDuringHandover checks that a predecessor completes the requests of clients that are hardly ever between two, which it
// cannot hand over, while its successor serves, and that the successor completes those of others although descriptors are few. The
// predecessor once lent all its descriptors to the successor, and had none for connections to servers; in either process the four attempts
// of a request failed within milliseconds for want of a descriptor.
func TestBusyClientsDuringHandover(t *testing.T) {
	for _, tt := range []struct {
		name                     string
		sockets, clients, window int
	}{
		{"never between requests", 1024, 20, 8},
		{"few descriptors", 128, 20, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			n := newTestNode(t)
			n.sockets, n.serviceTime = tt.sockets, 10*time.Millisecond
			current := n.start()
			current.waitForReply("status", "OK")
			load := n.startWindowLoad(tt.clients, tt.window)
			time.Sleep(20 * n.serviceTime)
			successor := n.start()
			successor.waitForReply("status", "OK")
			time.Sleep(40 * n.serviceTime) // the predecessor has not been told to stop yet
			load.expectNoneRejected(t)
			current.signalAndWait(syscall.SIGTERM, 2*time.Second)
		})
	}
}

// TestRequestsWaitForDescriptors checks that requests wait for connections that others release if there are more requests than descriptors.
// They were once rejected after four attempts that failed within milliseconds.
func TestRequestsWaitForDescriptors(t *testing.T) {
	n := newTestNode(t)
	n.sockets, n.serviceTime = 128, 10*time.Millisecond
	p := n.start()
	p.waitForReply("status", "OK")
	load := n.startWindowLoad(20, 4)
	time.Sleep(20 * n.serviceTime)
	load.expectNoneRejected(t)
}
