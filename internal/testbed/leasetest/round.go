// Package leasetest tests with real processes that two holders of a lease never act at the same time.
//
// A round runs the replicas of a consensus group and contenders for a lease. They are killed, paused and cut off from one another, as drawn from a
// seed. A fenced resource in the test process records the start and the end of each step of a contender, on its own clock. The results that contenders
// received are checked for linearizability. The verdict relies on the recorded steps and these results alone.
package leasetest

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"mintspring/internal/cluster/consensus/replica"
	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/cluster/lease"
	"mintspring/internal/testbed/faultrounds"
	"mintspring/internal/testbed/loopback"
)

const (
	randomStream       = 41
	tickInterval       = 20 * time.Millisecond // of the replicas
	minVoters          = 3                     // replicas that a membership change leaves in the group, at least
	holderPollMillis   = 5                     // poll interval until a contender has taken a step
	failoverPollMillis = 2                     // poll interval until another contender takes a step
	corruptRate        = 0.03
	maxLossRate        = 0.2
	maxDuplicates      = 2
)

// Config configures a round.
type Config struct {
	Argv           []string // command of the processes; the configuration is appended
	Voters         int      // replicas that vote when the group is created
	Spares         int      // further replicas; if there are any, replicas are added and removed
	Contenders     int
	Duration       time.Duration
	TTL            time.Duration // of the lease
	PauseProcesses bool          // pause processes too
	SkipLeaseCheck bool          // contenders begin steps without checking their lease, as a control
	KillHolders    bool          // kill the holder repeatedly, and inject no other fault
	Seed           uint64
}

// replicaCount returns the number of replicas, whether in the group or not.
func (c *Config) replicaCount() int { return c.Voters + c.Spares }

func (c *Config) ttlMillis() float64 { return float64(c.TTL) / float64(time.Millisecond) }

// round is a round in progress. Its nodes are the replicas, followed by the contenders.
type round struct {
	*faultrounds.Round[ProcessConfig]
	config   Config
	resource *fencedResource
	admin    *replica.Client // requests membership changes
	inGroup  []bool          // by replica, as last requested
	report   Report
}

// RunRound runs one round and returns its report. An error means that the round could not be completed.
func RunRound(ctx context.Context, config Config) (*Report, error) {
	base, err := faultrounds.New[ProcessConfig](faultrounds.Options{
		Name:         "leases",
		Argv:         config.Argv,
		Nodes:        config.replicaCount() + config.Contenders,
		Seed:         config.Seed,
		RandomStream: randomStream,
	})
	if err != nil {
		return nil, err
	}
	r := &round{Round: base, config: config, report: Report{Seed: config.Seed}}
	defer r.close()
	if err := r.setUp(); err != nil {
		return nil, err
	}
	running, stop := context.WithTimeout(ctx, config.Duration)
	defer stop()
	if err := r.run(running); err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	r.close() // all processes have ended and the recorded steps are complete
	r.evaluate()
	return &r.report, nil
}

func (r *round) setUp() error {
	var err error
	if r.resource, err = startResource(); err != nil {
		return err
	}
	var replicaAddrs []string
	for i := range r.config.replicaCount() {
		r.addReplica(i)
		replicaAddrs = append(replicaAddrs, r.Addr(i))
	}
	for i := range r.config.Contenders {
		r.addContender(r.config.replicaCount() + i)
	}
	adminAddr, err := loopback.EphemeralAddr()
	if err != nil {
		return err
	}
	if r.admin, err = replica.NewClient(adminAddr, replicaAddrs, 0, func(uint64, lease.Result) {}); err != nil {
		return err
	}
	return r.Start(r.Nodes...)
}

func (r *round) addReplica(i int) {
	config := r.processConfig(i)
	config.Voter = uint64(i + 1)
	config.DataDir = filepath.Join(r.Dir, fmt.Sprintf("replica-%d", i+1))
	r.Add(fmt.Sprintf("replica %d", i+1), config)
	r.inGroup = append(r.inGroup, i < r.config.Voters)
}

