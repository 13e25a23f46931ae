// Package idempotencytest shows with real processes that a machine lost with its disk loses nothing of the replicated idempotency records.
//
// A round runs members that are killed, paused, cut off from one another and lose their disks as a seed has it, while clients attempt each operation
// again and again at all of them. An executor in the process of the test, which drops no repeats, counts the executions. The answers that clients got are
// checked for linearizability. Nothing depends on what a process says of itself but these.
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

// Streams of random numbers of one seed.
const (
	faultStream    = 43
	executorStream = 44
	clientStream   = 45
)

const (
	// clientPortOffset is the number of the first member's socket for clients.
	clientPortOffset = 100
	// roundRetentionMs is for how long members keep records: longer than any round.
	roundRetentionMs = 600e3
	// startTimeout is how long all members may take until they store records.
	startTimeout = 10 * time.Second
	// catchUpTimeout is how long a member with a new disk may take to catch up.
	catchUpTimeout = 20 * time.Second
)

// Faults of links that a round draws from.
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
	Argv           []string // that processes are started with, before their configuration
	Members        int
	Duration       time.Duration
	Rate           float64       // of attempts a second, at least
	WipeDisks      bool          // members are replaced by ones with new disks, one at a time
	SyncDelay      time.Duration // added to each sync of the first member
	NoFaults       bool
	WithoutRecords bool // operations are executed without records, to show what these are worth
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

// RunRound runs one round and reports what was observed. An error means that the round could not be run.
func RunRound(ctx context.Context, config Config) (*Report, error) {
	shared, err := faultrounds.New[MemberConfig](faultrounds.Options{
		Name:         "idempotency",
		Argv:         config.Argv,
		Nodes:        config.Members,
		Seed:         config.Seed,
		RandomStream: faultStream,
	})
	if err != nil {
		return nil, err
	}
	r := &round{Round: shared, config: config, report: Report{Seed: config.Seed, Answers: map[string]int{}}}
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

// setUp starts all members and waits until they store records.
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
		n.Config.Create = false // that was the first start
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

// close ends all processes, and then the executor. It may be called again.
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

// faults returns the faults to draw from; those that occur several times are as much more likely. Some of them affect the node that was drawn.
func (r *round) faults() []func(ctx context.Context, n *node) error {
	wipe := r.restartMember
	if r.config.WipeDisks {
		wipe = r.replaceMember
	}
	return []func(ctx context.Context, n *node) error{
		wipe, wipe, wipe, r.restartMember, r.cutPower, r.partition, r.disturbLinks, r.pauseMember, r.pauseMember,
	}
}

// replaceMember replaces a member by one with a new disk. The next fault happens when that one has caught up: disks are lost one at a time.
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

func (r *round) cutPower(context.Context, *node) error {
	r.LogFault("all members are killed at once and restart")
	r.Kill(r.Nodes...)
	return r.Start(r.Nodes...)
}

func (r *round) partition(ctx context.Context, _ *node) error {
	some := r.RandomSubset(r.all())
	others := faultrounds.Others(r.all(), some)
	oneWay := r.Rand.IntN(3) == 0
	r.LogFault("%v and %v are cut off from each other, one way only: %v", some, others, oneWay)
	r.CutLinks(some, others)
	if !oneWay {
		r.CutLinks(others, some)
	}
	r.Wait(ctx, 200, 600)
	return nil
}

func (r *round) disturbLinks(ctx context.Context, _ *node) error {
	r.LogFault("messages are lost, delayed, duplicated and corrupted")
	r.DisturbLinks(r.all(), func() faultrelay.Link {
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

// all returns the numbers of all members.
func (r *round) all() []int {
	all := make([]int, len(r.Nodes))
	for i := range all {
		all[i] = i
	}
	return all
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
