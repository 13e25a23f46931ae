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
	// firstCallID is the first id of calls to the consensus group that are not numbered by the lease client.
	firstCallID = 1 << 40
	// stepMarginMs bounds the time from the check of the lease to the sending of a step's command.
	stepMarginMs = 100
)

// maintenanceTask applies the rolling restart plan that the consensus group stores, and proposes its steps while this node holds the
// lease. The loop owns it.
type maintenanceTask struct {
	node     *Node
	settings *operatorfile.Consensus
	replica  *replicaSupervisor // nil: this node is no member of the group
	client   *replica.Client
	lease    *lease.Client
	excluded *exclusion.Set // set by the plan; exclusions by operators on the admin port are kept separately

	plan     *rollingrestart.Plan
	revision uint64 // of plan

	nextPollAt        float64
	nextStepAt        float64
	lastReplyAt       float64
	groupUnresponsive bool // as last logged
	holdsLease        bool // as last logged

	memberCursor int // modulo the number of members, the member that the last command was sent to
	lastCallID   uint64
	pendingCalls map[uint64]chan<- lease.Result // by call id; a result is dropped if its channel is full
}

// joinConsensus makes the node a client, or a member, of the consensus group if the operator's file configures it.
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
		node:         n,
		settings:     section,
		lease:        lease.NewClient(rollingrestart.LeaseName, process, section.Lease.Milliseconds()),
		excluded:     exclusion.New(),
		lastReplyAt:  now,
		lastCallID:   firstCallID,
		pendingCalls: map[uint64]chan<- lease.Result{},
		memberCursor: rand.IntN(len(section.Members)),
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

// startReplica starts the consensus replica of a node that is a member of the group. It returns nil for any other node.
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

// stop releases the lease, closes the client and stops the replica.
func (t *maintenanceTask) stop() {
	if t.holdsLease {
		t.send(t.nextCallID(), t.lease.Release())
	}
	t.client.Close()
	if t.replica != nil {
		t.replica.stop()
	}
}

// consensusReply is the event that a member of the group has answered a call.
type consensusReply struct {
	callID uint64
	result lease.Result
}

func (e consensusReply) handle(n *Node, now float64) {
	t := n.maintenance
	t.lastReplyAt = now
	if t.groupUnresponsive {
		t.groupUnresponsive = false
		n.log.Info("consensus group responds again")
	}
	t.lease.HandleResult(e.callID, e.result)
	if results := t.pendingCalls[e.callID]; results != nil {
		delete(t.pendingCalls, e.callID)
		select {
		case results <- e.result:
		default: // another member has answered this command already; the loop never waits for the caller
		}
	}
	t.applyPlan(now, e.result)
}

// dropPendingCalls drops the calls whose results go to a channel that is no longer received from.
func (t *maintenanceTask) dropPendingCalls(results chan<- lease.Result) {
	maps.DeleteFunc(t.pendingCalls, func(_ uint64, pending chan<- lease.Result) bool { return pending == results })
}

// applyPlan applies the plan in a result if it is newer than the current one.
func (t *maintenanceTask) applyPlan(now float64, result lease.Result) {
	if result.Revision <= t.revision {
		return
	}
	plan, err := rollingrestart.DecodePlan(result.Progress)
	if err != nil {
		t.node.log.WithError(err).Error("cannot decode the maintenance plan; keeping the current one")
		return
	}
	t.revision, t.plan = result.Revision, plan
	plannedIDs := plan.Excluded()
	for _, id := range t.excluded.ExcludedIDs() {
		if !slices.Contains(plannedIDs, id) {
			t.applyExclusionChange(id, now, t.excluded.Readmit)
		}
	}
	for _, id := range plannedIDs {
		t.applyExclusionChange(id, now, t.excluded.Exclude)
	}
}

// applyExclusionChange excludes or readmits a server. A server that was never listed on this node is not excluded: it gets no requests
// anyway.
func (t *maintenanceTask) applyExclusionChange(id string, now float64, change func(id string, now float64) (bool, error)) {
	if changed, err := change(id, now); err == nil && changed {
		t.node.exclusionChanged(now, id)
	}
}

