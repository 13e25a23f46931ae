package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"mintspring/internal/config/operatorfile"
	"mintspring/internal/fleet"
	"mintspring/internal/node/admin"
	"mintspring/internal/node/connpool"
	"mintspring/internal/node/hotrestart"
)

// An excluded server gets no request, whatever the endpoint list says about it, and is used again after one readmission, even if it was
// excluded twice. Commands with the origin's id, or an id that was never listed, fail.
func TestExclusion(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin)
	tc.expectPrefix(tc.request("KV.GET", "k", "1", "c=read,d=500"), "hit")
	for _, id := range []string{"s7", "", "o"} {
		for _, call := range []func(string) (string, error){tc.node.ExcludeServer, tc.node.ReadmitServer} {
			if answer, err := call(id); err == nil {
				t.Errorf("%q: %s", id, answer)
			}
		}
	}
	for range 2 {
		if _, err := tc.node.ExcludeServer("s0"); err != nil {
			t.Fatal(err)
		}
	}
	sent := tc.cacheRequests.Load()
	cacheEntry := entry("s0", tc.cacheAddrs[0], "box")
	origin := entry("o", tc.originAddr, "origin")
	for i, line := range []string{
		`{"revision":2,"complete":false,"members":[` + cacheEntry + `]}`,
		`{"revision":3,"complete":true,"members":[` + origin + `]}`,
		`{"revision":4,"complete":true,"members":[` + origin + `,` + strings.Replace(cacheEntry, `"size":1`, `"size":1,"up_since_ms":9`, 1) + `]}`,
	} {
		tc.listUpdates <- line
		time.Sleep(20 * time.Millisecond)
		tc.expectPrefix(tc.request("KV.GET", "k", fmt.Sprint("a", i), "c=read,d=500"), "GET /k")
	}
	if tc.cacheRequests.Load() != sent {
		t.Error("an excluded server was sent a request")
	}
	if _, err := tc.node.ReadmitServer("s0"); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	for i := 0; tc.cacheRequests.Load() == sent && time.Since(start) < 5*time.Second; i++ {
		tc.request("KV.GET", "k", fmt.Sprint("b", i), "c=read,d=500")
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("the readmitted server was not used for %v", took)
	}
	// The server is in slow start from the readmission on, though the list has no new start.
	tc.onLoop(func(now float64) {
		if endpoint := tc.node.effectiveEndpoint(now, tc.node.serverTable.SlotByID["s0"]); endpoint.State != fleet.Ready || now-endpoint.StartedAt > 10000 {
			t.Errorf("the readmitted server is %+v", endpoint)
		}
	})
}

// A server stays excluded if another server takes its slot and the list then names the excluded one again.
func TestExclusionSurvivesSlotReuse(t *testing.T) {
	tc := newTestCluster(t, 2, serveHit, echoOrigin)
	if _, err := tc.node.ExcludeServer("s0"); err != nil {
		t.Fatal(err)
	}
	tc.onLoop(func(now float64) {
		n := tc.node
		s0, err := json.Marshal(n.servers[n.serverTable.SlotByID["s0"]].entry)
		if err != nil {
			t.Error(err)
			return
		}
		listChanged{mode: fleet.ListDelta, entries: entryUpdates(t, `{"id":"s0","phase":"terminated"}`)}.handle(n, now)
		for i := range 3 {
			later := now + float64(i+1)*(n.serverTable.Retention+1000)
			listChanged{mode: fleet.ListDelta, entries: entryUpdates(t, entry(fmt.Sprint("n", i), tc.cacheAddrs[1], "box"))}.handle(n, later)
		}
		if _, known := n.serverTable.SlotByID["s0"]; known {
			t.Error("the slot of s0 was not reused")
		}
		listChanged{mode: fleet.ListDelta, entries: entryUpdates(t, string(s0))}.handle(n, now+1e6)
		if state := n.serverTable.State(n.serverTable.SlotByID["s0"]); state != fleet.Draining {
			t.Errorf("listed again, s0 is in state %v", state)
		}
	})
}

// PING and status fail at once when standby begins and succeed at once when it ends.
func TestStandby(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin)
	c := tc.dial()
	if got := requestOn(c, "PING"); got != "+PONG" {
		t.Errorf("PING: %q", got)
	}
	for range 2 {
		if _, err := tc.node.EnterStandby(); err != nil {
			t.Fatal(err)
		}
		if _, err := tc.node.Status(); err == nil || tc.ready() {
			t.Errorf("status on standby: %v", err)
		}
	}
	if got := requestOn(c, "PING"); !strings.HasPrefix(got, "-") {
		t.Errorf("PING on standby: %q", got)
	}
	tc.expectPrefix(tc.request("KV.GET", "k", "1", "c=read,d=500"), "hit") // new clients are still served
	if err := c.SetReadDeadline(time.Now().Add(3 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the connection stays open: %v", err)
	}
	if phase, err := tc.node.LeaveStandby(); err != nil || phase != "ready" || !tc.ready() {
		t.Errorf("after standby: %s, %v", phase, err)
	}
	tc.expectPrefix(tc.request("KV.GET", "k", "2", "c=read,d=500"), "hit")
}

