// Mintspring is a node of the router: it takes requests from clients and sends them to cache servers and the origin. It is
// also the operators' tool for running nodes and for their files.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"mintspring/internal/version"
)

const (
	programName = "mintspring"
	description = "A client-side router for fleets of cache servers."
)

// commandLine defines the commands. The platform starts the program without arguments, which selects the command run.
type commandLine struct {
	Run            runCmd            `cmd:"" default:"withargs" help:"Run the node (also without a command)."`
	Check          checkCmd          `cmd:"" help:"Check the configuration and the operator's file, and show what would be on."`
	Snapshot       snapshotCmd       `cmd:"" help:"Show or check a snapshot of what a node has learned."`
	Peers          peersCmd          `cmd:"" help:"Show what a running node knows of its fleet."`
	RollingRestart rollingRestartCmd `cmd:"" help:"Restart servers one after another, coordinated by all nodes through the consensus group."`
	Consensus      consensusCmd      `cmd:"" help:"Initialize or change the replicas of the consensus group."`
	Idempotency    idempotencyCmd    `cmd:"" help:"Show the replicated idempotency records, and manage their data directories."`
	Version        versionCmd        `cmd:"" help:"Show which build this is."`
}

func main() {
	args := aliases.ResolveWithWarnings(programName, os.Args[1:], os.Stderr)
	parser := kong.Must(&commandLine{}, kong.Name(programName), kong.Description(description))
	ctx, err := parser.Parse(args)
	parser.FatalIfErrorf(err)
	if err := ctx.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", programName, err)
		os.Exit(1)
	}
}

type versionCmd struct{}

// Run prints the build of the program.
func (*versionCmd) Run() error {
	_, err := fmt.Println(version.Describe(programName))
	return err
}
