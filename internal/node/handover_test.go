package node

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/fleet"
	"mintspring/internal/node/discovery"
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

// A successor whose predecessor is lost before it can serve is the only process of its node: at its own stop it accepts new clients for the
// grace period. It used to close its listener at once, as if another process accepted the clients.
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
	channel, _ := predecessor.node.handover.otherProcess()
	channel.Close()
	recorder.WaitFor(t, "predecessor disconnected")
	entries, errs := discovery.ParseEntries(servers.Members)
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	n.inbox.post(listChanged{mode: fleet.ListFull, entries: entries})
	recorder.WaitFor(t, "took over from the predecessor")

	const grace = 400 * time.Millisecond
	stopped := make(chan time.Duration)
	go func() {
		start := time.Now()
		n.Stop(grace, 3*time.Second)
		stopped <- time.Since(start)
	}()
	for n.lifecycle.Phase() != lifecycle.Stopping {
		time.Sleep(time.Millisecond)
	}
	predecessor.expectPrefix(requestOn(dial(t, ln.Addr().String()), "KV.GET", "k", "1", "c=read,d=500"), "hit")
	if took := <-stopped; took < grace {
		t.Errorf("the node stopped after %v, within the grace period of %v", took, grace)
	}
}

// Descriptors that were lent to the other process are taken back when it is lost, even if its last report is handled after that. The node
// used to keep them lent for good.
func TestLentDescriptorsReturnWhenPeerIsLost(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin)
	n, c := tc.node, new(hotrestart.Channel)
	n.handover.begin(c, takenOver)
	all := n.descriptors.Limit()
	n.PeerDescriptorsReported(all)
	if n.descriptors.Acquire(fdlimit.Server) {
		t.Fatal("all descriptors are lent, and one more is acquired")
	}
	n.PeerLost(nil)
	n.lendDescriptors(c, all) // as a goroutine would that read the channel before it was lost
	n.PeerDescriptorsReported(all)
	if !n.descriptors.Acquire(fdlimit.Server) {
		t.Error("descriptors stay lent to a lost process")
	}
}

// The phases of a handover say whether this process is the successor, and whether a successor accepts the new clients.
func TestHandoverPhases(t *testing.T) {
	for _, c := range []struct {
		begin, whenServing handoverPhase // whenServing: after markSuccessorServing
		isSuccessor        bool
		successorAccepts   bool // in the phase whenServing
	}{
		{noHandover, noHandover, false, false},
		{successorJoined, successorServing, false, true},
		{successorServing, successorServing, false, true},
		{joining, takenOver, true, false},
		{takenOver, takenOver, true, false},
	} {
		var h handover
		channel := new(hotrestart.Channel)
		h.begin(channel, c.begin)
		h.markSuccessorServing()
		if got, phase := h.otherProcess(); got != channel || phase != c.whenServing {
			t.Errorf("from phase %d to %d, want %d", c.begin, phase, c.whenServing)
		}
		if c.begin.isSuccessor() != c.isSuccessor || c.whenServing.successorAccepts() != c.successorAccepts {
			t.Errorf("phase %d: successor %v; phase %d: successor accepts %v", c.begin, c.begin.isSuccessor(), c.whenServing, c.whenServing.successorAccepts())
		}
		reclaimed := false
		before := h.end(func() { reclaimed = true })
		if got, phase := h.otherProcess(); before != c.whenServing || got != nil || phase != noHandover || !reclaimed {
			t.Errorf("after reset phase %d, before it %d, reclaimed %v", phase, before, reclaimed)
		}
	}
}

// A successor that connects while the loop of its predecessor is busy is refused. It used to get an empty state, with which it served
// without the exclusions and logged nothing. Once the loop continues, no trace of that successor is left, and the next one gets the state.
func TestSuccessorOfBusyLoopIsRefused(t *testing.T) {
	tc := newTestCluster(t, 2, serveHit, echoOrigin)
	path := t.TempDir()
	tc.node.StartHandover(openHotRestartDir(t, path), nil)
	unblock := make(chan struct{})
	tc.node.inbox.post(loopCall(func(float64) { <-unblock }))
	join, err := openHotRestartDir(t, path).Join()
	close(unblock)
	if err == nil {
		t.Errorf("joined a busy process, with the state %+v", join.State)
	}
	tc.onLoop(func(float64) {})
	if channel, phase := tc.node.handover.otherProcess(); channel != nil || phase != noHandover {
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
