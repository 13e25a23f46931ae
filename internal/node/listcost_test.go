package node

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"mintspring/internal/config/settings"
	"mintspring/internal/fleet"
	"mintspring/internal/node/discovery"
)

const (
	usualFleet   = 400
	largestFleet = 3200 // STANDING.md, "What production adds"

	// maxCostGrowth is how many times as long the largest fleet may take: in proportion to its size, and as much again for sorting and for data that no
	// longer fits into the caches of the processor.
	maxCostGrowth = 2 * largestFleet / usualFleet
)

// listedServers returns the entries of count servers with addresses of their own, numbered from first on.
func listedServers(first, count int, phase string) []string {
	entries := make([]string, 0, count)
	for i := first; i < first+count; i++ {
		entries = append(entries, fmt.Sprintf(
			`{"id":"s-%08x","host_port":"127.%d.%d.%d:6379","locality":"a","flavor":"box","cell":3,"phase":%q,"size":1.0,"up_since_ms":0}`,
			uint32(i)*2654435761, i>>16, i>>8&0xff, i&0xff, phase))
	}
	return entries
}

// newListedNode returns a node that is not served and knows a list of servers from its start.
func newListedNode(t testing.TB, deployment settings.Deployment, entries []string) *Node {
	t.Helper()
	members := make([]json.RawMessage, 0, len(entries))
	for _, text := range entries {
		members = append(members, json.RawMessage(text))
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Config{
		Name: "n0", Discovery: "127.0.0.1:1", Deployment: deployment, MaxDescriptors: 1024, MemoryMB: 192,
		CachedList: discovery.Update{Complete: true, Members: members},
	}, log)
}

// listOperation is what a node does with its list. It is timed without the preparation, which its setUp makes.
type listOperation struct {
	name  string
	setUp func(t testing.TB, deployment settings.Deployment, servers int) (timed func())
}

// listOperations returns everything that a node does for each change of the list, or for all servers at a time.
func listOperations() []listOperation {
	update := func(t testing.TB, n *Node, mode fleet.ListMode, now float64, entries []string) {
		listChanged{mode: mode, entries: entryUpdates(t, entries...), confirmedAt: now}.handle(n, now)
	}
	known := func(t testing.TB, deployment settings.Deployment, servers int, timed func(n *Node, now float64)) func() {
		n := newListedNode(t, deployment, listedServers(0, servers, discovery.PhaseInService))
		return func() { timed(n, n.clock.Now()) }
	}
	return []listOperation{
		{"start", func(t testing.TB, deployment settings.Deployment, servers int) func() {
			entries := listedServers(0, servers, discovery.PhaseInService)
			return func() { newListedNode(t, deployment, entries) }
		}},
		{"full list", func(t testing.TB, deployment settings.Deployment, servers int) func() {
			entries := listedServers(0, servers, discovery.PhaseInService)
			return known(t, deployment, servers, func(n *Node, now float64) { update(t, n, fleet.ListFull, now, entries) })
		}},
		{"half of the servers are replaced", func(t testing.TB, deployment settings.Deployment, servers int) func() {
			gone, added := listedServers(0, servers/2, discovery.PhaseTerminated), listedServers(servers, servers/2, discovery.PhaseInService)
			return known(t, deployment, servers, func(n *Node, now float64) { update(t, n, fleet.ListDelta, now, append(gone, added...)) })
		}},
		{"slots of half of the servers are reused", func(t testing.TB, deployment settings.Deployment, servers int) func() {
			gone, added := listedServers(0, servers/2, discovery.PhaseTerminated), listedServers(servers, servers/2, discovery.PhaseInService)
			return known(t, deployment, servers, func(n *Node, now float64) {
				update(t, n, fleet.ListDelta, now, gone)
				update(t, n, fleet.ListDelta, now+2*SlotRetention(&n.deployment), added)
			})
		}},
		{"one server after another drains", func(t testing.TB, deployment settings.Deployment, servers int) func() {
			return known(t, deployment, servers, func(n *Node, now float64) {
				for i := range 10 {
					update(t, n, fleet.ListDelta, now, listedServers(i, 1, "terminating"))
				}
			})
		}},
		{"state of a hot restart", func(t testing.TB, deployment settings.Deployment, servers int) func() {
			return known(t, deployment, servers, func(n *Node, now float64) { n.stateTransfer(now) })
		}},
	}
}

// cost returns the least processor time that an operation took in several runs.
func (o *listOperation) cost(t testing.TB, deployment settings.Deployment, servers int) time.Duration {
	const runs = 7
	runtime.LockOSThread() // the processor time is that of the thread
	defer runtime.UnlockOSThread()
	least := time.Duration(math.MaxInt64)
	for range runs {
		timed := o.setUp(t, deployment, servers)
		start := threadTime(t)
		timed()
		least = min(least, threadTime(t)-start)
	}
	return least
}

// threadTime returns the processor time of the thread. Unlike the time of day, it does not run on while others have the core.
func threadTime(t testing.TB) time.Duration {
	t.Helper()
	var used unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &used); err != nil {
		t.Fatal(err)
	}
	return time.Duration(used.Nano())
}

// Guards against starts and changes of the list that take many times as long with thousands of servers (incident 40): each new entry was compared with all
// other servers.
func TestListCostGrowsInProportionToServers(t *testing.T) {
	deployment, err := settings.Parse([]byte(settingsText), 7)
	if err != nil {
		t.Fatal(err)
	}
	for _, operation := range listOperations() {
		usual, largest := operation.cost(t, deployment, usualFleet), operation.cost(t, deployment, largestFleet)
		growth := float64(largest) / float64(usual)
		t.Logf("%s: %v at %d servers, %v at %d, %.1f times", operation.name, usual, usualFleet, largest, largestFleet, growth)
		if growth > maxCostGrowth {
			t.Errorf("%s takes %.1f times as long with %d servers as with %d, want %d times at most", operation.name, growth, largestFleet, usualFleet, maxCostGrowth)
		}
	}
}
