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

// maxSchedulingDelayMs is how long a machine may keep processes waiting for what went on at once to be judged, in ms.
const maxSchedulingDelayMs = 20

// leasesCmd plays rounds of real processes that compete for one lease.
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

// leaseProcessCmd is a process of a round.
type leaseProcessCmd struct {
	Config string `arg:""`
}

// Run implements the command.
func (c *leaseProcessCmd) Run() error { return leasetest.RunProcess(c.Config) }

// freezesProcesses reports whether processes are frozen in the round of a seed: in every other one.
func (c *leasesCmd) freezesProcesses(seed uint64) bool { return seed%2 == 0 && !c.KillHolders }

// Run plays rounds and says what was wrong in any.
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
	var sum leaseSum
	for _, r := range reports {
		if r != nil {
			sum.add(r, c.freezesProcesses(r.Seed))
		}
	}
	if len(sum.idleMillis) == 0 {
		return errInterrupted
	}
	sum.print()
	if sum.failed > 0 {
		return fmt.Errorf("%d of %d rounds failed", sum.failed, len(sum.idleMillis))
	}
	return nil
}

// leaseSum sums up rounds.
type leaseSum struct {
	total          leasetest.Report
	failed, busy   int
	inconclusive   int
	concurrent     int       // steps in rounds with frozen processes
	idleMillis     []float64 // the longest time without a step, by round
	failoverMillis []float64
}

// add adds a round. One that failed is printed.
func (s *leaseSum) add(r *leasetest.Report, freezes bool) {
	s.total.Steps += r.Steps
	s.total.Rejected += r.Rejected
	s.total.Grants += r.Grants
	s.total.Operations += r.Operations
	s.total.Faults += r.Faults
	s.idleMillis = append(s.idleMillis, r.LongestIdleMillis)
	s.failoverMillis = append(s.failoverMillis, r.FailoverMillis...)
	if freezes {
		s.concurrent += r.Concurrent
	}
	if r.Inconclusive {
		s.inconclusive++
	}
	if !freezes && r.SchedulingDelayMillis > maxSchedulingDelayMs {
		s.busy++
	}
	if !r.Passed(freezes) {
		s.failed++
		fmt.Printf("seed %d: %d overlaps, %d under a lower token, %d concurrent, linearizable %v, crashed %v\n  %s\n", r.Seed, r.Overlaps, r.TokenRegressions,
			r.Concurrent, r.Linearizable, r.FailedVoters, strings.Join(r.FaultLog, "\n  "))
	}
}

// print prints the sum.
func (s *leaseSum) print() {
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
		s.concurrent, s.inconclusive)
	if s.busy > 0 {
		fmt.Printf("in %d rounds without frozen processes the machine was too busy, so concurrent steps are not evaluated there\n", s.busy)
	}
}
