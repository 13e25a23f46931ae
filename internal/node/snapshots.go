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
	// lockRetryInterval is the time between two looks at whether another process has released the snapshot directory, or the address of
	// the peers. A process that ends writes its snapshot first, and that is worth most while this one has learned little.
	lockRetryInterval = 100 * time.Millisecond

	// fetchTimeout is how long a node without a snapshot waits for that of another one.
	fetchTimeout = time.Second
)

// snapshotStore writes what the decision module has learned to a directory. The loop takes and restores snapshots; the goroutine run
// waits for the directory and writes.
type snapshotStore struct {
	node       *Node
	policy     snapshotPolicy
	dir        string
	open       func(dir string) (*snapshotfile.Store, error)
	interval   time.Duration
	trust      snapshot.Config
	startEmpty bool                               // the directory held no snapshot at the start
	store      atomic.Pointer[snapshotfile.Store] // nil: another process has the directory
	stop       chan struct{}                      // closed when no more periodic snapshots are to be written

	// Owned by the loop.
	pending      *snapshot.State // to be restored once the endpoint list is known; nil: none
	listReady    bool            // the discovery service has sent a list
	reusedBuffer fleet.Snapshot
}

// openSnapshots reads the snapshot directory, and takes it into use or waits for it. One that cannot be used is logged. Reading needs
// no lock: a file is never seen half written.
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
		trust:    SnapshotConfig(config.Name, config.Deployment, section),
		stop:     make(chan struct{}),
	}
	if config.OpenFiles != nil {
		s.open = func(dir string) (*snapshotfile.Store, error) {
			return snapshotfile.OpenWith(dir, config.OpenFiles(dir))
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
	s.startEmpty = s.pending == nil
	go s.run(err)
}

// SnapshotConfig says how far a stored snapshot is trusted by a node of this name and deployment.
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

// load reads the latest snapshot, nil for none.
func (s *snapshotStore) load() *snapshot.State {
	state, err := snapshotfile.Load(s.dir)
	if err != nil {
		s.node.log.WithError(err).Warn("cannot use a snapshot file")
	}
	return state
}

// run waits for the directory, where acquireErr says that it is not to be had yet, and then writes snapshots until stop is closed. It
// does not give up: at each replacement of the process the old one holds the directory while the new one starts.
func (s *snapshotStore) run(acquireErr error) {
	defer func() {
		if store := s.store.Swap(nil); store != nil { // it was acquired after writeFinal
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

// waitForDir tries to acquire the directory until that succeeds; false: stop was closed before.
func (s *snapshotStore) waitForDir(err error) bool {
	for ; err != nil; err = s.acquire() {
		retry := s.interval // what is wrong may be repaired while the node runs
		if errors.Is(err, snapshotfile.ErrLocked) {
			retry = lockRetryInterval
		}
		select {
		case <-time.After(retry):
		case <-s.stop:
			return false
		}
	}
	return true
}

// writeLoop writes a snapshot every interval, give or take a fifth so that nodes do not write at once.
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
		encoded, ok := s.encodedSnapshot(s.interval)
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

// writeFinal ends the periodic snapshots, writes a last one and releases the directory, all by the deadline. A periodic write that
// waits for its disk is not waited for. A file that could not be synced by then can be read by the next process all the same.
func (s *snapshotStore) writeFinal(deadline time.Time) {
	store := s.store.Swap(nil)
	close(s.stop)
	if store == nil {
		return
	}
	defer store.Close()
	encoded, ok := s.encodedSnapshot(time.Until(deadline))
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

// encodedSnapshot takes a snapshot in the form of the file; false: the loop did not get to it in time.
func (s *snapshotStore) encodedSnapshot(timeout time.Duration) ([]byte, bool) {
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

// fetch gets the snapshot of another replica of the idempotency records, for a node that starts without any.
func (s *snapshotStore) fetch(from *replica.Replica) {
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

// snapshotForPeer returns an encoded snapshot for another replica that has none, nil where there is none in time.
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
