package replica

import (
	"io"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/clock"
	"mintspring/internal/cluster/consensus"
	"mintspring/internal/cluster/consensus/storage"
	"mintspring/internal/testbed/loopback"
)

// newReplicaWithPanickingCore returns a replica whose core has no Raft node, so that calls of Tick and Ready panic.
func newReplicaWithPanickingCore(t *testing.T, tickInterval time.Duration) *Replica {
	t.Helper()
	dir, identity := filepath.Join(t.TempDir(), "data"), storage.Identity{Group: "one", ReplicaNumber: 1}
	if err := storage.Create(dir, identity); err != nil {
		t.Fatal(err)
	}
	store, err := storage.Open(dir, identity)
	if err != nil {
		t.Fatal(err)
	}
	addr, err := loopback.EphemeralAddr()
	if err != nil {
		t.Fatal(err)
	}
	conn, err := listenUDP(addr)
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Replica{
		log:          logrus.NewEntry(log),
		core:         &consensus.Core{},
		store:        store,
		conn:         conn,
		clock:        clock.New(),
		tickInterval: tickInterval,
		received:     make(chan datagram, 1),
		stopping:     make(chan struct{}),
		done:         make(chan struct{}),
	}
}

// A panic of the Raft library must end the replica with an error, and must not end the process. It may occur in a tick or while updates are processed.
func TestPanicStopsTheReplica(t *testing.T) {
	panicsInTick := newReplicaWithPanickingCore(t, time.Millisecond)
	panicsInUpdate := newReplicaWithPanickingCore(t, time.Hour)
	panicsInUpdate.received <- datagram{payload: []byte{'?'}} // unknown kind: the core is first called when updates are processed
	for name, r := range map[string]*Replica{"a tick": panicsInTick, "update processing": panicsInUpdate} {
		go r.run()
		<-r.Done()
		if err := r.Err(); err == nil || !strings.Contains(err.Error(), "consensus failed") {
			t.Errorf("after a panic in %s the replica ended with error %v", name, err)
		}
	}
}
