package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"mintspring/internal/state/snapshotfile"
)

// minRequests is the least number of requests that a loadGenerator sends.
const minRequests = 20

// loadGenerator sends requests on persistent connections, one after the other on each connection, until it is stopped.
type loadGenerator struct {
	stopped     atomic.Bool
	workers     sync.WaitGroup
	nextID      atomic.Int64
	sent        atomic.Int64
	rejected    atomic.Int64 // a few are tolerated, because nodes on a busy machine reject requests
	failed      atomic.Int64 // requests that did not get their value
	lastFailure atomic.Value // string: reply and error of the last failed request
}

func (n *testNode) startLoad(clients int) *loadGenerator {
	l := &loadGenerator{}
	for range clients {
		l.workers.Go(func() {
			conn, err := net.Dial("tcp", n.addr)
			if err != nil {
				l.recordFailure("", err)
				return
			}
			defer closeAll(conn)
			for r := bufio.NewReader(conn); !l.stopped.Load(); {
				if !l.request(conn, r) {
					return
				}
			}
		})
	}
	return l
}

func (l *loadGenerator) recordFailure(line string, err error) {
	l.failed.Add(1)
	l.lastFailure.Store(fmt.Sprintf("%q, %v", line, err))
}

// request sends a request, reads its reply, and reports whether the connection can be used again.
func (l *loadGenerator) request(conn net.Conn, r *bufio.Reader) bool {
	id := fmt.Sprint("q", l.nextID.Add(1))
	b := redcon.AppendArray(nil, 4)
	for _, s := range []string{"KV.GET", "k" + id, id, "c=read,d=1500"} {
		b = redcon.AppendBulkString(b, s)
	}
	l.sent.Add(1)
	line, err := exchange(conn, r, b)
	switch {
	case err == nil && strings.HasPrefix(line, "-BUSY"):
		l.rejected.Add(1)
	case err != nil || line != "hit\r\n":
		l.recordFailure(line, err)
	}
	return err == nil
}

// exchange writes a request and reads its reply. It returns the line with the value, or the first line of a reply without a value.
func exchange(conn net.Conn, r *bufio.Reader, request []byte) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return "", err
	}
	if _, err := conn.Write(request); err != nil {
		return "", err
	}
	line, err := r.ReadString('\n')
	if err == nil && line == "$3\r\n" {
		line, err = r.ReadString('\n')
	}
	return line, err
}

// stop ends the load after at least minRequests requests. It checks that no request failed and that few were rejected.
func (l *loadGenerator) stop(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); l.sent.Load() < minRequests && time.Now().Before(deadline); { // a busy machine takes longer
		time.Sleep(time.Millisecond)
	}
	l.stopped.Store(true)
	l.workers.Wait()
	sent := l.sent.Load()
	if n := l.rejected.Load(); n > 5+sent/20 {
		t.Errorf("%d of %d requests were rejected", n, sent)
	}
	if n := l.failed.Load(); n > 0 || sent < minRequests {
		t.Errorf("%d of %d requests did not get their value, the last: %v", n, sent, l.lastFailure.Load())
	}
}

// TestHotRestartUnderLoad checks that clients keep their connections and get their responses while three processes take over one after
// another.
func TestHotRestartUnderLoad(t *testing.T) {
	n := newTestNode(t)
	current := n.start()
	current.waitForReply("status", "OK")
	load := n.startLoad(40)
	for range 3 {
		time.Sleep(100 * time.Millisecond)
		successor := n.start()
		successor.waitForReply("status", "OK")
		time.Sleep(20 * time.Millisecond)
		current.signalAndWait(syscall.SIGTERM, 2*time.Second)
		current = successor
	}
	time.Sleep(100 * time.Millisecond)
	load.stop(t)
	n.executions.Range(func(id, count any) bool {
		if c := count.(*atomic.Int64).Load(); c > 1 {
			t.Errorf("%v was executed %d times", id, c)
		}
		return true
	})
}

