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

// discoveryService is a discovery service with two servers that can be marked as restarted.
type discoveryService struct {
	mu         sync.Mutex // guards the fields below
	revision   int
	addrs      map[string]string      // by id
	startTimes map[string]int64       // by id, Unix ms
	watchers   map[chan struct{}]bool // each buffers one notification
}

func newDiscoveryService(addrs map[string]string) *discoveryService {
	return &discoveryService{revision: 1, addrs: addrs, startTimes: map[string]int64{}, watchers: map[chan struct{}]bool{}}
}

func (s *discoveryService) endpointList() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var members []string
	for _, id := range []string{"s0", "s1"} {
		members = append(members, fmt.Sprintf(`{"id":%q,"host_port":%q,"phase":"in_service","up_since_ms":%d}`, id, s.addrs[id], s.startTimes[id]))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, s.revision, strings.Join(members, ","))
}

func (s *discoveryService) markRestarted(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.startTimes[id] = time.Now().UnixMilli()
	for c := range s.watchers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

func (s *discoveryService) restarted(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startTimes[id] > 0
}

func (s *discoveryService) watch(c chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers[c] = true
}

func (s *discoveryService) unwatch(c chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, c)
}

// ServeHTTP sends the endpoint list. To a watch it also sends each change of the list.
func (s *discoveryService) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	changed := make(chan struct{}, 1)
	s.watch(changed)
	defer s.unwatch(changed)
	send := func(text string) {
		_, _ = fmt.Fprintln(w, text) // the node may have closed the connection
		w.(http.Flusher).Flush()
	}
	send(s.endpointList())
	for req.URL.Query().Has("watch") {
		select {
		case <-changed:
			send(s.endpointList())
		case <-time.After(time.Second):
			send("")
		case <-req.Context().Done():
			return
		}
	}
}

// sendRequests sends requests to a node until stop is closed, and ignores their results.
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

// coordinatorLogLine is logged by the node that coordinates a rolling restart.
const coordinatorLogLine = "acquired the maintenance lease"

// consensusFleet is a fleet whose nodes are the members of a consensus group and share two cache servers.
type consensusFleet struct {
	t             *testing.T
	cacheServers  *testNode
	service       *discoveryService
	discoveryAddr string
	faultPlan     string   // plan of failing system calls of the nodes; empty: none
	members       []string // addresses of the group: three initial members, and one that is added later
	nodes         []*testNode
	processes     []*nodeProcess
	stopRequests  chan struct{} // closed when no more requests are to be sent

	coordinatorKilled bool
	restarts          [2]int // by server
	lastReceived      [2]int64
	idlePolls         [2]int // consecutive polls in which a server had received no requests
}

func newConsensusFleet(t *testing.T, faults string) *consensusFleet {
	t.Helper()
	f := &consensusFleet{t: t, faultPlan: faults, cacheServers: newTestNode(t), members: reserveUDP(t, 4), stopRequests: make(chan struct{})}
	t.Cleanup(func() { close(f.stopRequests) })
	resp, err := http.Get("http://" + f.cacheServers.discovery)
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
	f.service = newDiscoveryService(addrs)
	server := loopbacktest.StartServer(f.t, f.service)
	t.Cleanup(server.CloseClientConnections)
	f.discoveryAddr = server.Listener.Addr().String()
	for i := range 3 {
		f.startNode(i)
	}
	return f
}

func serverID(i int) string { return fmt.Sprint("s", i) }

// consensusDir is the data directory of a node.
func (f *consensusFleet) consensusDir(n *testNode) string { return filepath.Join(n.dir, "council") }

// startNode starts node i, which must be the next one, and sends requests to it.
func (f *consensusFleet) startNode(i int) {
	f.t.Helper()
	n := newTestNode(f.t)
	n.faultPlan = f.faultPlan
	n.discovery, n.extraGuarantees = f.discoveryAddr, `,"WarmWithin":300000,"StartCapacity":0.5,"FallMultiple":4,"TipAfter":2000000`
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
	if _, err := operatorfile.Read(n.operatorFile); err != nil {
		f.t.Fatal(err)
	}
	p := n.start()
	p.waitForReply("status", "OK")
	go sendRequests(n.addr, f.stopRequests)
	f.nodes, f.processes = append(f.nodes, n), append(f.processes, p)
}

// callAnyNode makes a call on the admin port of one node after another until one succeeds.
func (f *consensusFleet) callAnyNode(line string) (text string, err error) {
	for _, p := range f.processes {
		if text, err = callAdmin(p.adminAddr, line); err == nil {
			return text, nil
		}
	}
	return "", err
}

// pollServers counts the consecutive polls in which each server has received no requests.
func (f *consensusFleet) pollServers() {
	for i := range f.idlePolls {
		received := f.cacheServers.received[i].Load()
		if received == f.lastReceived[i] {
			f.idlePolls[i]++
		} else {
			f.idlePolls[i] = 0
		}
		f.lastReceived[i] = received
	}
}

