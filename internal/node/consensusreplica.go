package node

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/cluster/consensus/replica"
)

// Bounds of the pause before a consensus replica whose data directory failed is started again.
const (
	minReplicaRestart = time.Second
	maxReplicaRestart = time.Minute
)

// replicaSupervisor runs a consensus replica, and starts it again where its data directory failed: a disk may be full for a moment. A
// replica that ended or could not be started for another reason stays ended; the node is a client of the group then.
type replicaSupervisor struct {
	log      *logrus.Entry
	start    func() (*replica.Replica, error)
	minPause time.Duration
	stopping chan struct{}
	stopOnce sync.Once
	done     chan struct{}
}

func superviseReplica(log *logrus.Entry, start func() (*replica.Replica, error)) *replicaSupervisor {
	s := &replicaSupervisor{log: log, start: start, minPause: minReplicaRestart, stopping: make(chan struct{}), done: make(chan struct{})}
	first, err := start() // in time for the first call of this node's client
	go s.run(first, err)
	return s
}

// run ends with stop, or with a replica that must not be started again.
func (s *replicaSupervisor) run(r *replica.Replica, err error) {
	defer close(s.done)
	for pause := s.minPause; ; pause = min(2*pause, maxReplicaRestart) {
		if err == nil {
			select {
			case <-s.stopping:
				r.Stop()
				return
			case <-r.Done():
				err, pause = r.Err(), s.minPause
			}
		}
		if !errors.Is(err, replica.ErrStorage) && !isSystemError(err) {
			s.log.WithError(err).Error("cannot run the consensus replica, continuing as a client of the group")
			return
		}
		s.log.WithError(err).WithField("retry_in", pause).Warn("the consensus replica cannot run for now")
		select {
		case <-s.stopping:
			return
		case <-time.After(pause):
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

// isSystemError reports whether something failed for what the operating system said, which may be otherwise later.
func isSystemError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
}
