package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"mintspring/internal/cli"
	"mintspring/internal/cluster"
	"mintspring/internal/cluster/counters"
	"mintspring/internal/cluster/gossip"
	"mintspring/internal/cluster/outlier"
	"mintspring/internal/cluster/quota"
	"mintspring/internal/cluster/wire"
	"mintspring/internal/node/admin"
)

type peersCmd struct {
	Address string `arg:"" help:"Address of the node's admin port (admin in its configuration)."`
	JSON    bool   `name:"json" help:"Print JSON."`
}

// Run shows what a node knows of its fleet.
func (c *peersCmd) Run() error {
	return callAndShow(c.Address, admin.CallPeers, c.JSON, func(s *gossip.Status) error { return printPeers(s, os.Stdout) })
}

func printPeers(s *gossip.Status, out io.Writer) error {
	p := cli.NewPrinter(out)
	state := ""
	if s.Isolated {
		state = ", isolated: it hears no peer"
	}
	if s.IDConflicts > 0 {
		state += fmt.Sprintf(", %d conflicts over its number", s.IDConflicts)
	}
	p.Printf("node %d of fleet %s: %d nodes alive%s; received %d datagrams, %d of other fleets, %d malformed\n", s.Self, s.Fleet, s.MemberCount, state,
		s.Received.Datagrams, s.Received.Foreign, s.Received.Malformed)
	for i := range s.Members {
		printMember(p, &s.Members[i], s.Self)
	}
	for i := range s.Budgets {
		printQuota(p, &s.Budgets[i])
	}
	for i := range s.Servers {
		printServer(p, &s.Servers[i])
	}
	for _, name := range counters.KindNames {
		if sum, ok := s.Counters[name]; ok {
			p.Printf("  %s over the fleet: %d, of %d nodes, the oldest %.1f s old\n", name, sum.Value, sum.Nodes, sum.OldestAgeMs/1000)
		}
		for _, sum := range s.LabeledCounters[name] {
			p.Printf("  %s, %s: %d, of %d nodes, the oldest %.1f s old\n", name, displayName(sum.Name, "name", sum.Label), sum.Value, sum.Nodes,
				sum.OldestAgeMs/1000)
		}
	}
	return p.Err()
}

// incarnationTimeShift is the number of low bits of an incarnation that are not part of its start time in Unix ms.
const incarnationTimeShift = 16

func printMember(p *cli.Printer, m *gossip.MemberStatus, self cluster.NodeID) {
	startedAt := time.UnixMilli(int64(m.Incarnation >> incarnationTimeShift)).UTC().Format(time.RFC3339)
	heard := "never heard directly"
	switch {
	case m.Node == self:
		heard = "this node"
	case m.HeardAgoMs >= 0:
		heard = fmt.Sprintf("heard %.1f s ago", m.HeardAgoMs/1000)
	}
	p.Printf("  node %-4d %-8s started at %s, %s\n", m.Node, m.State, startedAt, heard)
}

func printQuota(p *cli.Printer, account *quota.BudgetStatus) {
	scale, unit := 100.0, "%"
	if account.FromTraffic {
		scale, unit = 1000, " a second"
	}
	formatUnits := func(units uint32) string { return fmt.Sprintf("%.1f%s", scale*float64(units)/quota.TotalUnits, unit) }
	p.Printf("  %s: %s own, %s borrowed, %s lent, %s needed\n", displayName(account.Name, "quota", account.Budget),
		formatUnits(account.OwnUnits), formatUnits(account.BorrowedUnits), formatUnits(account.LentUnits), formatUnits(account.DemandUnits))
}

// verdictNames has the printed names of the verdicts that nodes exchange about a server.
var verdictNames = [...]string{wire.Healthy: "healthy", wire.Failing: "failing", wire.Duplicating: "sends duplicate responses"}

func printServer(p *cli.Printer, server *outlier.ServerStatus) {
	p.Printf("  %s: own failure rate %.2f, bias by others %+.2f", displayName(server.Name, "server", server.Server), server.FailureRate, server.Bias)
	if server.Duplicating {
		p.Printf(", %s", verdictNames[wire.Duplicating])
	}
	for _, e := range server.Evidence {
		p.Printf("; node %d: %s (%d attempts, %.1f s ago)", e.Source, verdictNames[min(e.Verdict, wire.Duplicating)], e.Attempts, e.AgeMs/1000)
	}
	p.Printf("\n")
}

// displayName returns the name. If it is empty because the node does not know it, the result is the kind and the identifier on the wire.
func displayName(name, kind string, id uint32) string {
	if name == "" {
		return fmt.Sprintf("%s %08x", kind, id)
	}
	return name
}
