package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/fleet"
	"mintspring/internal/node/discovery"
)

// No request is sent to a draining server, and a list that cannot be parsed changes nothing.
func TestDrainingServerGetsNoRequests(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin)
	tc.expectPrefix(tc.request("KV.GET", "k", "1", "c=read,d=500"), "hit")
	tc.listUpdates <- `{"revision":2,"complete":false,"members":[{"id":"s0","phase":"terminating"}]}`
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); {
		if got := tc.request("KV.GET", "k", "2", "c=read,d=500"); strings.HasPrefix(got, "GET /k") {
			break
		}
	}
	sent := tc.cacheRequests.Load()
	tc.expectPrefix(tc.request("KV.GET", "k", "3", "c=read,d=500"), "GET /k")
	// A server that a complete list does not name is gone, even if a later update names it without an address.
	tc.listUpdates <- `{"revision":3,"complete":true,"members":[` + entry("o", tc.originAddr, "origin") + `]}`
	tc.listUpdates <- `{"revision":4,"complete":false,"members":[{"id":"s0","phase":"in_service","host_port":""}]}`
	tc.listUpdates <- `{"revision":`
	tc.expectPrefix(tc.request("KV.GET", "k", "4", "c=read,d=500"), "GET /k")
	if tc.cacheRequests.Load() != sent {
		t.Error("a draining server was sent a request")
	}
}

// Entries of the endpoint list are converted for the policy with the start time of the server, on which slow start depends. A server without an
// address or with an unknown phase counts as draining.
func TestApplyEntry(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin)
	n := New(Config{Deployment: tc.node.deployment, Discovery: "127.0.0.1:1"}, logrus.New())
	for _, c := range []struct {
		text string
		want fleet.Endpoint
	}{
		{
			`{"id":"a","host_port":"127.0.0.1:1","locality":"a","flavor":"box","cell":3,"phase":"in_service","size":2.5,"up_since_ms":1700000000123}`,
			fleet.Endpoint{Name: "a", State: fleet.Ready, Cell: 3, NominalCapacity: 2.5, StartedAt: 1700000000123},
		},
		{
			`{"id":"b","flavor":"origin","host_port":"127.0.0.1:1","phase":"in_service"}`,
			fleet.Endpoint{ID: 1, Name: "b", Kind: 1, Zone: -1, State: fleet.Ready},
		},
		{
			`{"id":"a","phase":"terminating"}`,
			fleet.Endpoint{Name: "a", State: fleet.Draining, Cell: 3, NominalCapacity: 2.5, StartedAt: 1700000000123},
		},
		{
			`{"id":"a","phase":"terminated"}`,
			fleet.Endpoint{Name: "a", State: fleet.Gone, Cell: 3, NominalCapacity: 2.5, StartedAt: 1700000000123},
		},
		{`{"id":"a","phase":"in_service","up_since_ms":1700000009000}`, // restarted
			fleet.Endpoint{Name: "a", State: fleet.Ready, Cell: 3, NominalCapacity: 2.5, StartedAt: 1700000009000}},
		{`{"id":"c","phase":"in_service"}`, fleet.Endpoint{ID: 2, Name: "c", Kind: -1, Zone: -1, State: fleet.Draining}},
		{
			`{"id":"d","host_port":"127.0.0.1:1","phase":"new","locality":"z","flavor":"box"}`,
			fleet.Endpoint{ID: 3, Name: "d", Zone: -1, State: fleet.Draining},
		},
	} {
		if got := n.applyEntry(1700000010000, &entryUpdates(t, c.text)[0], 0); got != c.want {
			t.Errorf("%s: %+v", c.text, got)
		}
	}
}

