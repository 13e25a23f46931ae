package node

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/config/operatorfile"
	"mintspring/internal/fleet"
	"mintspring/internal/state/snapshot"
	"mintspring/internal/state/snapshotfile"
	"mintspring/internal/testbed/logrecorder"
)

// snapshotNode is an additional node of a test cluster, which writes snapshots.
type snapshotNode struct {
	*Node
	addr string
	log  logrecorder.Recorder
}

func (tc *testCluster) startSnapshotNode(dir string, configure ...func(*Config)) *snapshotNode {
	tc.t.Helper()
	n := &snapshotNode{}
	log := logrus.New()
	log.SetOutput(&n.log)
	operator := &operatorfile.File{Snapshot: &operatorfile.Snapshot{DataDir: dir, Interval: 3600e9, HalfLife: 600e9, MaxAge: 3600e9}}
	config := Config{Name: "n0", Discovery: tc.node.discovery.Addr, Deployment: tc.node.deployment, MaxDescriptors: 1024, Operator: operator}
	for _, change := range configure {
		change(&config)
	}
	n.Node = New(config, log)
	ln := listen(tc.t)
	n.addr = ln.Addr().String()
	serve(tc.t, n.Node, ln)
	n.log.WaitFor(tc.t, "msg=serving")
	return n
}

