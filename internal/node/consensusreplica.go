package node

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/cluster/consensus/replica"
)

// Bounds of the backoff before a replica whose data directory failed is restarted.
const (
	minReplicaBackoff = time.Second
	maxReplicaBackoff = time.Minute
)

// replicaSupervisor runs a consensus replica and restarts it after its data directory has failed: a disk may be full for a moment. After
// any other failure the replica is not restarted, and the node is only a client of the group.
type replicaSupervisor struct {
	log        *logrus.Entry
	start      func() (*replica.Replica, error)
	minBackoff time.Duration
	stopping   chan struct{}
	stopOnce   sync.Once
	done       chan struct{}
}

func superviseReplica(log *logrus.Entry, start func() (*replica.Replica, error)) *replicaSupervisor {
	s := &replicaSupervisor{log: log, start: start, minBackoff: minReplicaBackoff, stopping: make(chan struct{}), done: make(chan struct{})}
	first, err := start() // started before run, so that the replica is up for the first call of this node's client
	go s.run(first, err)
	return s
}

// run returns on stop, or after a failure that allows no restart.
func (s *replicaSupervisor) run(r *replica.Replica, err error) {
	defer close(s.done)
	for backoff := s.minBackoff; ; backoff = min(2*backoff, maxReplicaBackoff) {
		if err == nil {
			select {
			case <-s.stopping:
				r.Stop()
				return
			case <-r.Done():
				err, backoff = r.Err(), s.minBackoff
			}
		}
		if !errors.Is(err, replica.ErrStorage) && !isSystemError(err) {
			s.log.WithError(err).Error("cannot run the consensus replica, continuing as a client of the group")
			return
		}
		s.log.WithError(err).WithField("retry_in", backoff).Warn("the consensus replica cannot run for now")
		select {
		case <-s.stopping:
			return
		case <-time.After(backoff):
		}
		if r, err = s.start(); err == nil {
			s.log.Info("the consensus replica runs again")
		}
	}
}

// stop stops the replica and waits until it has ended.
func (s *replicaSupervisor) stop() {
	s.stopOnce.Do(func() { close(s.stopping) })
	<-s.done
}

// isSystemError reports whether an error comes from the operating system and may therefore be transient.
func isSystemError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
}
