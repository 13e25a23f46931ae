package node

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/consensus/replica"
	"mintspring/internal/cluster/lease"
	"mintspring/internal/cluster/rollingrestart"
	"mintspring/internal/config/operatorfile"
	"mintspring/internal/fleet"
	"mintspring/internal/node/discovery"
	"mintspring/internal/node/exclusion"
)

const (
	// firstCallID is where the ids of calls to the consensus group begin that the lease client does not number.
	firstCallID = 1 << 40
	// stepMarginMs bounds how long a step takes from the look at the clock until its command is sent.
	stepMarginMs = 100
)

// maintenanceTask follows the plan of rolling maintenance that the consensus group keeps, and takes its steps while this node holds the
// lease. The loop owns it.
type maintenanceTask struct {
	node     *Node
	settings *operatorfile.Consensus
	replica  *replicaSupervisor // nil: this node is no member of the group
	client   *replica.Client
	lease    *lease.Client
	excluded *exclusion.Set // by the plan, apart from what operators exclude on the admin port

	plan     *rollingrestart.Plan
	revision uint64 // of the plan

	nextPollAt  float64
	nextStepAt  float64
	lastReplyAt float64
	groupSilent bool // as logged last
	holdsLease  bool // as logged last

	nextMember int // that a command is sent to
	lastCallID uint64
	waiting    map[uint64]chan<- lease.Result // by call id; a result that has no room is dropped
}

// joinConsensus makes the node a client of the consensus group of the operator's file, if there is one, and a member if the file says so.
func (n *Node) joinConsensus(config *Config) error {
	if config.Operator == nil || config.Operator.Consensus == nil {
		return nil
	}
	section := config.Operator.Consensus
	now := n.clock.Now()
	process := lease.Process{
		Node:        cluster.NodeID(max(0, config.Deployment.NodeIndex)),
		Incarnation: cluster.NewIncarnation(now, n.random()),
	}
	t := &maintenanceTask{
		node:        n,
		settings:    section,
		lease:       lease.NewClient(rollingrestart.LeaseName, process, section.Lease.Milliseconds()),
		excluded:    exclusion.New(),
		lastReplyAt: now,
		lastCallID:  firstCallID,
		waiting:     map[uint64]chan<- lease.Result{},
		nextMember:  rand.IntN(len(section.Members)),
	}
	t.replica = t.startReplica()
	var err error
	t.client, err = replica.NewClient("0.0.0.0:0", section.Members, uint64(process.Incarnation), func(callID uint64, result lease.Result) {
		n.inbox.post(consensusReply{callID, result})
	})
	if err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	n.maintenance = t
	return nil
}

// startReplica makes the node a member of the group, if it is to be one; nil: it is not.
func (t *maintenanceTask) startReplica() *replicaSupervisor {
	if t.settings.MemberNumber <= 0 {
		return nil
	}
	config := replica.Config{
		Group:             t.settings.Name,
		Number:            uint64(t.settings.MemberNumber),
		Generation:        t.settings.Generation,
		ListenAddr:        t.settings.Listen,
		ReplicaAddrs:      t.settings.Members,
		InitialVoterCount: t.settings.InitialMembers,
		DataDir:           t.settings.DataDir,
		TickInterval:      max(20*time.Millisecond, t.settings.Lease.Duration()/20),
	}
	return superviseReplica(t.node.log, func() (*replica.Replica, error) { return replica.Start(config, t.node.log.Logger) })
}

// stop releases the lease and ends the node's part in the group.
func (t *maintenanceTask) stop() {
	if t.holdsLease {
		t.send(t.nextCallID(), t.lease.Release())
	}
	t.client.Close()
	if t.replica != nil {
		t.replica.stop()
	}
}

// consensusReply: a member of the group has answered a call.
type consensusReply struct {
	callID uint64
	result lease.Result
}

func (e consensusReply) handle(n *Node, now float64) {
	t := n.maintenance
	t.lastReplyAt = now
	if t.groupSilent {
		t.groupSilent = false
		n.log.Info("consensus group responds again")
	}
	t.lease.HandleResult(e.callID, e.result)
	if waiting := t.waiting[e.callID]; waiting != nil {
		delete(t.waiting, e.callID)
		select {
		case waiting <- e.result:
		default: // another member has answered the same call: the loop never waits for the caller
		}
	}
	t.follow(now, e.result)
}

// stopWaiting drops the calls whose results would be sent on a channel: nobody receives from it any more.
func (t *maintenanceTask) stopWaiting(results chan<- lease.Result) {
	maps.DeleteFunc(t.waiting, func(_ uint64, waiting chan<- lease.Result) bool { return waiting == results })
}

// follow applies the plan of a result here, if it is newer than the current one.
func (t *maintenanceTask) follow(now float64, result lease.Result) {
	if result.Revision <= t.revision {
		return
	}
	plan, err := rollingrestart.DecodePlan(result.Progress)
	if err != nil {
		t.node.log.WithError(err).Error("cannot decode the maintenance plan; keeping the current one")
		return
	}
	t.revision, t.plan = result.Revision, plan
	planned := plan.Excluded()
	for _, id := range t.excluded.ExcludedIDs() {
		if !slices.Contains(planned, id) {
			t.applyChange(id, now, t.excluded.Readmit)
		}
	}
	for _, id := range planned {
		t.applyChange(id, now, t.excluded.Exclude)
	}
}

