// Command mintspring-bench runs fake servers, load and experiments on loopback addresses, and simulates whole fleets on a virtual clock. It
// exits with status 1 when a run fails or does not meet its expectations.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// programName is the program's name in messages.
const programName = "mintspring-bench"

// commandLine holds the commands. Kong derives the name of each command from its field; aliases has the former names.
type commandLine struct {
	Serve            serveCmd            `cmd:"" help:"Run fake servers in the foreground: caches, their origin and discovery."`
	Try              tryCmd              `cmd:"" help:"Run a node among fake servers for one request and a short load, and end all of it."`
	Request          requestCmd          `cmd:"" help:"Send one request to a node."`
	Load             loadCmd             `cmd:"" help:"Put a load on one node, without fake servers."`
	Run              runCmd              `cmd:"" help:"Run experiments with real processes and evaluate their expectations."`
	Soak             soakCmd             `cmd:"" help:"Run generated faults and series of signals on real processes, and check the rules."`
	Search           searchCmd           `cmd:"" help:"Generate experiments, simulate them, and shrink the worst."`
	Sweep            sweepCmd            `cmd:"" help:"Raise the load of a simulated fleet past saturation and lower it again."`
	Simulate         simulateCmd         `cmd:"" help:"Run experiments on a virtual clock, at any size."`
	Leases           leasesCmd           `cmd:"" help:"Run fault-injection rounds of real processes that compete for one lease: no two holders may act at once."`
	Idempotency      idempotencyCmd      `cmd:"" help:"Run fault-injection rounds of real processes with idempotency records and lost disks: no record may be lost."`
	Gossip           gossipCmd           `cmd:"" help:"Simulate the gossip of whole fleets: detected and false deaths, its cost, and false evidence."`
	Duplicates       duplicatesCmd       `cmd:"" help:"Measure wrong responses with late duplicate responses, and what they cost."`
	ClientFaults     clientFaultsCmd     `cmd:"" help:"Measure what ordinary clients of one node get beside clients that flood it, are slow or leave."`
	ClientDepartures clientDeparturesCmd `cmd:"" help:"Count the attempts that begin for clients that have left."`
	Report           reportCmd           `cmd:"" help:"Write one page about the runs in a directory."`
	Compare          compareCmd          `cmd:"" help:"Compare the figures of two directories."`
	Figures          figuresCmd          `cmd:"" help:"List the figures that an expectation can name."`
	Drains           drainsCmd           `cmd:"" help:"Run rounds of drains at proxies of the control plane, over links that fail."`
	Adjustments      adjustmentsCmd      `cmd:"" help:"Measure what a ring point adjustment costs the control plane at size."`
	CheckDynamic     checkDynamicCmd     `cmd:"" help:"Check that the platform can load its library into a program."`

	// Hidden commands, which other commands start as separate processes.
	LeaseProcess       leaseProcessCmd       `cmd:"" hidden:"" help:"A process of a round."`
	IdempotencyProcess idempotencyProcessCmd `cmd:"" hidden:"" help:"A process of a round."`
	BaselineNode       baselineNodeCmd       `cmd:"" hidden:"" help:"A node that a baseline decides for."`
	FloodProcess       floodProcessCmd       `cmd:"" hidden:"" help:"The clients of a flood."`
	Proxies            proxiesCmd            `cmd:"" hidden:"" help:"Proxies of a control plane."`
	TraceSyscalls      syscallTraceCmd       `cmd:"" hidden:"" passthrough:"" help:"A program whose system calls are checked."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	commands := commandLine{}
	parser := newParser(&commands, kong.BindTo(ctx, (*context.Context)(nil)))
	parsed, err := parser.Parse(aliases.ResolveWithWarnings(programName, os.Args[1:], os.Stderr))
	parser.FatalIfErrorf(err)
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, programName+":", err)
		os.Exit(1)
	}
}

// newParser returns the parser of the command line.
func newParser(commands *commandLine, options ...kong.Option) *kong.Kong {
	options = append(options, kong.Name(programName), kong.Description("Fake servers, load and experiments on loopback."))
	return kong.Must(commands, options...)
}