// applyExclusions applies the exclusions of the plan to the endpoint of a cache server. The plan may have come before the server was listed.
func (t *maintenanceTask) applyExclusions(now float64, id string, endpoint fleet.Endpoint) fleet.Endpoint {
	t.excluded.MarkListed(id)
	if slices.Contains(t.plan.Excluded(), id) {
		_, _ = t.excluded.Exclude(id, now) // fails only for a server that was never listed
	}
	endpoint.StartedAt = t.excluded.StartedAt(id, endpoint.StartedAt)
	endpoint.State = t.excluded.EffectiveState(id, endpoint.State)
	return endpoint
}

// tick polls the group, and proposes the next step if this node holds the lease.
func (t *maintenanceTask) tick(now float64) {
	if now >= t.nextPollAt {
		t.nextPollAt = now + t.pollInterval()*(0.8+0.4*t.node.random())
		t.warnIfUnresponsive(now)
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
		t.proposeStep(now)
	}
}

func (t *maintenanceTask) pollInterval() float64 {
	interval := t.settings.PollInterval.Milliseconds()
	if t.hasUnfinishedPlan() {
		interval = min(interval, t.lease.TTLMillis/4) // to renew the lease in time
	}
	return interval
}

func (t *maintenanceTask) warnIfUnresponsive(now float64) {
	if !t.groupUnresponsive && now-t.lastReplyAt > 5*t.settings.PollInterval.Milliseconds()+t.lease.TTLMillis {
		t.groupUnresponsive = true
		t.node.log.Warn("consensus group does not respond, the last maintenance plan stays in force")
	}
}

// hasUnfinishedPlan reports whether there is an unfinished plan, for which a node has to hold the lease.
func (t *maintenanceTask) hasUnfinishedPlan() bool { return t.plan != nil && !t.plan.Finished() }

// send sends a command to the next member in turn, since a member that is dead or cut off does not answer. A command that cannot be sent
// counts as lost: the caller that waits for its result sends it again.
func (t *maintenanceTask) send(callID uint64, command lease.Command) {
	t.memberCursor++
	if err := t.client.Send(t.memberCursor%len(t.settings.Members), callID, command); err != nil {
		t.node.log.WithError(err).Debug("cannot send a command to the consensus group")
	}
}

func (t *maintenanceTask) nextCallID() uint64 {
	t.lastCallID++
	return t.lastCallID
}

// poll renews or acquires the lease while there is work. Otherwise it releases the lease, or reads the plan if this node does not hold the
// lease.
func (t *maintenanceTask) poll(now float64) {
	switch {
	case t.hasUnfinishedPlan():
		callID, command := t.lease.NextRequest(now)
		t.send(callID, command)
	case t.lease.MayAct(now, 0):
		t.send(t.nextCallID(), t.lease.Release())
	default:
		t.send(t.nextCallID(), lease.Command{Kind: lease.KindRead, Name: rollingrestart.LeaseName, Process: t.lease.Process})
	}
}

// proposeStep proposes the next step of the plan under the lease token, if one is due. The step takes effect on this node, as on the others,
// when the group returns the new plan.
func (t *maintenanceTask) proposeStep(now float64) {
	if !t.hasUnfinishedPlan() {
		return
	}
	next, err := rollingrestart.DecodePlan(t.plan.Encode())
	if err != nil {
		t.node.log.WithError(err).Error("cannot copy the maintenance plan")
		return
	}
	description, due := next.Advance(now, t.node.deployment.Limits.WarmUpTime, t.serverStatus)
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

// serverStatus returns the status of a server in the endpoint list.
func (t *maintenanceTask) serverStatus(serverID string) rollingrestart.ServerStatus {
	id, known := t.node.serverTable.SlotByID[serverID]
	if !known {
		return rollingrestart.ServerStatus{}
	}
	entry := &t.node.servers[id].entry
	return rollingrestart.ServerStatus{
		Listed:      entry.Phase == discovery.PhaseInService && t.node.serverTable.State(id) != fleet.Gone,
		ListedStart: entry.UpSince,
		StartedAt:   t.node.servers[id].startedAt,
	}
}
