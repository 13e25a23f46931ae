package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"mintspring/internal/cluster/idempotency/simcluster"
	"mintspring/internal/testbed/idempotencytest"
)

// idempotencyCmd runs fault-injection rounds of real processes with idempotency records.
type idempotencyCmd struct {
	Rounds    int           `help:"Rounds, one for each seed from the first on." default:"300"`
	From      uint64        `help:"The first seed." default:"1"`
	Replicas  int           `help:"Replicas of the records." default:"5"`
	Duration  time.Duration `help:"How long each round lasts." default:"4s"`
	Rate      float64       `help:"Attempts of operations a second." default:"150"`
	Jobs      int           `help:"Rounds at a time." default:"3"`
	SyncDelay time.Duration `help:"Each sync of the first replica takes so much more."`
	NoFaults  bool          `help:"Without faults: what an operation costs."`
	NoRecords bool          `help:"Without records: what they are worth."`
	Simulate  bool          `help:"One round on a virtual clock, with any number of replicas: what it costs, and how soon a lost disk is made up for."`
}

// idempotencyProcessCmd runs one process of a round.
type idempotencyProcessCmd struct {
	Config string `arg:""`
}

// Run implements the command.
func (c *idempotencyProcessCmd) Run() error { return idempotencytest.RunMember(c.Config) }

// Run runs the rounds, prints each one that failed, and prints totals.
func (c *idempotencyCmd) Run(ctx context.Context) error {
	if c.Simulate {
		return c.simulate()
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	reports, errs := make([]*idempotencytest.Report, c.Rounds), make([]error, c.Rounds)
	forEachParallel(ctx, c.Rounds, c.Jobs, func(i int) {
		reports[i], errs[i] = idempotencytest.RunRound(ctx, idempotencytest.Config{
			Argv: []string{self, "idempotency-process"}, Members: c.Replicas, Duration: c.Duration, Rate: c.Rate, WipeDisks: true, SyncDelay: c.SyncDelay,
			NoFaults: c.NoFaults, WithoutRecords: c.NoRecords, Seed: c.From + uint64(i),
		})
	}, nil)
	if err := errors.Join(errs...); err != nil {
		return err
	}
	totals := idempotencyTotals{total: idempotencytest.Report{Answers: map[string]int{}}}
	for _, r := range reports {
		if r != nil {
			totals.add(r)
		}
	}
	totals.print()
	if totals.failed > 0 {
		return fmt.Errorf("%d of %d rounds failed", totals.failed, totals.rounds)
	}
	return nil
}

// idempotencyTotals holds totals over rounds.
type idempotencyTotals struct {
	total          idempotencytest.Report
	rounds, failed int
	faults         int
}

// add adds the report of a round, and prints it if the round failed.
func (s *idempotencyTotals) add(r *idempotencytest.Report) {
	s.rounds++
	s.faults += len(r.Faults)
	t := &s.total
	t.Operations += r.Operations
	t.Executions += r.Executions
	t.DuplicateExecutions += r.DuplicateExecutions
	t.WipedDisks += r.WipedDisks
	t.Undecided += r.Undecided
	for answer, count := range r.Answers {
		t.Answers[answer] += count
	}
	t.CatchUpMs = append(t.CatchUpMs, r.CatchUpMs...)
	t.ExecuteMs = append(t.ExecuteMs, r.ExecuteMs...)
	t.ReplayMs = append(t.ReplayMs, r.ReplayMs...)
	if !r.Passed() {
		s.failed++
		fmt.Printf("seed %d: %d executed twice, %d receipts changed, %d receipts lost, %d histories not linearizable, crashed %v\n  %s\n", r.Seed,
			r.DuplicateExecutions, r.ChangedReceipts, r.LostReceipts, r.NonLinearizable, r.Crashes, strings.Join(slices.Concat(r.Faults, r.Histories), "\n  "))
	}
}

// print prints the totals.
func (s *idempotencyTotals) print() {
	t := &s.total
	fmt.Printf("%d rounds, %d faults, %d disks lost; %d operations, %d executions, %d of them duplicates; responses",
		s.rounds, s.faults, t.WipedDisks, t.Operations, t.Executions, t.DuplicateExecutions)
	for _, answer := range slices.Sorted(maps.Keys(t.Answers)) {
		fmt.Printf(" %s %d", answer, t.Answers[answer])
	}
	fmt.Printf("\nan execution took p50 %.1f p99 %.1f ms, a replayed response p50 %.1f p99 %.1f ms; a replica that lost its disk caught up after p50 %.0f, at most %.0f ms; the checker was inconclusive for %d operations\n",
		quantile(t.ExecuteMs, 0.5), quantile(t.ExecuteMs, 0.99), quantile(t.ReplayMs, 0.5), quantile(t.ReplayMs, 0.99),
		quantile(t.CatchUpMs, 0.5), quantile(t.CatchUpMs, 1), t.Undecided)
}

// simulate runs one round on a virtual clock.
func (c *idempotencyCmd) simulate() error {
	const bytesPerKB = 1000
	r := simcluster.SimulateLoad(c.Replicas, c.Rate, int(c.Duration/time.Second), c.From)
	records := 0
	for _, count := range r.CatchUpRecords {
		records = max(records, count)
	}
	fmt.Printf("%d replicas, %.0f operations a second, %v: %d claims, %d granted after p50 %.0f p99 %.0f ms; %d disks lost, each with up to %d records, caught up after p50 %.0f, at most %.0f ms; "+
		"a replica and second: %.0f datagrams, %.1f kB, %.2f ms of processor time\n", r.Members, c.Rate, c.Duration, r.Claims, r.Granted, r.GrantP50Ms, r.GrantP99Ms,
		len(r.CatchUpMs), records, quantile(r.CatchUpMs, 0.5), quantile(r.CatchUpMs, 1), r.DatagramRate, r.ByteRate/bytesPerKB, r.CPUMs)
	if len(r.Violations) > 0 {
		return fmt.Errorf("%d violations; the first: %s", len(r.Violations), r.Violations[0])
	}
	return nil
}
