package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mintspring/internal/cluster/consensus/storage"
	"mintspring/internal/config/operatorfile"
	"mintspring/internal/testbed/loopbacktest"
)

// serverList is a discovery service of two servers whose processes can be restarted.
type serverList struct {
	mu       sync.Mutex // guards the fields below
	revision int
	addrs    map[string]string      // by id
	started  map[string]int64       // by id, Unix ms
	watchers map[chan struct{}]bool // each has room for one change
}

func newServerList(addrs map[string]string) *serverList {
	return &serverList{revision: 1, addrs: addrs, started: map[string]int64{}, watchers: map[chan struct{}]bool{}}
}

func (l *serverList) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var members []string
	for _, id := range []string{"s0", "s1"} {
		members = append(members, fmt.Sprintf(`{"id":%q,"host_port":%q,"phase":"in_service","up_since_ms":%d}`, id, l.addrs[id], l.started[id]))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, l.revision, strings.Join(members, ","))
}

func (l *serverList) restart(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision++
	l.started[id] = time.Now().UnixMilli()
	for c := range l.watchers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

func (l *serverList) restarted(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started[id] > 0
}

func (l *serverList) watch(c chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watchers[c] = true
}

func (l *serverList) unwatch(c chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.watchers, c)
}

// ServeHTTP serves the list and watches of it.
func (l *serverList) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	c := make(chan struct{}, 1)
	l.watch(c)
	defer l.unwatch(c)
	send := func(text string) {
		_, _ = fmt.Fprintln(w, text) // the node may have gone
		w.(http.Flusher).Flush()
	}
	send(l.text())
	for req.URL.Query().Has("watch") {
		select {
		case <-c:
			send(l.text())
		case <-time.After(time.Second):
			send("")
		case <-req.Context().Done():
			return
		}
	}
}

