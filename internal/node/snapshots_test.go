package node

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/config/operatorfile"
	"mintspring/internal/fleet"
	"mintspring/internal/state/snapshot"
	"mintspring/internal/state/snapshotfile"
	"mintspring/internal/testbed/logrecorder"
)

// snapshotNode is a second node of a test cluster, which writes snapshots.
type snapshotNode struct {
	*Node
	addr string
	log  logrecorder.Recorder
}

func (tc *testCluster) startSnapshotNode(dir string, with ...func(*Config)) *snapshotNode {
	tc.t.Helper()
	n := &snapshotNode{}
	log := logrus.New()
	log.SetOutput(&n.log)
	operator := &operatorfile.File{Snapshot: &operatorfile.Snapshot{DataDir: dir, Interval: 3600e9, HalfLife: 600e9, MaxAge: 3600e9}}
	config := Config{Name: "n0", Discovery: tc.node.discovery.Addr, Deployment: tc.node.deployment, MaxDescriptors: 1024, Operator: operator}
	for _, change := range with {
		change(&config)
	}
	n.Node = New(config, log)
	ln := listen(tc.t)
	n.addr = ln.Addr().String()
	serve(tc.t, n.Node, ln)
	n.log.WaitFor(tc.t, "msg=serving")
	return n
}