// currentSnapshot takes a snapshot of the node's learned state.
func (n *snapshotNode) currentSnapshot(t *testing.T) *snapshot.State {
	t.Helper()
	state, err := onLoop(n.Node, func(now float64) (*snapshot.State, error) {
		var exported fleet.Snapshot
		return n.takeSnapshot(now, n.snapshots.policy, n.snapshots.config, &exported), nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// waitForSnapshot waits for a snapshot in a directory that was taken later than the time after, and returns it: on a busy machine a node
// may end before its last write is complete.
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

// expectRestored expects a node to have restored a written snapshot. Values may be smaller than written, since trust in them decays with age.
func expectRestored(t *testing.T, written, known *snapshot.State) {
	t.Helper()
	if len(known.Servers) != len(written.Servers) || len(written.Servers) == 0 {
		t.Fatalf("%d of %d servers", len(known.Servers), len(written.Servers))
	}
	for i, server := range known.Servers {
		if original := written.Servers[i]; server.Name != original.Name || server.TimePerQueued > 1.02*original.TimePerQueued || math.Abs(server.ShedArcShare-original.ShedArcShare) > 0.02 {
			t.Errorf("server %d: %+v, was %+v", i, server, original)
		}
	}
	if sum := known.Global.KeySum; sum <= 0 || sum > 1.01*written.Global.KeySum {
		t.Errorf("keys were requested %.1f times, were %.1f", sum, written.Global.KeySum)
	}
}

// A node that restarts with its snapshot directory restores its learned state.
func TestSnapshotSurvivesRestart(t *testing.T) {
	tc := newTestCluster(t, 3, serveHit, echoOrigin)
	dir := t.TempDir()
	n := tc.startSnapshotNode(dir)
	tc.addr = n.addr
	for i := range 60 {
		tc.request("KV.GET", fmt.Sprint("key", i%20), fmt.Sprint("id", i), "c=read,d=500")
	}
	n.Stop(0, time.Second)
	before := waitForSnapshot(t, dir, 0)
	restarted := tc.startSnapshotNode(dir)
	restarted.log.WaitFor(t, "restored a snapshot")
	expectRestored(t, before, restarted.currentSnapshot(t))
	restarted.Stop(0, time.Second)
}

// slowDisk is a file system whose syncs take two seconds. It reports the beginning of a sync on a channel.
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

// On a disk whose syncs take two seconds, a node that stops during the sync of a periodic write ends in time, and its final snapshot can be
// read. That snapshot used to be lost whenever the syncs took longer than 300 ms in total.
func TestStopWithSlowDisk(t *testing.T) {
	tc := newTestCluster(t, 3, serveHit, echoOrigin)
	dir, syncBegun := t.TempDir(), make(chan struct{}, 1)
	n := tc.startSnapshotNode(dir, func(c *Config) {
		c.Operator.Snapshot.Interval = 1e6
		c.SnapshotFileSystem = func(dir string) snapshotfile.FileSystem { return slowDisk{snapshotfile.DirFileSystem(dir), syncBegun} }
	})
	<-syncBegun
	stopStart := n.clock.Now()
	n.Stop(0, 200*time.Millisecond)
	if took := n.clock.Now() - stopStart; took > 1500 {
		t.Errorf("it took %.0f ms to stop", took)
	}
	if s, err := snapshotfile.Load(dir); err != nil || s == nil || s.TakenAt < stopStart {
		t.Errorf("after the stop: %+v, %v", s, err)
	}
	n.log.WaitFor(t, "final snapshot written but not synced, the disk is slow")
}

// A node that starts while another one holds the snapshot directory acquires it when the other one ends, restores its final snapshot, and
// writes there from then on. It used to never acquire the directory.
func TestSnapshotDirectoryHandover(t *testing.T) {
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

// A snapshot that is not younger than the last restored one is ignored, and key counts are restored only once: if they added up, every key
// would count as popular.
func TestOlderSnapshotIsIgnored(t *testing.T) {
	tc := newTestCluster(t, 3, serveHit, echoOrigin)
	n := tc.startSnapshotNode(t.TempDir())
	now := n.clock.Now()
	state := func(at float64) *snapshot.State {
		return &snapshot.State{
			TakenAt: at, PolicyFingerprint: n.snapshots.config.PolicyFingerprint, Node: "n0", Zone: n.snapshots.config.Zone,
			Servers: []snapshot.Server{{Name: "s0"}, {Name: "s1"}, {Name: "s2"}, {Name: "o"}},
			Global:  fleet.Snapshot{KeySum: 50, Keys: []fleet.KeyCount{{Bucket: 1, Count: 50}}, OriginWindow: 4, OriginResponseTime: 20},
		}
	}
	for _, c := range []struct{ at, want float64 }{{now - 100, 50}, {now - 200, 50}, {now - 50, 50}} {
		n.inbox.post(snapshotFound{n.snapshots, state(c.at)}) // the third is the youngest
		if got := n.currentSnapshot(t).Global.KeySum; got > 1.01*c.want || got < c.want/2 {
			t.Errorf("keys are counted %.1f times after a snapshot of %.0f ms ago, want %.1f", got, now-c.at, c.want)
		}
	}
	n.Stop(0, time.Second)
}

// A successor that has already sent requests to its servers restores the final snapshot of its predecessor, weighted by age against its own
// state. It used to restore only servers that had sent it no response yet; after a moment of traffic there are no such servers.
func TestSuccessorRestoresLastSnapshot(t *testing.T) {
	tc := newTestCluster(t, 3, serveHit, echoOrigin)
	n := tc.startSnapshotNode(t.TempDir())
	tc.addr = n.addr
	for i := range 60 {
		tc.expectPrefix(tc.request("KV.GET", fmt.Sprint("key", i%20), fmt.Sprint("id", i), "c=read,d=500"), "hit")
	}
	responseTime := func() (ms float64) {
		for _, s := range n.currentSnapshot(t).Servers {
			if s.Name == "s0" {
				ms = s.ResponseTime
			}
		}
		return ms
	}
	measured := responseTime()
	now := n.clock.Now()
	n.inbox.post(snapshotFound{n.snapshots, &snapshot.State{
		TakenAt: now, PolicyFingerprint: n.snapshots.config.PolicyFingerprint, Node: "n0", Zone: n.snapshots.config.Zone,
		Servers: []snapshot.Server{
			{Name: "s0", ServerSnapshot: fleet.ServerSnapshot{ResponseTime: 700, TimePerQueued: 700, QueuePeak: 1, LastResponseAt: now}},
			{Name: "s1"},
			{Name: "s2"},
			{Name: "o"},
		},
	}})
	if restored := responseTime(); measured == 0 || restored < measured+100 {
		t.Errorf("the response time of s0 is %.1f ms, and %.1f after a younger snapshot with 700", measured, restored)
	}
	n.Stop(0, time.Second)
}

// A snapshot taken after a reload is trusted by a node that starts with the new settings. It once carried the hash of the settings at the start
// of the process, so that the next start distrusted it.
func TestSnapshotAfterReloadIsTrusted(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin)
	n := tc.startSnapshotNode(t.TempDir())
	defer n.Stop(0, 100*time.Millisecond)
	changed := tc.node.deployment
	changed.Limits.Classes = slices.Clone(changed.Limits.Classes)
	changed.Limits.Classes[0].LatencyObjective++
	if err := n.Reconfigure(changed); err != nil {
		t.Fatal(err)
	}
	section := &operatorfile.Snapshot{HalfLife: 600e9, MaxAge: 3600e9}
	want := SnapshotConfig("n0", EffectiveDeployment(changed), section).PolicyFingerprint
	if got := n.currentSnapshot(t).PolicyFingerprint; got != want {
		t.Errorf("the snapshot has hash %x, and the next start expects %x", got, want)
	}
}
