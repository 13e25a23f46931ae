package node

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/cluster/consensus/replica"
	"mintspring/internal/cluster/consensus/storage"
	"mintspring/internal/testbed/reservedport"
)

// testSupervisor returns a supervisor with a short backoff.
func testSupervisor(start func() (*replica.Replica, error)) *replicaSupervisor {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &replicaSupervisor{
		log: log.WithField("node", "n0"), start: start, minBackoff: time.Millisecond, stopping: make(chan struct{}), done: make(chan struct{}),
	}
	r, err := start()
	go s.run(r, err)
	return s
}

// A consensus replica whose data directory is on a full disk at the start runs once there is space, and ends on stop.
func TestReplicaStartsOnceDataDirWorks(t *testing.T) {
	port, err := reservedport.ReserveUDP()
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(port)
	dir := filepath.Join(t.TempDir(), "council")
	if err := storage.Create(dir, storage.Identity{Group: "g", ReplicaNumber: 1}); err != nil {
		t.Fatal(err)
	}
	config := replica.Config{
		Group: "g", Number: 1, ListenAddr: port.Addr(), ReplicaAddrs: []string{port.Addr()}, InitialVoterCount: 1,
		DataDir: dir, TickInterval: 20 * time.Millisecond,
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var starts atomic.Int64
	running := make(chan *replica.Replica, 1)
	s := testSupervisor(func() (*replica.Replica, error) {
		if starts.Add(1) <= 3 {
			return nil, &os.PathError{Op: "write", Path: dir, Err: syscall.ENOSPC}
		}
		r, err := replica.Start(config, log)
		running <- r
		return r, err
	})
	r := <-running
	if r == nil {
		t.Fatal("the replica does not start")
	}
	s.stop()
	select {
	case <-r.Done():
	default:
		t.Error("the replica still runs after the stop")
	}
}

// A replica that failed for another reason than its data directory is not restarted: it may have lost state that others rely on.
func TestReplicaIsNotRestartedAfterOtherFailures(t *testing.T) {
	var starts atomic.Int64
	s := testSupervisor(func() (*replica.Replica, error) {
		starts.Add(1)
		return nil, errors.New("the log is truncated")
	})
	<-s.done
	if starts.Load() != 1 {
		t.Errorf("%d starts", starts.Load())
	}
}
