package replica

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/consensus"
	"mintspring/internal/cluster/consensus/storage"
	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/cluster/lease"
	"mintspring/internal/testbed/faultrounds"
	"mintspring/internal/testbed/logrecorder"
)

// testGroup is a consensus group of two replicas on loopback addresses, with a relay between them and with a client at the third address.
type testGroup struct {
	t     *testing.T
	relay *faultrelay.Relay
	addrs []string
}

func newTestGroup(t *testing.T) *testGroup {
	t.Helper()
	const members = 3
	relay, err := faultrelay.Start(members, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	g := &testGroup{t: t, relay: relay}
	for i := range members {
		addr, err := faultrounds.LoopbackAddr(1, i)
		if err != nil {
			t.Fatal(err)
		}
		g.addrs = append(g.addrs, addr)
		if err := relay.SetDestination(i, addr); err != nil {
			t.Fatal(err)
		}
	}
	return g
}

// start starts the replica with the given number. Replica 1 alone forms the group.
func (g *testGroup) start(number uint64) *logrecorder.Recorder {
	g.t.Helper()
	dir := filepath.Join(g.t.TempDir(), "data")
	if err := storage.Create(dir, storage.Identity{Group: "group", ReplicaNumber: number}); err != nil {
		g.t.Fatal(err)
	}
	recorder := &logrecorder.Recorder{}
	log := logrus.New()
	log.SetOutput(recorder)
	self := int(number - 1)
	peer := 1 - self
	replicaAddrs := make([]string, 2)
	replicaAddrs[self], replicaAddrs[peer] = g.addrs[self], g.relay.Addr(self, peer)
	r, err := Start(Config{
		Group: "group", Number: number, ListenAddr: g.addrs[self], ReplicaAddrs: replicaAddrs, InitialVoterCount: 1,
		DataDir: dir, TickInterval: 10 * time.Millisecond,
	}, log)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(r.Stop)
	return recorder
}

// storeProgress stores the given number of leases, each with 16 KiB of progress.
func (g *testGroup) storeProgress(leases int) *Client {
	g.t.Helper()
	const progressBytes = 16 << 10
	results := make(chan uint64, 1000)
	process := lease.Process{Node: 7, Incarnation: cluster.NewIncarnation(1e12, 0.5)}
	c, err := NewClient(g.addrs[2], []string{g.relay.Addr(2, 0)}, uint64(process.Incarnation), func(requestID uint64, _ lease.Result) { results <- requestID })
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(c.Close)
	for i := range leases {
		command := lease.Command{
			Kind: lease.KindOverrideProgress, Name: fmt.Sprint("task-", i), Process: process, TTLMillis: 1000,
			Progress: bytes.Repeat([]byte{byte(i)}, progressBytes),
		}
		sendUntilAnswered(g.t, c, uint64(i+1), command, results)
	}
	return c
}

// A replica catches up although the state of the group does not fit into one datagram, also if datagrams are lost and delayed. The message with the
// state was once dropped, so that the replica never became a voter.
func TestReplicaCatchesUpWithLargeState(t *testing.T) {
	for name, link := range map[string]faultrelay.Link{
		"sound links": {},
		"lossy links": {LossRate: 0.1, DelayMs: 2, JitterMs: 5, Duplicates: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGroup(t)
			log := g.start(1)
			c := g.storeProgress(20)
			g.start(2)
			g.relay.UpdateLinks(func(links *faultrelay.Links) {
				links.Set([]int{0, 1}, []int{0, 1}, func(l *faultrelay.Link) { *l = link })
			})
			if err := c.AddReplica(2, 0); err != nil {
				t.Fatal(err)
			}
			for deadline := time.Now().Add(10 * time.Second); !strings.Contains(log.String(), `voters="1(0) 2(0)"`); time.Sleep(10 * time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("the new replica is no voter:\n%s", log)
				}
			}
		})
	}
}

// A request to remove a replica whose number does not fit into an ID, as an earlier version of the client sends it, removes none. It once
// removed replica 1 in place of 17.
func TestRemovalWithGenerationIsRejected(t *testing.T) {
	relay, addrs := startSingleReplicaGroup(t)
	c, err := NewClient(addrs[1], []string{relay.Addr(1, 0)}, 1, func(uint64, lease.Result) {})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.RemoveReplica(17); err == nil {
		t.Error("the client accepts replica number 17")
	}
	if checkRemoval(consensus.ReplicaID(17)) == nil || checkRemoval(consensus.NewReplicaID(7, 0)) != nil {
		t.Error("removals are not told apart by their generation")
	}
}

// sendUntilAnswered repeats a command until a result arrives.
func sendUntilAnswered(t *testing.T, c *Client, requestID uint64, command lease.Command, results <-chan uint64) {
	t.Helper()
	for range 300 {
		if err := c.Send(0, requestID, command); err != nil {
			t.Fatal(err)
		}
		select {
		case id := <-results:
			if id == requestID {
				return
			}
		case <-time.After(20 * time.Millisecond):
		}
	}
	t.Fatalf("no result of command %d", requestID)
}

// Fragments that arrive in any order, twice, or beside those of other senders make up the message; those of an incomplete message do not.
func TestAssembler(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	message := make([]byte, 3*fragmentSize+17)
	for i := range message {
		message[i] = byte(random.Uint32())
	}
	from, other := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	fragments, err := splitMessage(7, message)
	if err != nil || len(fragments) != 4 {
		t.Fatalf("%d fragments, %v", len(fragments), err)
	}
	var a assembler
	for _, i := range []int{2, 0, 2, 3} {
		if a.add(from, fragments[i]) != nil || a.add(other, fragments[i]) != nil {
			t.Error("a message is complete without its second fragment")
		}
	}
	if got := a.add(from, fragments[1]); !bytes.Equal(got, message) {
		t.Errorf("the message has %d bytes, want %d", len(got), len(message))
	}
	next, err := splitMessage(8, message)
	if err != nil {
		t.Fatal(err)
	}
	if a.add(other, next[0]) != nil || a.add(other, fragments[1]) != nil || len(a.partial) != 1 {
		t.Error("fragments of two messages are mixed")
	}
	for _, malformed := range [][]byte{nil, {kindFragment}, append(fragments[0][:5:5], 0, 9, 0, 3), append(fragments[0][:5:5], 0, 0, 255, 255)} {
		if a.add(from, malformed) != nil {
			t.Errorf("%v is a fragment", malformed)
		}
	}
	if _, err := splitMessage(9, make([]byte, maxFragments*fragmentSize+1)); err == nil {
		t.Error("a message of too many fragments is split")
	}
}
