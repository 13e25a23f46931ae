package main

import (
	"io"
	"os"
	"strings"
	"time"

	"mintspring/internal/cli"
	"mintspring/internal/config/operatorfile"
	"mintspring/internal/config/platform"
	"mintspring/internal/node"
	"mintspring/internal/state/snapshot"
	"mintspring/internal/state/snapshotfile"
)

type snapshotCmd struct {
	Show  snapshotShowCmd  `cmd:"" help:"Show what a snapshot holds, server by server."`
	Check snapshotCheckCmd `cmd:"" help:"Check whether a snapshot can be used, and how far a start now would rely on it."`
}

type snapshotShowCmd struct {
	File string `arg:""`
}

// Run shows the snapshot.
func (c *snapshotShowCmd) Run() error { return printSnapshot(c.File, time.Now(), os.Stdout) }

func printSnapshot(file string, now time.Time, out io.Writer) error {
	s, err := snapshotfile.ReadFile(file)
	if err != nil {
		return err
	}
	p := cli.NewPrinter(out)
	takenAt := time.UnixMilli(int64(s.TakenAt))
	p.Printf("node %s of zone %s, %s, %v ago; %d servers, %d popular keys, window at the origin %.1f\n", s.Node, s.Zone,
		takenAt.UTC().Format(time.RFC3339), now.Sub(takenAt).Round(time.Second), len(s.Servers), len(s.Global.Keys), s.Global.OriginWindow)
	p.Printf("%-32s %-20s %6s %9s %9s %8s %6s %6s\n", "server", "started at", "moved", "pace ms", "reply ms", "failures", "hits", "queue")
	for i := range s.Servers {
		server := &s.Servers[i]
		startedAt := "long ago"
		if server.StartedAt > 0 {
			startedAt = time.UnixMilli(int64(server.StartedAt)).UTC().Format(time.RFC3339)
		}
		p.Printf("%-32s %-20s %6.3f %9.1f %9.1f %8.2f %6.2f %6.1f\n", server.Name, startedAt, server.ShedArcShare, server.TimePerQueued,
			server.ResponseTime, server.Failures, server.HitRatio, server.QueuePeak)
	}
	return p.Err()
}

type snapshotCheckCmd struct {
	File string `arg:""`
	fileFlags
}

// Run checks the snapshot.
func (c *snapshotCheckCmd) Run() error {
	return checkSnapshot(c.File, c.fileFlags, time.Now(), os.Stdout)
}

// checkSnapshot prints how far a node that starts now would trust a snapshot, provided that the servers are still the same.
func checkSnapshot(file string, files fileFlags, now time.Time, out io.Writer) error {
	s, err := snapshotfile.ReadFile(file)
	if err != nil {
		return err
	}
	config, note, err := trustConfig(s, files)
	if err != nil {
		return err
	}
	var servers []snapshot.CurrentServer
	for i := range s.Servers {
		servers = append(servers, snapshot.CurrentServer{Name: s.Servers[i].Name, StartedAt: s.Servers[i].StartedAt, Ready: true})
	}
	trust := s.Assess(float64(now.UnixMilli()), config, servers)
	reasons := ""
	if len(trust.Reasons) > 0 {
		reasons = ": " + strings.Join(trust.Reasons, "; ")
	}
	p := cli.NewPrinter(out)
	p.Printf("valid; a start now would trust it to %.0f%%, if the servers are the same%s%s\n", 100*trust.Global, reasons, note)
	return p.Err()
}

// trustConfig returns the configuration that the trust in a snapshot is computed from. Without a platform configuration, node, zone and
// deployment are taken from the snapshot itself, and the note says so.
func trustConfig(s *snapshot.State, files fileFlags) (config snapshot.Config, note string, err error) {
	section := operatorfile.DefaultSnapshot()
	if files.getenv(configEnv) == "" {
		return snapshot.Config{
			HalfLife:          section.HalfLife.Milliseconds(),
			MaxAge:            section.MaxAge.Milliseconds(),
			PolicyFingerprint: s.PolicyFingerprint,
			Node:              s.Node,
			Zone:              s.Zone,
		}, " (without a configuration, node, zone and deployment are taken from the snapshot)", nil
	}
	c, err := platform.Load(files.getenv)
	if err != nil {
		return snapshot.Config{}, "", err
	}
	operator, err := readOperatorFile(files.Operator, os.Stderr)
	if err != nil {
		return snapshot.Config{}, "", err
	}
	if operator.Snapshot != nil {
		section = operator.Snapshot
	}
	return node.SnapshotConfig(c.Name, node.EffectiveDeployment(c.Deployment), section), "", nil
}