// An exclusion that cannot be saved for the next process is in force in this one, and the command fails.
func TestExclusionThatCannotBeSaved(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin)
	path := filepath.Join(t.TempDir(), "handover")
	restartDir, err := hotrestart.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	tc.node.handover.dir = restartDir
	if err := os.RemoveAll(path); err != nil {
		t.Fatal(err)
	}
	if answer, err := tc.node.ExcludeServer("s0"); err == nil || !strings.Contains(err.Error(), "not beyond this process") {
		t.Errorf("%q, %v", answer, err)
	}
	tc.expectPrefix(tc.request("KV.GET", "k", "1", "c=read,d=500"), "GET /k")
	if _, err := tc.node.ExcludeServer("s0"); err == nil {
		t.Error("the repeated command reports that the exclusion is saved")
	}
	if err := os.MkdirAll(path, 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := tc.node.ExcludeServer("s0"); err != nil {
		t.Error(err)
	}
	if saved, err := restartDir.LoadExclusions(); err != nil || len(saved.Excluded) != 1 {
		t.Errorf("saved %+v, %v", saved, err)
	}
}

// Requests that wait for a connection to a server when it is excluded are not sent there; an attempt that was sent before may complete.
func TestExclusionReachesWaitingRequests(t *testing.T) {
	release := make(chan struct{})
	tc := newTestCluster(t, 1, func(c redcon.Conn, key, id string) {
		<-release
		serveHit(c, key, id)
	}, echoOrigin, func(c *Config) {
		c.Operator = &operatorfile.File{Connections: &operatorfile.Connections{MaxPerServer: 1}}
	})
	const requests = 8
	answers := make(chan string, requests)
	for i := range requests {
		go func() { answers <- tc.request("KV.GET", "k", fmt.Sprint("q", i), "c=read,d=590") }()
	}
	time.Sleep(30 * time.Millisecond) // a second connection would be open by then
	var pool connpool.State           // some requests may be answered by the origin, which is free
	deadline := time.Now().Add(5 * time.Second)
	for tc.cacheRequests.Load() == 0 || pool.InUse == 0 || pool.InUse+pool.Waiting+len(answers) < requests {
		if time.Sleep(time.Millisecond); time.Now().After(deadline) {
			t.Fatalf("%d attempts were sent, the pool is %+v, and %d requests are answered", tc.cacheRequests.Load(), pool, len(answers))
		}
		tc.onLoop(func(float64) { pool = tc.node.servers[tc.node.serverTable.SlotByID["s0"]].endpoint.State() })
	}
	sent := tc.cacheRequests.Load()
	if sent != 1 || pool.InUse != 1 || pool.Waiting == 0 {
		t.Fatalf("%d attempts were sent, and the pool is %+v, where one connection is allowed", sent, pool)
	}
	if _, err := tc.node.ExcludeServer("s0"); err != nil {
		t.Fatal(err)
	}
	close(release)
	for range requests {
		if got := <-answers; got != "hit" && !strings.HasPrefix(got, "GET /k") {
			t.Errorf("answered %q", got)
		}
	}
	if n := tc.cacheRequests.Load(); n != sent {
		t.Errorf("%d attempts went to a server after it was excluded", n-sent)
	}
}

// The admin port answers within admin.ReplyTimeout while clients hold all descriptors that they may, the loop is busy, and other callers
// keep admin connections open without sending a command.
func TestAdminPortUnderLoad(t *testing.T) {
	tc := newTestCluster(t, 2, serveHit, echoOrigin, func(c *Config) { c.MaxDescriptors = 200 })
	ln := listen(t)
	server := &admin.Server{Handler: tc.node}
	go func() {
		if err := server.Serve(ln); err != nil {
			t.Errorf("serve: %v", err)
		}
	}()
	defer server.Close()
	for i := range 300 {
		addr := tc.addr
		if i%5 == 0 {
			addr = ln.Addr().String()
		}
		writeString(dial(t, addr), []string{"", "*4\r\n$6\r\nKV"}[i%2])
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				default:
					tc.request("KV.GET", fmt.Sprint("k", k), fmt.Sprint(i, "-", k), "c=read,d=500")
				}
			}
		})
	}
	for i := range 20 {
		start := time.Now()
		command := []string{"status", "maint-on s1", "maint-off s1", "standby", "active"}[i%5]
		c := dial(t, ln.Addr().String())
		if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
			t.Fatal(err)
		}
		writeString(c, command+"\n")
		b, err := io.ReadAll(c)
		closeQuietly(c)
		if took := time.Since(start); err != nil || !strings.HasPrefix(string(b), "OK") || took > admin.ReplyTimeout {
			t.Errorf("%s: %q, %v, after %v", command, b, err, took)
		}
	}
	close(stop)
	clients.Wait()
}