// sendRequests sends requests to a node, whatever becomes of them, until stop is closed.
func sendRequests(addr string, stop <-chan struct{}) {
	for connection := 0; !isClosed(stop); connection++ {
		conn, err := net.DialTimeout("tcp4", addr, 200*time.Millisecond)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		r := bufio.NewReader(conn)
		for i := 0; !isClosed(stop); i++ {
			if err := sendRequest(conn, r, fmt.Sprint("key", i%64), fmt.Sprintf("%s-%d-%d", addr, connection, i)); err != nil {
				break
			}
			time.Sleep(3 * time.Millisecond)
		}
		closeAll(conn)
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func sendRequest(conn net.Conn, r *bufio.Reader, key, id string) error {
	if err := conn.SetDeadline(time.Now().Add(time.Second)); err != nil {
		return err
	}
	_, err := fmt.Fprintf(conn, "*4\r\n$6\r\nKV.GET\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$12\r\nc=read,d=500\r\n", len(key), key, len(id), id)
	if err != nil {
		return err
	}
	line, err := r.ReadString('\n')
	if err == nil && line[0] == '$' {
		_, err = io.CopyN(io.Discard, r, 5)
	}
	return err
}

// coordinatorLine is logged by the node that coordinates a rolling restart.
const coordinatorLine = "acquired the maintenance lease"

// coordinatedFleet is nodes that are members of a consensus group, with two servers that are shared by all.
type coordinatedFleet struct {
	t         *testing.T
	servers   *testNode
	list      *serverList
	discovery string
	faults    string   // plan of failing system calls of the nodes; empty: none
	members   []string // addresses in the group; three initial ones, and one that is added later
	nodes     []*testNode
	processes []*nodeProcess
	stop      chan struct{} // closed when no more requests are to be sent

	killed       bool // the coordinator was killed
	restarts     [2]int
	lastReceived [2]int64
	idleLooks    [2]int // how often in a row a server had received nothing
}

func newCoordinatedFleet(t *testing.T, faults string) *coordinatedFleet {
	t.Helper()
	f := &coordinatedFleet{t: t, faults: faults, servers: newTestNode(t), members: reserveUDP(t, 4), stop: make(chan struct{})}
	t.Cleanup(func() { close(f.stop) })
	resp, err := http.Get("http://" + f.servers.discovery)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close() //nolint:errcheck // it is read to its end
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	addrs := map[string]string{}
	for i, part := range strings.Split(string(text), `"host_port":"`)[1:] {
		addrs[serverID(i)], _, _ = strings.Cut(part, `"`)
	}
	f.list = newServerList(addrs)
	service := loopbacktest.StartServer(f.t, f.list)
	t.Cleanup(service.CloseClientConnections)
	f.discovery = service.Listener.Addr().String()
	for i := range 3 {
		f.startNode(i)
	}
	return f
}

func serverID(i int) string { return fmt.Sprint("s", i) }

// consensusDir is the data directory of a node.
func (f *coordinatedFleet) consensusDir(n *testNode) string { return filepath.Join(n.dir, "council") }

// startNode starts the next node and sends requests to it.
func (f *coordinatedFleet) startNode(i int) {
	f.t.Helper()
	n := newTestNode(f.t)
	n.faults = f.faults
	n.discovery, n.guarantees = f.discovery, `,"WarmWithin":300000,"StartCapacity":0.5,"FallMultiple":4,"TipAfter":2000000`
	n.writeOperatorFile(fmt.Sprintf(`[consensus]
name = "c"
members = [%q, %q, %q, %q]
initial_members = 3
member = %d
data_dir = %q
lease = "600ms"
poll_interval = "100ms"
`, f.members[0], f.members[1], f.members[2], f.members[3], i+1, f.consensusDir(n)))
	if err := storage.Create(f.consensusDir(n), storage.Identity{Group: "c", ReplicaNumber: uint64(i + 1)}); err != nil {
		f.t.Fatal(err)
	}
	if _, err := operatorfile.Read(n.operator); err != nil {
		f.t.Fatal(err)
	}
	p := n.start()
	p.waitForReply("status", "OK")
	go sendRequests(n.addr, f.stop)
	f.nodes, f.processes = append(f.nodes, n), append(f.processes, p)
}

// call makes a call on the admin port of whichever node carries it out.
func (f *coordinatedFleet) call(line string) (text string, err error) {
	for _, p := range f.processes {
		if text, err = callAdmin(p.adminAddr, line); err == nil {
			return text, nil
		}
	}
	return "", err
}

// look counts for how many looks in a row each server has received nothing.
func (f *coordinatedFleet) look() {
	for i := range f.idleLooks {
		received := f.servers.received[i].Load()
		if received == f.lastReceived[i] {
			f.idleLooks[i]++
		} else {
			f.idleLooks[i] = 0
		}
		f.lastReceived[i] = received
	}
}

// restartExcluded restarts a server that has been idle for a while, which is excluded then. Before the first, the node that
// coordinates the rolling restart is killed.
func (f *coordinatedFleet) restartExcluded() {
	f.t.Helper()
	f.look()
	// On a machine that is busy elsewhere both are idle for a moment too: nothing is restarted then, and if both were excluded they
	// would stay idle.
	if f.idleLooks[0] >= 30 && f.idleLooks[1] >= 30 {
		f.t.Fatal("both servers are excluded")
	}
	if f.idleLooks[0] >= 2 && f.idleLooks[1] >= 2 {
		return
	}
	for i, looks := range f.idleLooks {
		if looks < 4 || f.list.restarted(serverID(i)) {
			continue
		}
		if !f.killed {
			f.killed = true
			f.killCoordinator()
		}
		f.restarts[i]++
		f.list.restart(serverID(i))
	}
}

func (f *coordinatedFleet) killCoordinator() {
	f.t.Helper()
	coordinator := -1
	for i, p := range f.processes {
		if strings.Contains(p.log.String(), coordinatorLine) {
			coordinator = i
		}
	}
	if coordinator < 0 {
		f.t.Fatal("no node coordinates")
	}
	f.processes[coordinator].signal(syscall.SIGKILL, time.Second)
	f.processes[coordinator] = f.nodes[coordinator].start()
}

// rollingRestart restarts both servers.
func (f *coordinatedFleet) rollingRestart() {
	f.t.Helper()
	eventually(f.t, 30*time.Second, func() error {
		_, err := f.call("roll start 1 s0,s1")
		return err
	})
	if _, err := f.call("roll start 1 s0"); err == nil {
		f.t.Error("a second rolling restart is started beside the first")
	}
	for deadline := time.Now().Add(60 * time.Second); ; {
		time.Sleep(100 * time.Millisecond)
		f.restartExcluded()
		text, err := f.call("roll show")
		if err == nil && strings.HasPrefix(text, "over") {
			if !strings.Contains(text, "done s0,s1") {
				f.t.Error(text)
			}
			break
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("the rolling restart does not end: %s, %v; restarts %v", text, err, f.restarts)
		}
	}
	if f.restarts != [2]int{1, 1} {
		f.t.Errorf("restarts %v", f.restarts)
	}
	coordinators := 0
	for _, p := range f.processes {
		if strings.Contains(p.log.String(), coordinatorLine) {
			coordinators++
		}
	}
	if coordinators == 0 {
		f.t.Error("no node went on after the coordinator's death")
	}
}

// replaceFirstMember loses the directory of the first member, which rejoins under another generation and gets a vote.
func (f *coordinatedFleet) replaceFirstMember() {
	f.t.Helper()
	n := f.nodes[0]
	f.processes[0].signal(syscall.SIGKILL, time.Second)
	if err := os.RemoveAll(f.consensusDir(n)); err != nil {
		f.t.Fatal(err)
	}
	without := n.start()
	without.log.WaitFor(f.t, "data directory is not initialized")
	without.signal(syscall.SIGKILL, time.Second)
	text, err := os.ReadFile(n.operator)
	if err != nil {
		f.t.Fatal(err)
	}
	n.writeOperatorFile(string(text) + "generation = 1\n")
	if err := (&consensusInitCmd{Operator: n.operator}).Run(); err != nil {
		f.t.Fatal(err)
	}
	f.processes[0] = n.start()
	f.processes[0].waitForReply("status", "OK")
	f.changeMembers("1(1)", func() error { return (&rejoinReplicaCmd{f.processes[1].adminAddr, 1, 1}).Run() })
}

// changeMembers repeats a change until the third process logs the wanted voters.
func (f *coordinatedFleet) changeMembers(voters string, change func() error) {
	f.t.Helper()
	p := f.processes[2]
	eventually(f.t, 30*time.Second, func() error {
		if strings.Contains(p.log.String(), voters) {
			return nil
		}
		if err := change(); err != nil {
			return fmt.Errorf("changing the members: %w", err)
		}
		return fmt.Errorf("the voters are not %s", voters)
	})
}

// TestRollingRestart: three processes, each a node and a member of the consensus group, have two servers restarted one after the
// other. The node that coordinates is killed while the first server is excluded; another goes on where it stopped. By what the
// servers saw, both were never excluded at once, and each was once. Then a member rejoins after the loss of its directory,
// another is added and one is removed, and the group goes on with the new one.
func TestRollingRestart(t *testing.T) { checkRollingRestart(newCoordinatedFleet(t, "")) }

// The same, while the directories of the group fail for a second in every four, at every member: the group goes on between the faults, and
// nothing of its plan is lost.
func TestRollingRestartOnFailingDisks(t *testing.T) {
	skipUntraceable(t)
	t.Parallel()
	f := newCoordinatedFleet(t, "calls=sync+rename,errno=EIO,path=council,from=2s,for=1s,every=4s")
	checkRollingRestart(f)
	if !slices.ContainsFunc(f.processes, func(p *nodeProcess) bool {
		return strings.Contains(p.log.String(), "the first call of rename+sync fails")
	}) {
		t.Error("no call has failed")
	}
}

func checkRollingRestart(f *coordinatedFleet) {
	f.t.Helper()
	f.rollingRestart()
	f.replaceFirstMember()
	f.startNode(3)
	f.changeMembers(`voters="2(0) 3(0) 4(0) 1(1)"`, func() error { return (&addReplicaCmd{f.processes[2].adminAddr, 4, 0}).Run() })
	f.changeMembers(`voters="3(0) 4(0) 1(1)"`, func() error { return (&removeReplicaCmd{f.processes[2].adminAddr, 2}).Run() })
	f.processes[1].signal(syscall.SIGKILL, time.Second)
	f.processes[0].signal(syscall.SIGKILL, time.Second) // two of three voters are left
	eventually(f.t, 30*time.Second, func() error {
		text, err := callAdmin(f.processes[2].adminAddr, "roll show")
		if err == nil && !strings.Contains(text, "done s0,s1") {
			err = fmt.Errorf("the plan is %s", text)
		}
		return err
	})
}
