// Package idempotencytest tests with real processes that no replicated idempotency record is lost when a machine is lost with its disk.
//
// A round runs members that are killed, paused, cut off from one another and lose their disks, as drawn from a seed. Meanwhile, clients attempt each
// operation repeatedly at all members. An executor in the test process counts the executions and does not deduplicate. The answers that clients received
// are checked for linearizability. The verdict relies on the executor's counts and these answers alone.
package idempotencytest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/testbed/faultrounds"
)

// Random number streams derived from one seed.
const (
	faultStream    = 43
	executorStream = 44
	clientStream   = 45
)

const (
	// clientPortOffset is the socket number in the round at which the members' sockets for clients begin.
	clientPortOffset = 100
	// roundRetentionMs is the retention of records, longer than any round.
	roundRetentionMs = 600e3
	// startTimeout limits how long a member takes after the start until it holds its records.
	startTimeout = 10 * time.Second
	// catchUpTimeout limits how long a member with a new disk takes to catch up.
	catchUpTimeout = 20 * time.Second
)

// Limits and rates of the link faults that a round draws.
const (
	maxLossRate         = 0.2
	maxJitterMs         = 60
	maxDuplicates       = 2
	maxDuplicateDelayMs = 800
	corruptRate         = 0.03
	truncateRate        = 0.01
)

// Config configures a round.
type Config struct {
	Argv           []string // command of the member processes; the configuration is appended
	Members        int
	Duration       time.Duration
	Rate           float64       // operations drawn per second; each is attempted once or twice
	WipeDisks      bool          // replace members by ones with new disks, one at a time
	SyncDelay      time.Duration // added to each sync of the first member
	NoFaults       bool
	WithoutRecords bool // execute operations without idempotency records, as a control
	Seed           uint64
}

// round is a round in progress.
type round struct {
	*faultrounds.Round[MemberConfig]
	config   Config
	executor *executor
	clients  *clients
	report   Report
}

type node = faultrounds.Node[MemberConfig]

// RunRound runs one round and returns its report. An error means that the round could not be completed.
func RunRound(ctx context.Context, config Config) (*Report, error) {
	base, err := faultrounds.New[MemberConfig](faultrounds.Options{
		Name:         "idempotency",
		Argv:         config.Argv,
		Nodes:        config.Members,
		Seed:         config.Seed,
		RandomStream: faultStream,
	})
	if err != nil {
		return nil, err
	}
	r := &round{Round: base, config: config, report: Report{Seed: config.Seed, Answers: map[string]int{}}}
	defer r.close()
	if err := r.setUp(); err != nil {
		return nil, err
	}
	if err := r.run(ctx); err != nil {
		return nil, err
	}
	r.close() // all processes have ended and the history is complete
	r.evaluate()
	return &r.report, ctx.Err()
}

// setUp starts the executor and all members, and waits until the members hold their records.
func (r *round) setUp() error {
	var err error
	if r.executor, err = startExecutor(r.config.Seed); err != nil {
		return err
	}
	addrs := make([]string, r.config.Members)
	for i := range addrs {
		addrs[i] = r.Addr(clientPortOffset + i)
		r.addMember(i, addrs[i])
	}
	r.clients = newClients(addrs, r.config.Rate, r.config.Seed)
	if err := r.Start(r.Nodes...); err != nil {
		return err
	}
	for i, n := range r.Nodes {
		n.Config.Create = false // the first start has created the data directory
		if !awaitReady(addrs[i], startTimeout) {
			return fmt.Errorf("%s does not store records: %s", n.Name, n.Stderr)
		}
	}
	return nil
}

func (r *round) addMember(i int, clientAddr string) {
	config := MemberConfig{
		Member:         i,
		ListenAddr:     r.Addr(i),
		ClientAddr:     clientAddr,
		MemberAddrs:    r.AddrsFrom(i, r.config.Members),
		DataDir:        filepath.Join(r.Dir, fmt.Sprintf("member-%d", i)),
		Create:         true,
		ExecutorAddr:   r.executor.addr(),
		RetentionMs:    roundRetentionMs,
		Seed:           r.config.Seed,
		WithoutRecords: r.config.WithoutRecords,
	}
	if i == 0 {
		config.SyncDelay = r.config.SyncDelay
	}
	r.Add(fmt.Sprintf("member %d", i), config)
}

