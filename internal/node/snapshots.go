package node

import (
	"errors"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"time"

	"mintspring/internal/cluster/idempotency/replica"
	"mintspring/internal/config/operatorfile"
	"mintspring/internal/config/settings"
	"mintspring/internal/fleet"
	"mintspring/internal/state/snapshot"
	"mintspring/internal/state/snapshotfile"
)

const (
	// lockRetryInterval is the interval at which a process tries to lock a snapshot directory or bind a peer address that another process
	// still holds. The other process writes a final snapshot when it ends, which is most useful while this one has learned little.
	lockRetryInterval = 100 * time.Millisecond

	// fetchTimeout is how long a node without a snapshot waits for the snapshot of another node.
	fetchTimeout = time.Second
)

// snapshotStore writes the learned state of the decision module to a directory. The loop takes and restores snapshots; the goroutine of
// run waits for the directory and writes.
type snapshotStore struct {
	node         *Node
	policy       snapshotPolicy
	dir          string
	open         func(dir string) (*snapshotfile.Store, error)
	interval     time.Duration
	config       snapshot.Config
	startedEmpty bool                               // the directory held no snapshot at the start
	store        atomic.Pointer[snapshotfile.Store] // nil: the directory is not locked by this process
	stop         chan struct{}                      // closed to end the periodic snapshots

	// Owned by the loop.
	pending      *snapshot.State // to be restored once the endpoint list is known; nil: none
	listReady    bool            // the discovery service has sent a list
	reusedBuffer fleet.Snapshot
}

// openSnapshots reads the snapshot directory, and locks it or starts to wait for the lock. Errors are logged. Reading needs no lock, since
// files are replaced atomically.
func (n *Node) openSnapshots(config *Config) {
	policy, ok := n.inflight.Policy.(snapshotPolicy)
	if config.Operator == nil || config.Operator.Snapshot == nil || !ok {
		return
	}
	section := config.Operator.Snapshot
	s := &snapshotStore{
		node:     n,
		policy:   policy,
		dir:      os.ExpandEnv(section.DataDir),
		open:     snapshotfile.Open,
		interval: section.Interval.Duration(),
		config:   SnapshotConfig(config.Name, config.Deployment, section),
		stop:     make(chan struct{}),
	}
	if config.SnapshotFileSystem != nil {
		s.open = func(dir string) (*snapshotfile.Store, error) {
			return snapshotfile.OpenWith(dir, config.SnapshotFileSystem(dir))
		}
	}
	n.snapshots = s
	err := s.acquire()
	switch {
	case errors.Is(err, snapshotfile.ErrLocked):
		n.log.WithError(err).Info("waiting for the snapshot directory")
	case err != nil:
		n.log.WithError(err).Warn("cannot use the snapshot directory; retrying")
	}
	s.pending = s.load()
	s.startedEmpty = s.pending == nil
	go s.run(err)
}

// SnapshotConfig returns the configuration that determines how far a node of this name and deployment trusts a stored snapshot.
func SnapshotConfig(name string, deployment settings.Deployment, section *operatorfile.Snapshot) snapshot.Config {
	zone := ""
	if z := int(deployment.Limits.Zone); z >= 0 && z < len(deployment.Zones) {
		zone = deployment.Zones[z]
	}
	return snapshot.Config{
		HalfLife:          section.HalfLife.Milliseconds(),
		MaxAge:            section.MaxAge.Milliseconds(),
		PolicyFingerprint: policyHash(&deployment),
		Node:              name,
		Zone:              zone,
	}
}

// acquire locks the directory for this process.
func (s *snapshotStore) acquire() error {
	store, err := s.open(s.dir)
	if err == nil {
		s.store.Store(store)
	}
	return err
}

// load reads the latest snapshot. It returns nil if there is none.
func (s *snapshotStore) load() *snapshot.State {
	state, err := snapshotfile.Load(s.dir)
	if err != nil {
		s.node.log.WithError(err).Warn("cannot use a snapshot file")
	}
	return state
}

