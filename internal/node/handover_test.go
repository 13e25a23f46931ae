package node

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/fleet"
	"mintspring/internal/node/fdlimit"
	"mintspring/internal/node/hotrestart"
	"mintspring/internal/node/lifecycle"
	"mintspring/internal/testbed/logrecorder"
)

func openHotRestartDir(t *testing.T, path string) *hotrestart.Dir {
	t.Helper()
	dir, err := hotrestart.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(dir.StopListening)
	return dir
}

// A successor whose predecessor is lost before it can serve is the only process of its node: at its own stop it gives new clients the
// grace period like any other. It once closed its listener at once, as if another process had its clients.
func TestStopAfterPredecessorWasLostEarly(t *testing.T) {
	predecessor := newTestCluster(t, 1, serveHit, echoOrigin)
	path := t.TempDir()
	predecessor.node.StartHandover(openHotRestartDir(t, path), nil)
	dir := openHotRestartDir(t, path)
	join, err := dir.Join()
	if err != nil || join == nil {
		t.Fatalf("joined %+v, %v", join, err)
	}
	servers := join.State.Endpoints
	join.State.Endpoints.Members = nil // so that the successor cannot serve yet
	var recorder logrecorder.Recorder
	log := logrus.New()
	log.SetOutput(&recorder)
	n := New(Config{Name: "n0", Discovery: silentService(t), Deployment: predecessor.node.deployment, MaxDescriptors: 1024}, log)
	ln := listen(t)
	n.StartHandover(dir, join)
	serve(t, n, ln)
	channel, _ := predecessor.node.handover.other()
	channel.Close()
	recorder.WaitFor(t, "predecessor disconnected")
	n.inbox.post(listChanged{mode: fleet.ListFull, entries: servers.Members})
	recorder.WaitFor(t, "took over from the predecessor")

	const grace = 400 * time.Millisecond
	stopped := make(chan time.Duration)
	go func() {
		start := time.Now()
		n.Stop(grace, 3*time.Second)
		stopped <- time.Since(start)
	}()
	for n.life.Phase() != lifecycle.Stopping {
		time.Sleep(time.Millisecond)
	}
	predecessor.expectPrefix(requestOn(dial(t, ln.Addr().String()), "KV.GET", "k", "1", "c=read,d=500"), "hit")
	if took := <-stopped; took < grace {
		t.Errorf("it stops after %v, and clients have %v to notice", took, grace)
	}
}

// Descriptors that were lent to the other process come back when it is lost, also where its last message is handled only then: the
// node once went on with the few that were left for good.
func TestLentDescriptorsReturnWhenPeerIsLost(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin)
	n, c := tc.node, new(hotrestart.Channel)
	n.handover.set(c, takenOver)
	all := n.descriptors.Limit()
	n.PeerDescriptors(all)
	if n.descriptors.Acquire(fdlimit.Server) {
		t.Fatal("all descriptors are lent, and one more is acquired")
	}
	n.PeerLost(nil)
	n.lendDescriptors(c, all) // by a goroutine that saw the channel before it was lost
	n.PeerDescriptors(all)
	if !n.descriptors.Acquire(fdlimit.Server) {
		t.Error("descriptors stay lent to a lost process")
	}
}

// Each process learns from the phases of a handover whether the other one is its successor, and whether that takes the new clients.
func TestHandoverPhases(t *testing.T) {
	for _, c := range []struct {
		begin, serving   handoverPhase // serving: once the successor of the two serves
		isSuccessor      bool
		successorAccepts bool // in the phase serving
	}{
		{noHandover, noHandover, false, false},
		{successorJoined, successorServing, false, true},
		{successorServing, successorServing, false, true},
		{joining, takenOver, true, false},
		{takenOver, takenOver, true, false},
	} {
		var h handover
		channel := new(hotrestart.Channel)
		h.set(channel, c.begin)
		h.markServing()
		if got, phase := h.other(); got != channel || phase != c.serving {
			t.Errorf("from phase %d to %d, want %d", c.begin, phase, c.serving)
		}
		if c.begin.isSuccessor() != c.isSuccessor || c.serving.successorAccepts() != c.successorAccepts {
			t.Errorf("phase %d: successor %v; phase %d: successor accepts %v", c.begin, c.begin.isSuccessor(), c.serving, c.serving.successorAccepts())
		}
		reclaimed := false
		before := h.reset(func() { reclaimed = true })
		if got, phase := h.other(); before != c.serving || got != nil || phase != noHandover || !reclaimed {
			t.Errorf("after reset phase %d, before it %d, reclaimed %v", phase, before, reclaimed)
		}
	}
}

// A successor that connects while the loop of its predecessor is busy gets no state. It once got an empty one, with which it served: without
// the exclusions, and without a word. Once the loop goes on, nothing is left of that successor, and the next one gets the state.
func TestSuccessorOfBusyLoopIsRefused(t *testing.T) {
	tc := newTestCluster(t, 2, serveHit, echoOrigin)
	path := t.TempDir()
	tc.node.StartHandover(openHotRestartDir(t, path), nil)
	goOn := make(chan struct{})
	tc.node.inbox.post(loopCall(func(float64) { <-goOn }))
	join, err := openHotRestartDir(t, path).Join()
	close(goOn)
	if err == nil {
		t.Errorf("joined a busy process, with the state %+v", join.State)
	}
	tc.onLoop(func(float64) {})
	if channel, phase := tc.node.handover.other(); channel != nil || phase != noHandover {
		t.Errorf("the handover is in phase %d after its successor was refused", phase)
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		join, err = openHotRestartDir(t, path).Join()
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
	defer join.Channel().Close()
	if members := join.State.Endpoints.Members; len(members) != 3 {
		t.Errorf("the next successor gets %d of 3 servers", len(members))
	}
}