// restartExcludedServer restarts a server that has been idle for several polls, because such a server is excluded. Before the first
// restart it kills the node that coordinates the rolling restart.
func (f *consensusFleet) restartExcludedServer() {
	f.t.Helper()
	f.pollServers()
	// On a busy machine both servers may be idle for a moment although they are not excluded. Nothing is restarted then. If both are
	// excluded, they stay idle.
	if f.idlePolls[0] >= 30 && f.idlePolls[1] >= 30 {
		f.t.Fatal("both servers are excluded")
	}
	if f.idlePolls[0] >= 2 && f.idlePolls[1] >= 2 {
		return
	}
	for i, polls := range f.idlePolls {
		if polls < 4 || f.service.restarted(serverID(i)) {
			continue
		}
		if !f.coordinatorKilled {
			f.coordinatorKilled = true
			f.killCoordinator()
		}
		f.restarts[i]++
		f.service.markRestarted(serverID(i))
	}
}

func (f *consensusFleet) killCoordinator() {
	f.t.Helper()
	coordinator := -1
	for i, p := range f.processes {
		if strings.Contains(p.log.String(), coordinatorLogLine) {
			coordinator = i
		}
	}
	if coordinator < 0 {
		f.t.Fatal("no node coordinates")
	}
	f.processes[coordinator].signalAndWait(syscall.SIGKILL, time.Second)
	f.processes[coordinator] = f.nodes[coordinator].start()
}

// rollingRestart runs a rolling restart of both servers and checks its progress.
func (f *consensusFleet) rollingRestart() {
	f.t.Helper()
	eventually(f.t, 30*time.Second, func() error {
		_, err := f.callAnyNode("roll start 1 s0,s1")
		return err
	})
	if _, err := f.callAnyNode("roll start 1 s0"); err == nil {
		f.t.Error("a second rolling restart is started beside the first")
	}
	for deadline := time.Now().Add(60 * time.Second); ; {
		time.Sleep(100 * time.Millisecond)
		f.restartExcludedServer()
		text, err := f.callAnyNode("roll show")
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
		if strings.Contains(p.log.String(), coordinatorLogLine) {
			coordinators++
		}
	}
	if coordinators == 0 {
		f.t.Error("no node took over after the coordinator was killed")
	}
}

// replaceFirstMember deletes the data directory of the first member, which then rejoins in a new generation and becomes a voter again.
func (f *consensusFleet) replaceFirstMember() {
	f.t.Helper()
	n := f.nodes[0]
	f.processes[0].signalAndWait(syscall.SIGKILL, time.Second)
	if err := os.RemoveAll(f.consensusDir(n)); err != nil {
		f.t.Fatal(err)
	}
	uninitialized := n.start()
	uninitialized.log.WaitFor(f.t, "data directory is not initialized")
	uninitialized.signalAndWait(syscall.SIGKILL, time.Second)
	text, err := os.ReadFile(n.operatorFile)
	if err != nil {
		f.t.Fatal(err)
	}
	n.writeOperatorFile(string(text) + "generation = 1\n")
	if err := (&consensusInitCmd{Operator: n.operatorFile}).Run(); err != nil {
		f.t.Fatal(err)
	}
	f.processes[0] = n.start()
	f.processes[0].waitForReply("status", "OK")
	f.changeMembers("1(1)", func() error { return (&rejoinReplicaCmd{f.processes[1].adminAddr, 1, 1}).Run() })
}

// changeMembers repeats a change until the third process logs the wanted voters.
func (f *consensusFleet) changeMembers(voters string, change func() error) {
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

// TestRollingRestart runs three processes, each a node and a member of the consensus group, that restart two servers one after the other.
// The coordinating node is killed while the first server is excluded, and another node continues from there. The requests that the
// servers receive must show that both were never excluded at once and that each was excluded once. Then a member rejoins after the loss
// of its directory, another is added, one is removed, and the group continues with the new member.
func TestRollingRestart(t *testing.T) { checkRollingRestart(newConsensusFleet(t, "")) }

// TestRollingRestartOnFailingDisks does the same as TestRollingRestart while the data directories of all members fail for one second in
// every four. The group must continue between the faults and lose no part of its plan.
func TestRollingRestartOnFailingDisks(t *testing.T) {
	skipUnlessTraceable(t)
	t.Parallel()
	f := newConsensusFleet(t, "calls=sync+rename,errno=EIO,path=council,from=2s,for=1s,every=4s")
	checkRollingRestart(f)
	if !slices.ContainsFunc(f.processes, func(p *nodeProcess) bool {
		return strings.Contains(p.log.String(), "the first call of rename+sync fails")
	}) {
		t.Error("no system call has failed")
	}
}

func checkRollingRestart(f *consensusFleet) {
	f.t.Helper()
	f.rollingRestart()
	f.replaceFirstMember()
	f.startNode(3)
	f.changeMembers(`voters="2(0) 3(0) 4(0) 1(1)"`, func() error { return (&addReplicaCmd{f.processes[2].adminAddr, 4, 0}).Run() })
	f.changeMembers(`voters="3(0) 4(0) 1(1)"`, func() error { return (&removeReplicaCmd{f.processes[2].adminAddr, 2}).Run() })
	f.processes[1].signalAndWait(syscall.SIGKILL, time.Second)
	f.processes[0].signalAndWait(syscall.SIGKILL, time.Second) // two of three voters are left
	eventually(f.t, 30*time.Second, func() error {
		text, err := callAdmin(f.processes[2].adminAddr, "roll show")
		if err == nil && !strings.Contains(text, "done s0,s1") {
			err = fmt.Errorf("the plan is %s", text)
		}
		return err
	})
}
