// Package leasetest shows with real processes that two holders of a lease never act at once.
//
// A round runs the replicas of a consensus group and contenders for a lease, which are killed, paused and cut off from one another as a seed has it.
// A fenced resource in the process of the test records the start and the end of each step that a contender takes, on its own clock. The results that
// contenders received are checked for linearizability. Nothing depends on what a process says of itself but these.
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
	randomStream  = 41
	tickInterval  = 20 * time.Millisecond // of replicas
	minVoters     = 3                     // that membership changes leave
	holderPoll    = 5                     // ms, while no contender has acted
	failoverPoll  = 2                     // ms, until another contender acts
	corruptRate   = 0.03
	maxLossRate   = 0.2
	maxDuplicates = 2
)

// Config configures a round.
type Config struct {
	Argv           []string // that processes are started with, before their configuration
	Voters         int      // replicas that vote when the group is created
	Spares         int      // further replicas: with some, replicas are added and removed
	Contenders     int
	Duration       time.Duration
	TTL            time.Duration // of the lease
	PauseProcesses bool          // processes are also paused
	SkipLeaseCheck bool          // contenders begin steps whether they may or not
	KillHolders    bool          // no fault is injected but that the holder is killed, again and again
	Seed           uint64
}

// replicaCount returns the number of replicas, in the group or not.
func (c *Config) replicaCount() int { return c.Voters + c.Spares }

func (c *Config) ttlMillis() float64 { return float64(c.TTL) / float64(time.Millisecond) }

// round is a round in progress. Its nodes are the replicas and then the contenders.
type round struct {
	*faultrounds.Round[ProcessConfig]
	config   Config
	resource *fencedResource
	admin    *replica.Client // that changes the membership
	inGroup  []bool          // by replica, as requested last
	report   Report
}

// RunRound runs one round and reports what was observed. An error means that the round could not be run.
func RunRound(ctx context.Context, config Config) (*Report, error) {
	shared, err := faultrounds.New[ProcessConfig](faultrounds.Options{
		Name:         "leases",
		Argv:         config.Argv,
		Nodes:        config.replicaCount() + config.Contenders,
		Seed:         config.Seed,
		RandomStream: randomStream,
	})
	if err != nil {
		return nil, err
	}
	r := &round{Round: shared, config: config, report: Report{Seed: config.Seed}}
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
	r.close() // all processes have ended and the record is complete
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
	adminAddr, err := loopback.AnyPort()
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
	n.MayExit = true // only what it does to the resource counts
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

// close ends all processes, and then the resource. It may be called again.
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
	r.Wait(ctx, 600, 300) // until a leader is elected and a contender holds the lease
	if r.config.KillHolders {
		return r.killHolders(ctx)
	}
	faults := r.faults()
	for ctx.Err() == nil {
		n := r.Nodes[r.Rand.IntN(len(r.Nodes))]
		if r.config.Spares > 0 && r.Rand.IntN(2) == 0 {
			r.changeMembership()
			if r.Rand.IntN(2) == 0 { // otherwise the next fault happens during the change
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

// faults returns the faults to draw from; those that occur twice are twice as likely. Some of them affect the node that was drawn.
func (r *round) faults() []func(ctx context.Context, n *node) error {
	faults := []func(ctx context.Context, n *node) error{
		r.restartNode, r.restartNode, r.restartReplicas, r.cutReplicas, r.cutContenders, r.muteReplicas, r.disturbLinks,
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
	some := r.RandomSubset(r.replicas())
	r.LogFault("nodes %v are cut off from the other replicas", some)
	r.cut(ctx, some)
	return nil
}

func (r *round) cutContenders(ctx context.Context, _ *node) error {
	some := r.RandomSubset(r.contenders())
	r.LogFault("nodes %v are cut off from all replicas", some)
	r.cut(ctx, some)
	return nil
}

// cut cuts some nodes off from all replicas that are not among them, in both directions.
func (r *round) cut(ctx context.Context, some []int) {
	others := faultrounds.Others(r.replicas(), some)
	r.CutLinks(some, others)
	r.CutLinks(others, some)
	r.Wait(ctx, 300, 2*r.config.ttlMillis())
}

func (r *round) muteReplicas(ctx context.Context, _ *node) error {
	some := r.RandomSubset(r.replicas())
	r.LogFault("nodes %v receive and do not send", some)
	r.CutLinks(some, r.all())
	r.Wait(ctx, 200, 2*r.config.ttlMillis())
	return nil
}

func (r *round) disturbLinks(ctx context.Context, _ *node) error {
	r.LogFault("messages are lost, delayed, duplicated and corrupted")
	ttl := r.config.ttlMillis()
	r.DisturbLinks(r.all(), func() faultrelay.Link {
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

// changeMembership adds a spare replica to the group, or removes one of the initial voters. One that was removed could only return in a new
// generation, and does not.
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

// killHolders kills the holder while it acts, and restarts it after another contender has taken over.
func (r *round) killHolders(ctx context.Context) error {
	ttl := r.config.ttlMillis()
	for ctx.Err() == nil {
		holder, ok := r.resource.lastActor()
		if !ok {
			r.Wait(ctx, holderPoll, 0)
			continue
		}
		n := r.Nodes[holder]
		r.LogFault("%s, which holds the lease, is killed", n.Name)
		killedAt := r.resource.nowMillis()
		r.Kill(n)
		delay, ok := r.resource.delayUntilStep(killedAt)
		for !ok && ctx.Err() == nil {
			r.Wait(ctx, failoverPoll, 0)
			delay, ok = r.resource.delayUntilStep(killedAt)
		}
		if ok {
			r.report.FailoverMillis = append(r.report.FailoverMillis, delay)
		}
		if err := r.Start(n); err != nil {
			return err
		}
		r.Wait(ctx, ttl, ttl)
	}
	return nil
}

func (r *round) all() []int { return indexes(0, len(r.Nodes)) }

func (r *round) replicas() []int { return indexes(0, r.config.replicaCount()) }

func (r *round) contenders() []int { return indexes(r.config.replicaCount(), len(r.Nodes)) }

// indexes returns the numbers from one up to another, without it.
func indexes(from, to int) []int {
	var all []int
	for i := from; i < to; i++ {
		all = append(all, i)
	}
	return all
}