// applyChange excludes or readmits a server. One that was never listed here is not excluded: there is nothing to keep from it.
func (t *maintenanceTask) applyChange(id string, now float64, change func(id string, now float64) (bool, error)) {
	if changed, err := change(id, now); err == nil && changed {
		t.node.exclusionChanged(now, id)
	}
}

// apply changes the endpoint of a cache server by what the plan excludes.
func (t *maintenanceTask) apply(id string, endpoint fleet.Endpoint) fleet.Endpoint {
	t.excluded.MarkListed(id)
	endpoint.StartedAt = t.excluded.StartedAt(id, endpoint.StartedAt)
	endpoint.State = t.excluded.EffectiveState(id, endpoint.State)
	return endpoint
}

// tick polls the group, and takes the next step if this node holds the lease.
func (t *maintenanceTask) tick(now float64) {
	if now >= t.nextPollAt {
		t.nextPollAt = now + t.pollInterval()*(0.8+0.4*t.node.random())
		t.warnIfSilent(now)
		t.poll(now)
	}
	if mayAct := t.lease.MayAct(now, stepMarginMs); mayAct != t.holdsLease {
		t.holdsLease = mayAct
		if mayAct {
			t.node.log.WithField("token", t.lease.Token()).Info("acquired the maintenance lease")
		}
	}
	if t.holdsLease && now >= t.nextStepAt {
		t.nextStepAt = now + t.lease.TTLMillis/8
		t.step(now)
	}
}

func (t *maintenanceTask) pollInterval() float64 {
	interval := t.settings.PollInterval.Milliseconds()
	if t.hasWork() {
		interval = min(interval, t.lease.TTLMillis/4) // so that the lease is renewed in time
	}
	return interval
}

func (t *maintenanceTask) warnIfSilent(now float64) {
	if !t.groupSilent && now-t.lastReplyAt > 5*t.settings.PollInterval.Milliseconds()+t.lease.TTLMillis {
		t.groupSilent = true
		t.node.log.Warn("consensus group does not respond, the last maintenance plan stays in force")
	}
}

// hasWork reports whether there is a plan to hold the lease for.
func (t *maintenanceTask) hasWork() bool { return t.plan != nil && !t.plan.Finished() }

// send sends a command to one member, and to another one each time: one that is dead or cut off does not answer. A command that could
// not be sent is like one that was lost: whoever waits for its result sends it again.
func (t *maintenanceTask) send(callID uint64, command lease.Command) {
	t.nextMember++
	if err := t.client.Send(t.nextMember%len(t.settings.Members), callID, command); err != nil {
		t.node.log.WithError(err).Debug("cannot send a command to the consensus group")
	}
}

func (t *maintenanceTask) nextCallID() uint64 {
	t.lastCallID++
	return t.lastCallID
}

// poll renews or acquires the lease while there is work, and else releases it and reads the plan.
func (t *maintenanceTask) poll(now float64) {
	switch {
	case t.hasWork():
		callID, command := t.lease.NextRequest(now)
		t.send(callID, command)
	case t.lease.MayAct(now, 0):
		t.send(t.nextCallID(), t.lease.Release())
	default:
		t.send(t.nextCallID(), lease.Command{Kind: lease.KindRead, Name: rollingrestart.LeaseName, Process: t.lease.Process})
	}
}

// step has the next step of the plan committed under the token, if one is due. It takes effect with the group's answer, on this node as
// on the others.
func (t *maintenanceTask) step(now float64) {
	if !t.hasWork() {
		return
	}
	next, err := rollingrestart.DecodePlan(t.plan.Encode())
	if err != nil {
		t.node.log.WithError(err).Error("cannot copy the maintenance plan")
		return
	}
	description, due := next.Advance(now, t.node.deployment.Limits.WarmUpTime, t.observe)
	if !due || !t.lease.MayAct(t.node.clock.Now(), stepMarginMs) {
		return
	}
	t.node.log.WithField("token", t.lease.Token()).WithField("step", description).Info("rolling restart step proposed")
	t.send(t.nextCallID(), lease.Command{
		Kind:     lease.KindUpdateProgress,
		Name:     rollingrestart.LeaseName,
		Process:  t.lease.Process,
		Token:    t.lease.Token(),
		Revision: t.revision,
		Progress: next.Encode(),
	})
}

// observe returns what the endpoint list says of a server.
func (t *maintenanceTask) observe(serverID string) rollingrestart.ServerStatus {
	id, known := t.node.serverTable.SlotByID[serverID]
	if !known {
		return rollingrestart.ServerStatus{}
	}
	entry := &t.node.servers[id].entry
	return rollingrestart.ServerStatus{
		Listed:      entry.Phase == discovery.PhaseInService && t.node.serverTable.State(id) != fleet.Gone,
		ListedStart: entry.UpSince,
		StartedAt:   t.node.servers[id].started,
	}
}