// TestReplacementWhilePredecessorDrains repeatedly replaces a process whose own predecessor still has requests in flight, and checks that
// clients do not notice. A process once took the end of that predecessor for the end of its successor, and closed its clients'
// connections instead of handing them over.
func TestReplacementWhilePredecessorDrains(t *testing.T) {
	n := newTestNode(t)
	n.serviceTime = 100 * time.Millisecond
	current := n.start()
	current.waitForReply("status", "OK")
	load := n.startLoad(40)
	time.Sleep(2 * n.serviceTime)
	var stopping sync.WaitGroup
	for range 4 {
		successor := n.start()
		successor.waitForReply("status", "OK")
		predecessor := current
		stopping.Go(func() { predecessor.signalAndWait(syscall.SIGTERM, 2*time.Second) })
		time.Sleep(time.Millisecond)
		current = successor
	}
	stopping.Wait()
	time.Sleep(2 * n.serviceTime)
	load.stop(t)
	n.executions.Range(func(id, count any) bool {
		if c := count.(*atomic.Int64).Load(); c > 1 {
			t.Errorf("%v was executed %d times", id, c)
		}
		return true
	})
}

// TestSharedSocketInBlockingMode leaves the shared listening socket in blocking mode, as Go does when it passes a file to a process. In
// that mode a process once blocked in accept(2), took a connection that its successor should have accepted, reset that connection, and
// could not exit.
func TestSharedSocketInBlockingMode(t *testing.T) {
	n := newTestNode(t)
	request := func(id string) {
		t.Helper()
		conn, err := net.Dial("tcp", n.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer closeAll(conn)
		load := &loadGenerator{}
		if !load.request(conn, bufio.NewReader(conn)) || load.failed.Load() > 0 {
			t.Errorf("%s: %v", id, load.lastFailure.Load())
		}
	}
	setBlocking := func() {
		t.Helper()
		if err := syscall.SetNonblock(int(n.socket.Fd()), false); err != nil {
			t.Fatal(err)
		}
	}
	current := n.start()
	current.waitForReply("status", "OK")
	setBlocking()
	request("before a successor") // after this connection the process waits in the next accept
	successor := n.start()
	successor.waitForReply("status", "OK")
	for range 3 {
		request("beside a successor")
	}
	current.signalAndWait(syscall.SIGTERM, 2*time.Second)
	setBlocking()
	request("after the successor took over")
	successor.signalAndWait(syscall.SIGTERM, 2*time.Second)
}

// TestSuccessorKilled checks that a successor that is killed, before or after it is ready, leaves its predecessor serving clients and its
// admin port, and that the next successor can still take over.
func TestSuccessorKilled(t *testing.T) {
	n := newTestNode(t)
	current := n.start()
	current.waitForReply("status", "OK")
	for _, lifetime := range []time.Duration{0, 5 * time.Millisecond, 100 * time.Millisecond} {
		successor := n.start()
		time.Sleep(lifetime)
		if lifetime > 50*time.Millisecond {
			successor.waitForReply("status", "OK")
		}
		successor.signalAndWait(syscall.SIGKILL, time.Second)
		time.Sleep(20 * time.Millisecond)
		current.waitForReply("status", "OK")
		load := n.startLoad(4)
		time.Sleep(50 * time.Millisecond)
		load.stop(t)
	}
	successor := n.start()
	successor.waitForReply("status", "OK")
	load := n.startLoad(4)
	current.signalAndWait(syscall.SIGTERM, 2*time.Second)
	time.Sleep(50 * time.Millisecond)
	load.stop(t)
}

// checkExcluded checks that a cache server receives no requests while a load runs.
func (n *testNode) checkExcluded(server int) {
	n.t.Helper()
	time.Sleep(20 * time.Millisecond) // for requests in flight
	receivedBefore := n.received[server].Load()
	load := n.startLoad(4)
	time.Sleep(60 * time.Millisecond)
	load.stop(n.t)
	if received := n.received[server].Load() - receivedBefore; received > 0 {
		n.t.Errorf("server %d is excluded and has received %d requests", server, received)
	}
}

// TestExclusionsSurviveProcessExit checks that a command on the admin port of either process applies to both, and remains in effect when
// the process that received it exits or is killed.
func TestExclusionsSurviveProcessExit(t *testing.T) {
	n := newTestNode(t)
	current := n.start()
	current.waitForReply("status", "OK")
	current.waitForReply("maint-on s0", "OK")
	current.waitForReply("maint-on s7", "ERR")
	successor := n.start()
	successor.waitForReply("status", "OK")
	n.checkExcluded(0)
	successor.waitForReply("maint-off s0", "OK") // on the successor's port while both processes run
	current.waitForReply("maint-on s1", "OK")    // and on the predecessor's port
	successor.waitForReply("standby", "OK")
	current.waitForReply("status", "ERR")
	current.waitForReply("active", "OK")
	successor.waitForReply("status", "OK")
	n.checkExcluded(1)
	current.signalAndWait(syscall.SIGTERM, 2*time.Second)
	n.checkExcluded(1)
	successor.signalAndWait(syscall.SIGKILL, time.Second)
	current = n.start()
	current.waitForReply("status", "OK")
	n.checkExcluded(1)
	current.waitForReply("maint-off s1", "OK")
}

// TestSnapshotsAcrossHotRestarts checks that the snapshot directory passes to a successor when its predecessor ends or is killed. Each
// process writes there once it has the lock, and no other process can.
func TestSnapshotsAcrossHotRestarts(t *testing.T) {
	n := newTestNode(t)
	dir := filepath.Join(n.dir, "learnt")
	n.writeOperatorFile(fmt.Sprintf("[snapshot]\ndata_dir = %q\ninterval = \"1s\"\n", dir))
	current := n.start()
	current.waitForReply("status", "OK")
	load := n.startLoad(8)
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGKILL} {
		time.Sleep(100 * time.Millisecond)
		successor := n.start()
		successor.waitForReply("status", "OK")
		successor.log.WaitFor(t, "waiting for the snapshot directory")
		if sig == syscall.SIGKILL {
			load.stop(t) // clients that are not handed over yet would lose their connections
		}
		signalledAt := float64(time.Now().UnixMilli())
		current.signalAndWait(sig, 2*time.Second)
		successor.log.WaitFor(t, "acquired the snapshot directory")
		if _, err := snapshotfile.Open(dir); !errors.Is(err, snapshotfile.ErrLocked) {
			t.Errorf("while a process uses the directory: %v", err)
		}
		s, err := snapshotfile.Load(dir)
		if err != nil || s == nil || s.Node != "n3" || len(s.Servers) != 2 {
			t.Fatalf("after %v: %+v, %v", sig, s, err)
		}
		if sig == syscall.SIGTERM && s.TakenAt < signalledAt {
			t.Errorf("the snapshot was taken %.0f ms before the process was signalled to stop", signalledAt-s.TakenAt)
		}
		current = successor
	}
	signalledAt := float64(time.Now().UnixMilli())
	current.signalAndWait(syscall.SIGTERM, 2*time.Second)
	if s, err := snapshotfile.Load(dir); err != nil || s == nil || s.TakenAt < signalledAt || len(s.Servers) != 2 {
		t.Errorf("after the last process: %+v, %v", s, err)
	}
}

// TestConfigurationReplacedDuringTakeover replaces the configuration while a successor starts, which has read the earlier file and cannot
// be signalled yet. The new configuration must be in effect after the takeover; it once took effect at the next SIGHUP only.
func TestConfigurationReplacedDuringTakeover(t *testing.T) {
	skipUnlessTraceable(t)
	t.Parallel()
	n := newTestNode(t)
	current := n.start()
	current.waitForReply("status", "OK")
	n.faultPlan = "calls=socket,errno=ENFILE,for=1s" // delays the successor after it has read its configuration
	successor := n.start()
	time.Sleep(500 * time.Millisecond)
	successor.replaceInConfig(`"MaxExecutions":4`, `"MaxExecutions":3`)
	successor.waitForReply("status", "OK")
	current.signalAndWait(syscall.SIGTERM, 2*time.Second)
	successor.log.WaitFor(t, "reloaded the configuration")
}
