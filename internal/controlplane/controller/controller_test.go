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

// TestDataDirectoryIsTakenOver checks that a controller which starts while its predecessor holds the data directory writes there once
// that has ended, and releases the directory at its own end.
func TestDataDirectoryIsTakenOver(t *testing.T) {
	list, err := fakediscovery.Start([]string{fakediscovery.EndpointJSON(0, "a", "in_service", 0), fakediscovery.EndpointJSON(1, "b", "in_service", 0)})
	if err != nil {
		t.Fatal(err)
	}
	defer list.Close()
	dir := t.TempDir()
	predecessor, err := snapshotfile.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := New(log, testConfig(1), list.Addr, &Persistence{Dir: dir, Interval: 20 * time.Millisecond, TrustPolicy: testTrustPolicy()})
	go c.Run()
	time.Sleep(100 * time.Millisecond)
	if s, _ := snapshotfile.Load(dir); s != nil {
		t.Error("written beside another process")
	}
	predecessor.Close()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if s, err := snapshotfile.Load(dir); err == nil && s != nil && len(s.Servers) == 2 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("no state is written")
		}
	}
	if _, err := snapshotfile.Open(dir); !errors.Is(err, snapshotfile.ErrLocked) {
		t.Errorf("while it runs: %v", err)
	}
	c.Stop()
	if _, err := snapshotfile.Open(dir); err != nil {
		t.Errorf("at its end: %v", err)
	}
}

// newControllerOfOneServer returns a Controller, not yet running, whose discovery service lists one server.
func newControllerOfOneServer(t *testing.T) *Controller {
	t.Helper()
	list, err := fakediscovery.Start([]string{fakediscovery.EndpointJSON(0, "a", "in_service", 0)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(log, testConfig(1), list.Addr, nil)
}

// TestEndpointListPassesAFullQueue checks that events which fill the queue while the endpoint list arrives block nothing for good: the
// goroutine that empties the queue once waited for the discovery client, which waited for room in it.
func TestEndpointListPassesAFullQueue(t *testing.T) {
	c := newControllerOfOneServer(t)
	for range cap(c.events) {
		c.post(func(float64) {})
	}
	c.discovery.Watch()
	time.Sleep(100 * time.Millisecond) // the list arrives and finds no room
	go c.Run()
	for end := time.Now().Add(5 * time.Second); c.Snapshot(0) == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no snapshot is built")
		}
	}
	c.Stop()
}

// TestObserveVersionKeepsTheDueWatch checks that a watch of discovery which is due in the step of ObserveVersion is started.
func TestObserveVersionKeepsTheDueWatch(t *testing.T) {
	c := newControllerOfOneServer(t)
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		held := snapshot.Version{Epoch: c.core.epoch + 1}
		c.ObserveVersion(held)
	}()
	handle := <-c.events // instead of Run, so that no earlier step starts the first watch
	handle(c.clock.Now())
	<-returned
	for end := time.Now().Add(5 * time.Second); !c.discovery.Watching(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the watch that was due is not started")
		}
	}
	go c.Run()
	c.Stop()
}

// TestStopEndsTheWatch checks that no watch of discovery is left after Stop.
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
	c.discovery.Timeouts = discovery.Timeouts{Dial: time.Minute, Header: time.Minute, Idle: time.Minute} // none ends the watch here
	go c.Run()
	<-called
	c.Stop()
	if c.discovery.Watching() {
		t.Error("a watch is running after Stop")
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the call to discovery goes on after Stop")
	}
}