// run writes snapshots until stop is closed. If acquireErr is not nil, the directory is not locked yet, and run first retries to acquire
// it without limit: at each restart the old process holds the directory while the new one starts.
func (s *snapshotStore) run(acquireErr error) {
	defer func() {
		if store := s.store.Swap(nil); store != nil { // acquired after writeFinal
			store.Close()
		}
	}()
	if acquireErr != nil {
		if !s.waitForDir(acquireErr) {
			return
		}
		s.node.log.Info("acquired the snapshot directory")
		if state := s.load(); state != nil {
			s.node.inbox.post(snapshotFound{s, state})
		}
	}
	if store := s.store.Load(); store != nil { // nil: the node is stopping
		s.writeLoop(store)
	}
}

// waitForDir tries to acquire the directory until it succeeds. It returns false if stop is closed first.
func (s *snapshotStore) waitForDir(err error) bool {
	for ; err != nil; err = s.acquire() {
		delay := s.interval // an operator may repair the directory while the node runs
		if errors.Is(err, snapshotfile.ErrLocked) {
			delay = lockRetryInterval
		}
		select {
		case <-time.After(delay):
		case <-s.stop:
			return false
		}
	}
	return true
}

// writeLoop writes a snapshot every interval, with a jitter of 20% so that nodes do not write at the same time.
func (s *snapshotStore) writeLoop(store *snapshotfile.Store) {
	failing := false
	for {
		timer := time.NewTimer(time.Duration(float64(s.interval) * (0.8 + 0.4*rand.Float64())))
		select {
		case <-timer.C:
		case <-s.stop:
			timer.Stop()
			return
		}
		encoded, ok := s.encodeSnapshot(s.interval)
		if !ok {
			continue
		}
		err := store.Save(encoded)
		if errors.Is(err, snapshotfile.ErrFinalWritten) {
			return
		}
		if err != nil && !failing {
			s.node.log.WithError(err).Warn("cannot write a snapshot; retrying at each interval")
		}
		if err == nil && failing {
			s.node.log.Info("snapshot writes succeed again")
		}
		failing = err != nil
	}
}

// writeFinal ends the periodic snapshots, writes a final one and releases the directory, all by the deadline. It does not wait for a
// periodic write that waits for the disk. The next process can read the final snapshot even if it was not synced by the deadline.
func (s *snapshotStore) writeFinal(deadline time.Time) {
	store := s.store.Swap(nil)
	close(s.stop)
	if store == nil {
		return
	}
	defer store.Close()
	encoded, ok := s.encodeSnapshot(time.Until(deadline))
	if !ok {
		s.node.log.Warn("final snapshot not written, the event loop is too busy")
		return
	}
	written, err := store.SaveFinal(encoded, time.Until(deadline))
	switch {
	case err != nil:
		s.node.log.WithError(err).Warn("cannot write the final snapshot")
	case written == snapshotfile.NotWritten:
		s.node.log.Warn("final snapshot not written, the disk does not respond")
	case written == snapshotfile.Written:
		s.node.log.Info("final snapshot written but not synced, the disk is slow")
	}
}

// encodeSnapshot takes a snapshot and returns it in the file format. It returns false if the loop takes none within the timeout.
func (s *snapshotStore) encodeSnapshot(timeout time.Duration) ([]byte, bool) {
	reply := make(chan *snapshot.State, 1)
	s.node.inbox.post(snapshotRequest{s, reply})
	select {
	case state := <-reply:
		return snapshot.Append(nil, state), true
	case <-s.node.quit:
	case <-time.After(timeout):
	}
	return nil, false
}

// fetchFromReplica fetches the snapshot of another replica of the idempotency records, for a node that starts without one.
func (s *snapshotStore) fetchFromReplica(from *replica.Replica) {
	encoded, ok := from.FetchSnapshot(fetchTimeout)
	if !ok {
		s.node.log.Info("no snapshot from any other replica")
		return
	}
	state, err := snapshot.Parse(encoded)
	if err != nil {
		s.node.log.WithError(err).Warn("cannot parse the snapshot of another replica")
		return
	}
	s.node.inbox.post(snapshotFound{s, state})
}

// snapshotForPeer returns an encoded snapshot for another replica that has none. It returns nil if none is taken within fetchTimeout.
func (n *Node) snapshotForPeer() []byte {
	reply := make(chan *snapshot.State, 1)
	n.inbox.post(peerSnapshotRequest{reply})
	select {
	case state := <-reply:
		if state != nil {
			return snapshot.Append(nil, state)
		}
	case <-n.quit:
	case <-time.After(fetchTimeout):
	}
	return nil
}