// currentSnapshot takes a snapshot.
func (n *snapshotNode) currentSnapshot(t *testing.T) *snapshot.State {
	t.Helper()
	state, err := onLoop(n.Node, func(now float64) (*snapshot.State, error) {
		var raw fleet.Snapshot
		return n.takeSnapshot(now, n.snapshots.policy, n.snapshots.trust, &raw), nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// waitForSnapshot returns the snapshot in a directory, once that is younger than a time: on a busy machine a node ends before its last
// write does.
func waitForSnapshot(t *testing.T, dir string, after float64) *snapshot.State {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		s, err := snapshotfile.Load(dir)
		if err == nil && s != nil && s.TakenAt > after {
			return s
		}
		if time.Now().After(deadline) {
			t.Fatalf("%v, %v", s, err)
		}
	}
}

// expectRestored expects a node to know what was written. What was learned fades, and is trusted in part.
func expectRestored(t *testing.T, written, known *snapshot.State) {
	t.Helper()
	if len(known.Servers) != len(written.Servers) || len(written.Servers) == 0 {
		t.Fatalf("%d of %d servers", len(known.Servers), len(written.Servers))
	}
	for i, v := range known.Servers {
		if was := written.Servers[i]; v.Name != was.Name || v.TimePerQueued > 1.02*was.TimePerQueued || math.Abs(v.ShedArcShare-was.ShedArcShare) > 0.02 {
			t.Errorf("server %d: %+v, was %+v", i, v, was)
		}
	}
	if sum := known.Global.KeySum; sum <= 0 || sum > 1.01*written.Global.KeySum {
		t.Errorf("keys were requested %.1f times, were %.1f", sum, written.Global.KeySum)
	}
}

// A node that starts again with its snapshot directory restores what it had learned.
func TestSnapshotSurvivesRestart(t *testing.T) {
	tc := newTestCluster(t, 3, serveHit, echoOrigin)
	dir := t.TempDir()
	k := tc.startSnapshotNode(dir)
	tc.addr = k.addr
	for i := range 60 {
		tc.request("KV.GET", fmt.Sprint("key", i%20), fmt.Sprint("id", i), "c=read,d=500")
	}
	k.Stop(0, time.Second)
	before := waitForSnapshot(t, dir, 0)
	again := tc.startSnapshotNode(dir)
	again.log.WaitFor(t, "restored a snapshot")
	expectRestored(t, before, again.currentSnapshot(t))
	again.Stop(0, time.Second)
}

// slowDisk takes long for every sync, and reports when one has begun.
type slowDisk struct {
	snapshotfile.FileSystem
	begun chan struct{}
}

func (d slowDisk) SyncFile(string) error {
	select {
	case d.begun <- struct{}{}:
	default:
	}
	time.Sleep(2 * time.Second)
	return nil
}

// On a disk whose syncs take two seconds, while a periodic write waits for one, the last snapshot can be read when the node has ended, and
// the node ends in time. It was once lost wherever the syncs took longer than 300 ms together.
func TestStopOnASlowDisk(t *testing.T) {
	tc := newTestCluster(t, 3, serveHit, echoOrigin)
	dir, syncBegun := t.TempDir(), make(chan struct{}, 1)
	k := tc.startSnapshotNode(dir, func(c *Config) {
		c.Operator.Snapshot.Interval = 1e6
		c.OpenFiles = func(dir string) snapshotfile.FileSystem { return slowDisk{snapshotfile.DirFileSystem(dir), syncBegun} }
	})
	<-syncBegun
	from := k.clock.Now()
	k.Stop(0, 200*time.Millisecond)
	if took := k.clock.Now() - from; took > 1500 {
		t.Errorf("it took %.0f ms to stop", took)
	}
	if s, err := snapshotfile.Load(dir); err != nil || s == nil || s.TakenAt < from {
		t.Errorf("after the stop: %+v, %v", s, err)
	}
	k.log.WaitFor(t, "final snapshot written but not synced, the disk is slow")
}

// A node that starts while another one holds the snapshot directory gets it when that one ends, with the last snapshot, and writes there
// from then on. It once never got it.
func TestSnapshotDirectoryIsPassedOn(t *testing.T) {
	tc := newTestCluster(t, 3, serveHit, echoOrigin)
	dir := t.TempDir()
	first := tc.startSnapshotNode(dir)
	second := tc.startSnapshotNode(dir)
	second.log.WaitFor(t, "waiting for the snapshot directory")
	tc.addr = first.addr
	for i := range 60 {
		tc.request("KV.GET", fmt.Sprint("key", i%20), fmt.Sprint("id", i), "c=read,d=500")
	}
	first.Stop(0, time.Second)
	second.log.WaitFor(t, "acquired the snapshot directory")
	second.log.WaitFor(t, "restored a snapshot")
	if _, err := snapshotfile.Open(dir); !errors.Is(err, snapshotfile.ErrLocked) {
		t.Errorf("a third process gets the directory too: %v", err)
	}
	written := waitForSnapshot(t, dir, 0)
	expectRestored(t, written, second.currentSnapshot(t))
	second.Stop(0, time.Second)
	if last := waitForSnapshot(t, dir, written.TakenAt); len(last.Servers) != 4 { // and the origin
		t.Errorf("written at the end: %+v", last)
	}
}

// A snapshot that is not younger than the one restored before is ignored, and counts of keys are restored once: added up they would make
// every key popular.
func TestOlderSnapshotIsIgnored(t *testing.T) {
	tc := newTestCluster(t, 3, serveHit, echoOrigin)
	k := tc.startSnapshotNode(t.TempDir())
	now := k.clock.Now()
	state := func(at float64) *snapshot.State {
		return &snapshot.State{
			TakenAt: at, PolicyFingerprint: k.snapshots.trust.PolicyFingerprint, Node: "n0", Zone: k.snapshots.trust.Zone,
			Servers: []snapshot.Server{{Name: "s0"}, {Name: "s1"}, {Name: "s2"}, {Name: "o"}},
			Global:  fleet.Snapshot{KeySum: 50, Keys: []fleet.KeyCount{{Bucket: 1, Count: 50}}, OriginWindow: 4, OriginResponseTime: 20},
		}
	}
	for _, c := range []struct{ at, want float64 }{{now - 100, 50}, {now - 200, 50}, {now - 50, 50}} {
		k.inbox.post(snapshotFound{k.snapshots, state(c.at)}) // the third is the youngest
		if got := k.currentSnapshot(t).Global.KeySum; got > 1.01*c.want || got < c.want/2 {
			t.Errorf("keys are counted %.1f times after a snapshot of %.0f ms ago, want %.1f", got, now-c.at, c.want)
		}
	}
	k.Stop(0, time.Second)
}

// A successor that has sent requests to its servers restores the last snapshot of its predecessor, as far as that is younger. It once
// restored only servers of which it knew nothing yet, which after a moment of traffic is none.
func TestSuccessorRestoresLastSnapshot(t *testing.T) {
	tc := newTestCluster(t, 3, serveHit, echoOrigin)
	k := tc.startSnapshotNode(t.TempDir())
	tc.addr = k.addr
	for i := range 60 {
		tc.expectPrefix(tc.request("KV.GET", fmt.Sprint("key", i%20), fmt.Sprint("id", i), "c=read,d=500"), "hit")
	}
	took := func() (ms float64) {
		for _, s := range k.currentSnapshot(t).Servers {
			if s.Name == "s0" {
				ms = s.ResponseTime
			}
		}
		return ms
	}
	own := took()
	now := k.clock.Now()
	k.inbox.post(snapshotFound{k.snapshots, &snapshot.State{
		TakenAt: now, PolicyFingerprint: k.snapshots.trust.PolicyFingerprint, Node: "n0", Zone: k.snapshots.trust.Zone,
		Servers: []snapshot.Server{
			{Name: "s0", ServerSnapshot: fleet.ServerSnapshot{ResponseTime: 700, TimePerQueued: 700, QueuePeak: 1, LastResponseAt: now}},
			{Name: "s1"}, {Name: "s2"}, {Name: "o"},
		},
	}})
	if with := took(); own == 0 || with < own+100 {
		t.Errorf("the response time of s0 is %.1f ms, and %.1f after a younger snapshot with 700", own, with)
	}
	k.Stop(0, time.Second)
}