func (r *round) addContender(i int) {
	n := r.Add(fmt.Sprintf("contender %d", i), r.processConfig(i))
	n.MayExit = true // only the steps at the resource are checked
}

func (r *round) processConfig(i int) ProcessConfig {
	return ProcessConfig{
		Node:           i,
		ListenAddr:     r.Addr(i),
		ReplicaAddrs:   r.AddrsFrom(i, r.config.replicaCount()),
		InitialVoters:  r.config.Voters,
		TickInterval:   tickInterval,
		ResourceAddr:   r.resource.addr(),
		TTLMillis:      r.config.ttlMillis(),
		Seed:           r.config.Seed,
		SkipLeaseCheck: r.config.SkipLeaseCheck,
	}
}

// close ends all processes, and then the resource. It may be called more than once.
func (r *round) close() {
	r.Close()
	if r.admin != nil {
		r.admin.Close()
	}
	if r.resource != nil {
		r.resource.close()
	}
}

// run injects faults until the context is done.
func (r *round) run(ctx context.Context) error {
	schedulingDelay := faultrounds.MeasureSchedulingDelay()
	defer func() { r.report.SchedulingDelayMillis = schedulingDelay() }()
	r.Wait(ctx, 600, 300) // time to elect a leader and to grant the lease
	if r.config.KillHolders {
		return r.killHolders(ctx)
	}
	faults := r.faults()
	for ctx.Err() == nil {
		n := r.Nodes[r.Rand.IntN(len(r.Nodes))]
		if r.config.Spares > 0 && r.Rand.IntN(2) == 0 {
			r.changeMembership()
			if r.Rand.IntN(2) == 0 { // otherwise, the next fault is injected during the change
				r.Wait(ctx, 0, r.config.ttlMillis()/2)
			}
		}
		inject := faults[r.Rand.IntN(len(faults))]
		if err := inject(ctx, n); err != nil {
			return err
		}
		r.HealLinks()
		r.Wait(ctx, 50, r.config.ttlMillis())
	}
	return nil
}

type node = faultrounds.Node[ProcessConfig]

// faults returns the faults to draw from. A fault that is listed twice is twice as likely. Some faults ignore the node that was drawn.
func (r *round) faults() []func(ctx context.Context, n *node) error {
	faults := []func(ctx context.Context, n *node) error{
		r.restartNode, r.restartNode, r.restartReplicas, r.cutReplicas, r.cutContenders, r.blockReplicaSends, r.disturbLinks,
	}
	if r.config.PauseProcesses {
		faults = append(faults, r.pauseNode, r.pauseNode)
	}
	return faults
}

func (r *round) restartNode(ctx context.Context, n *node) error {
	r.LogFault("%s is killed and restarts", n.Name)
	return r.Restart(ctx, 0, r.config.ttlMillis(), n)
}

func (r *round) restartReplicas(ctx context.Context, _ *node) error {
	r.LogFault("all replicas are killed at once and restart")
	return r.Restart(ctx, 0, 100, r.Nodes[:r.config.replicaCount()]...)
}

func (r *round) cutReplicas(ctx context.Context, _ *node) error {
	subset := r.RandomSubset(r.replicaIndexes())
	r.LogFault("nodes %v are cut off from the other replicas", subset)
	r.partition(ctx, subset)
	return nil
}

func (r *round) cutContenders(ctx context.Context, _ *node) error {
	subset := r.RandomSubset(r.contenderIndexes())
	r.LogFault("nodes %v are cut off from all replicas", subset)
	r.partition(ctx, subset)
	return nil
}

// partition cuts the links, in both directions, between nodes and the replicas that are not among these nodes.
func (r *round) partition(ctx context.Context, nodes []int) {
	others := faultrounds.Complement(r.replicaIndexes(), nodes)
	r.CutLinks(nodes, others)
	r.CutLinks(others, nodes)
	r.Wait(ctx, 300, 2*r.config.ttlMillis())
}