// While servers are replaced continuously by servers with new ids, some at the same addresses, the node reuses the slots of removed servers
// once no request in flight can refer to them. A server that is listed again before that keeps its slot.
func TestSlotsOfRemovedServersAreReused(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin)
	n := New(Config{Deployment: tc.node.deployment, Discovery: "127.0.0.1:1"}, logrus.New())
	now := 0.0
	update := func(mode fleet.ListMode, entries ...string) {
		listChanged{mode: mode, entries: entryUpdates(t, entries...)}.handle(n, now)
	}
	for i := range 300 {
		update(fleet.ListDelta, entry(fmt.Sprint("s", i), fmt.Sprint("127.0.0.1:", 1000+i%3), "box"))
		if i > 2 && i%2 == 0 {
			update(fleet.ListDelta, fmt.Sprintf(`{"id":"s%d","phase":"terminated"}`, i-3))
		} else if i > 2 {
			update(fleet.ListFull, entry(fmt.Sprint("s", i), "127.0.0.1:1000", "box"),
				entry(fmt.Sprint("s", i-1), "127.0.0.1:1001", "box"))
		}
		now += n.serverTable.Retention / 4
	}
	if slots := len(n.servers); slots > 16 || len(n.serverTable.SlotByID) > slots {
		t.Errorf("%d slots, %d ids", slots, len(n.serverTable.SlotByID))
	}
	id := n.serverTable.SlotByID["s299"]
	update(fleet.ListDelta, `{"id":"s299","phase":"terminated"}`)
	update(fleet.ListDelta, entry("s299", "127.0.0.1:1002", "box"))
	if n.serverTable.SlotByID["s299"] != id || n.serverTable.State(id) != fleet.Ready || n.servers[id].entry.HostPort != "127.0.0.1:1002" {
		t.Errorf("the server that came back is %+v", n.servers[n.serverTable.SlotByID["s299"]])
	}
}

// A request that is still in flight when its server has been gone for longer than the retention keeps the server's slot: otherwise the end of
// its attempt is applied to the next server in the slot, and the node answers nothing any more.
func TestSlotOfUploadInFlightIsNotReused(t *testing.T) {
	release := make(chan struct{})
	tc := newTestCluster(t, 1, serveHit, func(rw http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPut {
			<-release // nothing of the value is read
		}
		writeString(rw, "receipt")
	}, func(c *Config) { c.MemoryMB = 1 })
	t.Cleanup(func() { close(release) })
	const uploads = 3
	var writers []net.Conn
	for i := range uploads {
		c := tc.dial()
		b := command("KV.SET", fmt.Sprint("w", i), fmt.Sprint("w", i), "c=pay,d=500", strings.Repeat("x", 1<<20))
		writeBytes(c, b[:len(b)/2])
		writers = append(writers, c)
	}
	waitFor(t, "the uploads to begin", func() (begun bool) {
		tc.onLoop(func(float64) { begun = tc.node.inflight.Len() == uploads })
		return begun
	})
	const retention = 20.0 // ms
	var originSlot fleet.ServerID
	tc.onLoop(func(float64) {
		tc.node.serverTable.Retention = retention
		originSlot = tc.node.serverTable.SlotByID["o"]
	})
	tc.listUpdates <- `{"revision":2,"complete":false,"members":[{"id":"o","phase":"terminated"}]}`
	time.Sleep(3 * retention * time.Millisecond)
	tc.listUpdates <- `{"revision":3,"complete":false,"members":[` + entry("new", tc.startCache(), "box") + `]}`
	waitFor(t, "the new server to be listed", func() (listed bool) {
		tc.onLoop(func(float64) {
			var slot fleet.ServerID
			if slot, listed = tc.node.serverTable.SlotByID["new"]; listed && slot == originSlot {
				t.Error("the new server has the slot of the origin, at which attempts are in flight")
			}
		})
		return listed
	})
	for _, c := range writers {
		closeQuietly(c)
	}
	waitFor(t, "the uploads to end", func() (ended bool) {
		tc.onLoop(func(float64) { ended = tc.node.inflight.Len() == 0 })
		return ended
	})
	for i := range 20 {
		tc.expectPrefix(tc.request("KV.GET", fmt.Sprint("k", i), fmt.Sprint("r", i), "c=read,d=500"), "hit")
	}
	tc.listUpdates <- `{"revision":4,"complete":false,"members":[` + entry("next", tc.startCache(), "box") + `]}`
	waitFor(t, "the slot to be reused once no request refers to it", func() (reused bool) {
		tc.onLoop(func(float64) { reused = tc.node.serverTable.SlotByID["next"] == originSlot })
		return reused
	})
}

