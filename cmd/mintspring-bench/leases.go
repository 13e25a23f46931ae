package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"mintspring/internal/testbed/leasetest"
)

// maxSchedulingDelayMs is the longest scheduling delay with which concurrent steps of a round are still evaluated. On a busier
// machine a contender may be paused between its lease check and its request, which makes its step a concurrent one.
const maxSchedulingDelayMs = 20

// leasesCmd runs fault-injection rounds of real processes that compete for one lease.
type leasesCmd struct {
	Rounds      int           `help:"Rounds, one for each seed from the first on." default:"200"`
	From        uint64        `help:"The first seed." default:"1"`
	Voters      int           `help:"Voters of the consensus group." default:"5"`
	Spares      int           `help:"Replicas beside them that are no voters at first: with some, members are added and removed."`
	Contenders  int           `help:"Processes that want the lease." default:"4"`
	Duration    time.Duration `help:"How long each round lasts." default:"4s"`
	TTL         time.Duration `help:"Of the lease." default:"400ms"`
	Jobs        int           `help:"Rounds at a time." default:"3"`
	KillHolders bool          `help:"Without other faults, whoever holds the lease is killed again and again: how long nobody holds it."`
	Unchecked   bool          `help:"Contenders do not check their lease before a step: what that is worth."`
}

// leaseProcessCmd runs one process of a round.
type leaseProcessCmd struct {
	Config string `arg:""`
}

// Run implements the command.
func (c *leaseProcessCmd) Run() error { return leasetest.RunProcess(c.Config) }

// freezesProcesses reports whether the round of a seed freezes processes. Every other round does, unless holders are killed instead.
func (c *leasesCmd) freezesProcesses(seed uint64) bool { return seed%2 == 0 && !c.KillHolders }

// Run runs the rounds, prints each one that failed, and prints totals.
func (c *leasesCmd) Run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	reports, errs := make([]*leasetest.Report, c.Rounds), make([]error, c.Rounds)
	forEachParallel(ctx, c.Rounds, c.Jobs, func(i int) {
		seed := c.From + uint64(i)
		reports[i], errs[i] = leasetest.RunRound(ctx, leasetest.Config{
			Argv: []string{self, "lease-process"}, Voters: c.Voters, Spares: c.Spares, Contenders: c.Contenders, Duration: c.Duration, TTL: c.TTL,
			PauseProcesses: c.freezesProcesses(seed), KillHolders: c.KillHolders, SkipLeaseCheck: c.Unchecked, Seed: seed,
		})
	}, nil)
	if err := errors.Join(errs...); err != nil {
		return err
	}
	var totals leaseTotals
	for _, r := range reports {
		if r != nil {
			totals.add(r, c.freezesProcesses(r.Seed))
		}
	}
	if len(totals.idleMillis) == 0 {
		return errInterrupted
	}
	totals.print()
	if totals.failed > 0 {
		return fmt.Errorf("%d of %d rounds failed", totals.failed, len(totals.idleMillis))
	}
	return nil
}

// leaseTotals holds totals over rounds.
type leaseTotals struct {
	total              leasetest.Report
	failed, overloaded int
	inconclusive       int
	concurrentSteps    int       // concurrent steps in rounds that freeze processes
	idleMillis         []float64 // the longest time without a step in each round
	failoverMillis     []float64
}

// add adds the report of a round, and prints it if the round failed.
func (s *leaseTotals) add(r *leasetest.Report, freezes bool) {
	s.total.Steps += r.Steps
	s.total.Rejected += r.Rejected
	s.total.Grants += r.Grants
	s.total.Operations += r.Operations
	s.total.Faults += r.Faults
	s.idleMillis = append(s.idleMillis, r.LongestIdleMillis)
	s.failoverMillis = append(s.failoverMillis, r.FailoverMillis...)
	if freezes {
		s.concurrentSteps += r.Concurrent
	}
	if r.Inconclusive {
		s.inconclusive++
	}
	if !freezes && r.SchedulingDelayMillis > maxSchedulingDelayMs {
		s.overloaded++
	}
	if !r.Passed(freezes) {
		s.failed++
		fmt.Printf("seed %d: %d overlaps, %d under a lower token, %d concurrent, linearizable %v, crashed %v\n  %s\n", r.Seed, r.Overlaps, r.TokenRegressions,
			r.Concurrent, r.Linearizable, r.FailedVoters, strings.Join(r.FaultLog, "\n  "))
	}
}

// print prints the totals.
func (s *leaseTotals) print() {
	slices.Sort(s.idleMillis)
	slices.Sort(s.failoverMillis)
	idle, failover := s.idleMillis, s.failoverMillis
	fmt.Printf("%d rounds, %d faults, %d steps took effect, %d were rejected for their token, %d grants, %d calls; longest time without a step: median %.0f ms, worst %.0f ms\n",
		len(idle), s.total.Faults, s.total.Steps, s.total.Rejected, s.total.Grants, s.total.Operations, idle[len(idle)/2], idle[len(idle)-1])
	if len(failover) > 0 {
		fmt.Printf("from %d deaths of a holder to the next step: p50 %.0f ms, p99 %.0f ms, longest %.0f ms\n",
			len(failover), failover[len(failover)/2], failover[len(failover)*99/100], failover[len(failover)-1])
	}
	fmt.Printf("where processes were frozen, %d steps began while one of a frozen process was open; the checker was inconclusive in %d rounds, which counts as failed\n",
		s.concurrentSteps, s.inconclusive)
	if s.overloaded > 0 {
		fmt.Printf("in %d rounds without frozen processes the machine was too busy, so concurrent steps are not evaluated there\n", s.overloaded)
	}
}
