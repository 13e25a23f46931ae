package controller

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/node/discovery"
	"mintspring/internal/state/snapshotfile"
	"mintspring/internal/testbed/fakediscovery"
	"mintspring/internal/testbed/loopbacktest"
)

// TestDataDirectoryIsTakenOver checks that a controller which starts while its predecessor has locked the data directory saves its state
// only after the predecessor has released it, and that Stop releases the directory.
func TestDataDirectoryIsTakenOver(t *testing.T) {
	service, err := fakediscovery.Start([]string{fakediscovery.EndpointJSON(0, "a", "in_service", 0), fakediscovery.EndpointJSON(1, "b", "in_service", 0)})
	if err != nil {
		t.Fatal(err)
	}
	defer service.Close()
	dir := t.TempDir()
	predecessor, err := snapshotfile.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := New(log, testConfig(1), service.Addr, &Persistence{Dir: dir, Interval: 20 * time.Millisecond, TrustPolicy: testTrustPolicy()})
	go c.Run()
	time.Sleep(100 * time.Millisecond)
	if saved, _ := snapshotfile.Load(dir); saved != nil {
		t.Error("state saved while another process has locked the directory")
	}
	predecessor.Close()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if saved, err := snapshotfile.Load(dir); err == nil && saved != nil && len(saved.Servers) == 2 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("no state is saved")
		}
	}
	if _, err := snapshotfile.Open(dir); !errors.Is(err, snapshotfile.ErrLocked) {
		t.Errorf("opening the directory of a running controller: %v", err)
	}
	c.Stop()
	if _, err := snapshotfile.Open(dir); err != nil {
		t.Errorf("opening the directory after Stop: %v", err)
	}
}

// newTestController returns a Controller whose discovery service lists one server. Run has not been called.
func newTestController(t *testing.T) *Controller {
	t.Helper()
	service, err := fakediscovery.Start([]string{fakediscovery.EndpointJSON(0, "a", "in_service", 0)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(log, testConfig(1), service.Addr, nil)
}

// TestEndpointListArrivesWithFullQueue checks that there is no deadlock if the endpoint list arrives while the event queue is full. The
// goroutine that empties the queue used to wait for the lock of the discovery client, which held it while it waited for room in the queue.
func TestEndpointListArrivesWithFullQueue(t *testing.T) {
	c := newTestController(t)
	for range cap(c.events) {
		c.post(func(float64) {})
	}
	c.discovery.Watch()
	time.Sleep(100 * time.Millisecond) // the list arrives, and its event has to wait
	go c.Run()
	for deadline := time.Now().Add(5 * time.Second); c.Snapshot(0) == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no snapshot is built")
		}
	}
	c.Stop()
}

// TestObserveVersionStartsDueWatch checks that a watch of discovery that becomes due in the step of ObserveVersion is started.
func TestObserveVersionStartsDueWatch(t *testing.T) {
	c := newTestController(t)
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		held := snapshot.Version{Epoch: c.core.epoch + 1}
		c.ObserveVersion(held)
	}()
	handle := <-c.events // executed here and not by Run, whose first step would start the watch
	handle(c.clock.Now())
	<-returned
	for deadline := time.Now().Add(5 * time.Second); !c.discovery.Watching(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the watch that was due is not started")
		}
	}
	go c.Run()
	c.Stop()
}

// TestStopEndsTheWatch checks that Stop ends the watch of discovery.
func TestStopEndsTheWatch(t *testing.T) {
	called, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	service := loopbacktest.StartServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		called <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	}))
	defer service.Close()
	defer service.CloseClientConnections()
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := New(log, testConfig(1), strings.TrimPrefix(service.URL, "http://"), nil)
	c.discovery.Timeouts = discovery.Timeouts{Dial: time.Minute, Header: time.Minute, Idle: time.Minute} // long enough that no timeout ends the watch
	go c.Run()
	<-called
	c.Stop()
	if c.discovery.Watching() {
		t.Error("a watch is still running after Stop")
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the call to discovery continues after Stop")
	}
}
