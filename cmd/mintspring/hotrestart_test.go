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

// minRequests is how many requests a requestLoad sends at least.
const minRequests = 20

// requestLoad sends requests on persistent connections, one after the other on each, until it is stopped.
type requestLoad struct {
	stopped  atomic.Bool
	wg       sync.WaitGroup
	nextID   atomic.Int64
	sent     atomic.Int64
	rejected atomic.Int64 // a machine that is busy with other tests is slow, and that does no harm
	failed   atomic.Int64 // without their value
	lastFail atomic.Value // string
}

func (n *testNode) startLoad(clients int) *requestLoad {
	l := &requestLoad{}
	for range clients {
		l.wg.Go(func() {
			conn, err := net.Dial("tcp", n.addr)
			if err != nil {
				l.fail("", err)
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

func (l *requestLoad) fail(line string, err error) {
	l.failed.Add(1)
	l.lastFail.Store(fmt.Sprintf("%q, %v", line, err))
}

// request sends a request and reads its reply, and reports whether the connection can be used again.
func (l *requestLoad) request(conn net.Conn, r *bufio.Reader) bool {
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
		l.fail(line, err)
	}
	return err == nil
}

// exchange writes a request, and returns the value of its reply or the line in place of it.
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

// stop ends the load, once it has sent some requests, and checks that all had their value.
func (l *requestLoad) stop(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); l.sent.Load() < minRequests && time.Now().Before(deadline); { // a busy machine sends fewer
		time.Sleep(time.Millisecond)
	}
	l.stopped.Store(true)
	l.wg.Wait()
	sent := l.sent.Load()
	if n := l.rejected.Load(); n > 5+sent/20 {
		t.Errorf("%d of %d requests were rejected", n, sent)
	}
	if n := l.failed.Load(); n > 0 || sent < minRequests {
		t.Errorf("%d of %d requests did not get their value, the last: %v", n, sent, l.lastFail.Load())
	}
}

// TestHotRestartUnderLoad: three processes take over one after another, while clients go on using their connections and
// notice nothing.
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
		current.signal(syscall.SIGTERM, 2*time.Second)
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

// A process is replaced while its own predecessor still has requests in flight, again and again: clients notice nothing. The end of that
// predecessor was once taken for that of the successor, and the process closed its clients' connections in place of handing them over.
func TestReplacementBesideAnEndingPredecessor(t *testing.T) {
	n := newTestNode(t)
	n.work = 100 * time.Millisecond
	current := n.start()
	current.waitForReply("status", "OK")
	load := n.startLoad(40)
	time.Sleep(2 * n.work)
	var ending sync.WaitGroup
	for range 4 {
		successor := n.start()
		successor.waitForReply("status", "OK")
		predecessor := current
		ending.Go(func() { predecessor.signal(syscall.SIGTERM, 2*time.Second) })
		time.Sleep(time.Millisecond)
		current = successor
	}
	ending.Wait()
	time.Sleep(2 * n.work)
	load.stop(t)
	n.executions.Range(func(id, count any) bool {
		if c := count.(*atomic.Int64).Load(); c > 1 {
			t.Errorf("%v was executed %d times", id, c)
		}
		return true
	})
}

// The listening socket is shared, and so is its mode: whoever holds it for the processes may leave it blocking, as Go does where it passes a
// file to a process. A process once sat in accept(2) then, took a connection from its successor, which it reset, and could not end.
func TestSharedSocketInBlockingMode(t *testing.T) {
	n := newTestNode(t)
	request := func(id string) {
		t.Helper()
		conn, err := net.Dial("tcp", n.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer closeAll(conn)
		load := &requestLoad{}
		if !load.request(conn, bufio.NewReader(conn)) || load.failed.Load() > 0 {
			t.Errorf("%s: %v", id, load.lastFail.Load())
		}
	}
	blocking := func() {
		t.Helper()
		if err := syscall.SetNonblock(int(n.socket.Fd()), false); err != nil {
			t.Fatal(err)
		}
	}
	current := n.start()
	current.waitForReply("status", "OK")
	blocking()
	request("before a successor") // from its accept on, the process sits in the next one
	successor := n.start()
	successor.waitForReply("status", "OK")
	for range 3 {
		request("beside a successor")
	}
	current.signal(syscall.SIGTERM, 2*time.Second)
	blocking()
	request("after the successor took over")
	successor.signal(syscall.SIGTERM, 2*time.Second)
}

// TestSuccessorDies: a successor that dies, before it is ready or after, leaves its predecessor serving, with its admin port and
// its clients; and the next one takes over all the same.
func TestSuccessorDies(t *testing.T) {
	n := newTestNode(t)
	current := n.start()
	current.waitForReply("status", "OK")
	for _, lifetime := range []time.Duration{0, 5 * time.Millisecond, 100 * time.Millisecond} {
		successor := n.start()
		time.Sleep(lifetime)
		if lifetime > 50*time.Millisecond {
			successor.waitForReply("status", "OK")
		}
		successor.signal(syscall.SIGKILL, time.Second)
		time.Sleep(20 * time.Millisecond)
		current.waitForReply("status", "OK")
		load := n.startLoad(4)
		time.Sleep(50 * time.Millisecond)
		load.stop(t)
	}
	successor := n.start()
	successor.waitForReply("status", "OK")
	load := n.startLoad(4)
	current.signal(syscall.SIGTERM, 2*time.Second)
	time.Sleep(50 * time.Millisecond)
	load.stop(t)
}

// checkExcluded checks that a cache server receives nothing while others do.
func (n *testNode) checkExcluded(server int) {
	n.t.Helper()
	time.Sleep(20 * time.Millisecond) // for what is under way
	before := n.received[server].Load()
	load := n.startLoad(4)
	time.Sleep(60 * time.Millisecond)
	load.stop(n.t)
	if received := n.received[server].Load() - before; received > 0 {
		n.t.Errorf("server %d is excluded and has received %d requests", server, received)
	}
}

// TestExclusionsOutliveTheProcess: commands on either admin port apply to both processes, and outlive the process that they were
// sent to, also one that is killed.
func TestExclusionsOutliveTheProcess(t *testing.T) {
	n := newTestNode(t)
	current := n.start()
	current.waitForReply("status", "OK")
	current.waitForReply("maint-on s0", "OK")
	current.waitForReply("maint-on s7", "ERR")
	successor := n.start()
	successor.waitForReply("status", "OK")
	n.checkExcluded(0)
	successor.waitForReply("maint-off s0", "OK") // on the new port while both are there
	current.waitForReply("maint-on s1", "OK")    // and on the old one
	successor.waitForReply("standby", "OK")
	current.waitForReply("status", "ERR")
	current.waitForReply("active", "OK")
	successor.waitForReply("status", "OK")
	n.checkExcluded(1)
	current.signal(syscall.SIGTERM, 2*time.Second)
	n.checkExcluded(1)
	successor.signal(syscall.SIGKILL, time.Second)
	current = n.start()
	current.waitForReply("status", "OK")
	n.checkExcluded(1)
	current.waitForReply("maint-off s1", "OK")
}

// TestSnapshotsAcrossHotRestarts: the snapshot directory goes from process to process: to a successor when its predecessor ends,
// and to one whose predecessor is killed. Each writes there once it has the lock, and no other does.
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
			load.stop(t) // clients that are not handed over yet would lose their connection
		}
		endedAt := float64(time.Now().UnixMilli())
		current.signal(sig, 2*time.Second)
		successor.log.WaitFor(t, "acquired the snapshot directory")
		if _, err := snapshotfile.Open(dir); !errors.Is(err, snapshotfile.ErrLocked) {
			t.Errorf("while a process uses the directory: %v", err)
		}
		s, err := snapshotfile.Load(dir)
		if err != nil || s == nil || s.Node != "n3" || len(s.Servers) != 2 {
			t.Fatalf("after %v: %+v, %v", sig, s, err)
		}
		if sig == syscall.SIGTERM && s.TakenAt < endedAt {
			t.Errorf("the snapshot is of %.0f ms before the end of the process that has ended", endedAt-s.TakenAt)
		}
		current = successor
	}
	endedAt := float64(time.Now().UnixMilli())
	current.signal(syscall.SIGTERM, 2*time.Second)
	if s, err := snapshotfile.Load(dir); err != nil || s == nil || s.TakenAt < endedAt || len(s.Servers) != 2 {
		t.Errorf("after the last process: %+v, %v", s, err)
	}
}

// A configuration that is replaced while a successor starts, which has read the one before and may not be signalled yet, is in force once it
// has taken over. It was once read at the next SIGHUP only.
func TestConfigurationReplacedDuringTakeover(t *testing.T) {
	skipUntraceable(t)
	t.Parallel()
	n := newTestNode(t)
	current := n.start()
	current.waitForReply("status", "OK")
	n.faults = "calls=socket,errno=ENFILE,for=1s" // which holds it up behind its configuration
	successor := n.start()
	time.Sleep(500 * time.Millisecond)
	successor.rewriteConfig(`"MaxExecutions":4`, `"MaxExecutions":3`)
	successor.waitForReply("status", "OK")
	current.signal(syscall.SIGTERM, 2*time.Second)
	successor.log.WaitFor(t, "reloaded the configuration")
}