// A new server at the address of one that is still listed takes its place: what was sent to the old one reached the new process, which was cold, as
// work for a warm server.
func TestServerAtAddressOfAnother(t *testing.T) {
	tc := newTestCluster(t, 2, serveHit, echoOrigin)
	state := func(id string) (state fleet.State) {
		tc.onLoop(func(float64) {
			if slot, listed := tc.node.serverTable.SlotByID[id]; listed {
				state = tc.node.serverTable.State(slot)
			}
		})
		return state
	}
	withStart := func(id, addr string, upSince int) string {
		return strings.Replace(entry(id, addr, "box"), `"size":1`, fmt.Sprintf(`"size":1,"up_since_ms":%d`, upSince), 1)
	}
	tc.listUpdates <- `{"revision":2,"complete":false,"members":[` + withStart("new", tc.cacheAddrs[1], 1700000000000) + `]}`
	waitFor(t, "the new server", func() bool { return state("new") == fleet.Ready })
	if got := state("s1"); got != fleet.Gone {
		t.Errorf("the server whose address has a new process is in state %v", got)
	}
	tc.listUpdates <- `{"revision":3,"complete":false,"members":[` + withStart("s1", tc.cacheAddrs[1], 0) + `,` + withStart("late", tc.cacheAddrs[0], 1700000000001) + `]}`
	waitFor(t, "the next update", func() bool { return state("late") == fleet.Ready })
	if state("s1") != fleet.Gone || state("new") != fleet.Ready || state("s0") != fleet.Gone {
		t.Errorf("states %v, %v and %v", state("s1"), state("new"), state("s0"))
	}
	for i := range 20 {
		tc.expectPrefix(tc.request("KV.GET", fmt.Sprint("k", i), fmt.Sprint("r", i), "c=read,d=500"), "hit")
	}
	tc.listUpdates <- `{"revision":4,"complete":false,"members":[` + withStart("s1", tc.startCache(), 1700000000002) + `]}`
	waitFor(t, "the old server at another address", func() bool { return state("s1") == fleet.Ready })
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waiting for %s", what)
		}
	}
}

// Replacing a server two thousand times leaves nothing behind in the loop, the connection pools and the policy.
func TestServerChurnDoesNotGrowHeap(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin)
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := New(Config{Deployment: tc.node.deployment, Discovery: "127.0.0.1:1"}, log)
	now := 1.0
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	var heapAfter200 float64
	for i := range 2000 {
		removal := fmt.Sprintf(`{"id":"s%d","phase":"terminated"}`, i-3)
		listChanged{mode: fleet.ListDelta, entries: entryUpdates(t, removal, entry(fmt.Sprint("s", i), "127.0.0.1:1", "box"))}.handle(n, now)
		if now += n.serverTable.Retention / 2; i == 199 {
			heapAfter200 = heap()
		}
	}
	heapAfter2000 := heap()
	t.Logf("heap %.2f MB after 200, %.2f MB after 2000; %d slots", heapAfter200/1e6, heapAfter2000/1e6, len(n.servers))
	// Memory held by other tests varies a little; a server that is not freed takes over a thousand bytes.
	if heapAfter2000-heapAfter200 > 1800*150 {
		t.Errorf("heap %.2f MB after 200 replacements and %.2f MB after 2000", heapAfter200/1e6, heapAfter2000/1e6)
	}
}

// Changes of the list that follow one another are merged in their order; a complete list and other events keep their places.
func TestMergeListChanges(t *testing.T) {
	delta := func(confirmedAt float64, ids ...string) listChanged {
		change := listChanged{mode: fleet.ListDelta, confirmedAt: confirmedAt}
		for _, id := range ids {
			change.entries = append(change.entries, discovery.EntryUpdate{ID: id})
		}
		return change
	}
	full := listChanged{mode: fleet.ListFull, entries: []discovery.EntryUpdate{{ID: "f"}}}
	request := requestArrived{}
	events := []event{delta(1, "a"), request, delta(2, "b"), delta(3, "a", "c"), full, delta(4, "d"), delta(5, "d")}
	want := []event{delta(1, "a"), request, delta(3, "b", "a", "c"), full, delta(5, "d", "d")}
	if got := mergeListChanges(events); !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}