func (r *round) blockReplicaSends(ctx context.Context, _ *node) error {
	subset := r.RandomSubset(r.replicaIndexes())
	r.LogFault("nodes %v receive and do not send", subset)
	r.CutLinks(subset, r.nodeIndexes())
	r.Wait(ctx, 200, 2*r.config.ttlMillis())
	return nil
}

func (r *round) disturbLinks(ctx context.Context, _ *node) error {
	r.LogFault("messages are lost, delayed, duplicated and corrupted")
	ttl := r.config.ttlMillis()
	r.DisturbLinks(r.nodeIndexes(), func() faultrelay.Link {
		return faultrelay.Link{
			LossRate:         maxLossRate * r.Rand.Float64(),
			JitterMs:         1.2 * ttl * r.Rand.Float64(),
			Duplicates:       r.Rand.IntN(maxDuplicates + 1),
			DuplicateDelayMs: 1.5 * ttl * r.Rand.Float64(),
			CorruptRate:      corruptRate,
		}
	})
	r.Wait(ctx, 300, 2*ttl)
	return nil
}

func (r *round) pauseNode(ctx context.Context, n *node) error {
	r.LogFault("%s is paused", n.Name)
	r.Pause(ctx, 0.5*r.config.ttlMillis(), 3*r.config.ttlMillis(), n)
	return nil
}

// changeMembership adds a spare replica to the group, or removes one of the initial voters. It does not add a removed replica again, which would need a
// new generation.
func (r *round) changeMembership() {
	var candidates []int
	members := 0
	for i, inGroup := range r.inGroup {
		if inGroup {
			members++
		}
		if initial := i < r.config.Voters; inGroup == initial {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return
	}
	i := candidates[r.Rand.IntN(len(candidates))]
	switch {
	case !r.inGroup[i]:
		r.LogFault("replica %d is added", i+1)
		r.inGroup[i] = true
		_ = r.admin.AddReplica(i+1, 0) // a request that is lost changes nothing
	case members > minVoters:
		r.LogFault("replica %d is removed", i+1)
		r.inGroup[i] = false
		_ = r.admin.RemoveReplica(i + 1) // a request that is lost changes nothing
	}
}

// killHolders kills the contender that took the latest step, and restarts it after another contender has taken a step.
func (r *round) killHolders(ctx context.Context) error {
	ttl := r.config.ttlMillis()
	for ctx.Err() == nil {
		holder, ok := r.resource.lastStepNode()
		if !ok {
			r.Wait(ctx, holderPollMillis, 0)
			continue
		}
		n := r.Nodes[holder]
		r.LogFault("%s, which holds the lease, is killed", n.Name)
		killedAt := r.resource.nowMillis()
		r.Kill(n)
		failoverMillis, ok := r.resource.millisUntilStep(killedAt)
		for !ok && ctx.Err() == nil {
			r.Wait(ctx, failoverPollMillis, 0)
			failoverMillis, ok = r.resource.millisUntilStep(killedAt)
		}
		if ok {
			r.report.FailoverMillis = append(r.report.FailoverMillis, failoverMillis)
		}
		if err := r.Start(n); err != nil {
			return err
		}
		r.Wait(ctx, ttl, ttl)
	}
	return nil
}

func (r *round) nodeIndexes() []int { return indexes(0, len(r.Nodes)) }

func (r *round) replicaIndexes() []int { return indexes(0, r.config.replicaCount()) }

func (r *round) contenderIndexes() []int { return indexes(r.config.replicaCount(), len(r.Nodes)) }

// indexes returns the numbers from start up to but not including end.
func indexes(start, end int) []int {
	var numbers []int
	for i := start; i < end; i++ {
		numbers = append(numbers, i)
	}
	return numbers
}