// close ends all processes, and then the executor. It may be called more than once.
func (r *round) close() {
	r.Close()
	if r.executor != nil {
		r.executor.close()
	}
}

// run runs clients and injects faults for the round's duration.
func (r *round) run(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, r.config.Duration)
	defer stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.clients.run(ctx)
	}()
	err := r.injectFaults(ctx)
	<-ended
	return err
}

func (r *round) injectFaults(ctx context.Context) error {
	r.Wait(ctx, 200, 200)
	if r.config.NoFaults {
		<-ctx.Done()
		return nil
	}
	faults := r.faults()
	for ctx.Err() == nil {
		n := r.Nodes[r.Rand.IntN(len(r.Nodes))]
		if err := faults[r.Rand.IntN(len(faults))](ctx, n); err != nil {
			return err
		}
		r.HealLinks()
		r.Wait(ctx, 50, 200)
	}
	return nil
}

// faults returns the faults to draw from. A fault that is listed several times is that much more likely. Some faults ignore the node that was drawn.
func (r *round) faults() []func(ctx context.Context, n *node) error {
	replaceOrRestart := r.restartMember
	if r.config.WipeDisks {
		replaceOrRestart = r.replaceMember
	}
	return []func(ctx context.Context, n *node) error{
		replaceOrRestart, replaceOrRestart, replaceOrRestart, r.restartMember, r.restartAll, r.partition, r.disturbLinks, r.pauseMember, r.pauseMember,
	}
}

// replaceMember replaces a member by one with a new disk, and waits until the new one has caught up: disks are lost one at a time.
func (r *round) replaceMember(_ context.Context, n *node) error {
	r.LogFault("%s is lost with its disk and replaced", n.Name)
	r.Kill(n)
	if err := os.RemoveAll(n.Config.DataDir); err != nil {
		return err
	}
	start := time.Now()
	if err := r.Start(n); err != nil {
		return err
	}
	r.report.WipedDisks++
	if !awaitReady(n.Config.ClientAddr, catchUpTimeout) {
		return fmt.Errorf("%s has not caught up after %v: %s", n.Name, catchUpTimeout, n.Stderr)
	}
	r.report.CatchUpMs = append(r.report.CatchUpMs, milliseconds(time.Since(start)))
	return nil
}

func (r *round) restartMember(ctx context.Context, n *node) error {
	r.LogFault("%s is killed and restarts", n.Name)
	return r.Restart(ctx, 0, 300, n)
}

func (r *round) restartAll(context.Context, *node) error {
	r.LogFault("all members are killed at once and restart")
	r.Kill(r.Nodes...)
	return r.Start(r.Nodes...)
}

func (r *round) partition(ctx context.Context, _ *node) error {
	subset := r.RandomSubset(r.memberIndexes())
	others := faultrounds.Complement(r.memberIndexes(), subset)
	oneWay := r.Rand.IntN(3) == 0
	r.LogFault("%v and %v are cut off from each other, one way only: %v", subset, others, oneWay)
	r.CutLinks(subset, others)
	if !oneWay {
		r.CutLinks(others, subset)
	}
	r.Wait(ctx, 200, 600)
	return nil
}

func (r *round) disturbLinks(ctx context.Context, _ *node) error {
	r.LogFault("messages are lost, delayed, duplicated and corrupted")
	r.DisturbLinks(r.memberIndexes(), func() faultrelay.Link {
		return faultrelay.Link{
			LossRate:         maxLossRate * r.Rand.Float64(),
			JitterMs:         maxJitterMs * r.Rand.Float64(),
			Duplicates:       r.Rand.IntN(maxDuplicates + 1),
			DuplicateDelayMs: maxDuplicateDelayMs * r.Rand.Float64(),
			CorruptRate:      corruptRate,
			TruncateRate:     truncateRate,
		}
	})
	r.Wait(ctx, 300, 600)
	return nil
}

func (r *round) pauseMember(ctx context.Context, n *node) error {
	r.LogFault("%s is paused", n.Name)
	r.Pause(ctx, 100, 700, n)
	return nil
}

// memberIndexes returns the numbers of all members.
func (r *round) memberIndexes() []int {
	indexes := make([]int, len(r.Nodes))
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
