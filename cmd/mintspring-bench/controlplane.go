package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"

	"mintspring/internal/testbed/controlplanebench"
)

// maxDrainDelay is the longest time after a drain in which proxies may still send new requests to the drained endpoint.
const maxDrainDelay = 500 * time.Millisecond

// drainsCmd measures how soon proxies stop sending new requests to a drained endpoint.
type drainsCmd struct {
	Rounds int `default:"200"`
	Jobs   int `help:"Rounds at a time." default:"8"`
}

// Run implements the command.
func (c *drainsCmd) Run(ctx context.Context) error {
	results, err := controlplanebench.MeasureDrains(ctx, c.Rounds, c.Jobs, progress("drains"))
	if err != nil {
		return err
	}
	slowFaults := 0
	for _, r := range results {
		fmt.Printf("%-20s %4d rounds, the last new request %4d ms after the drain\n", r.Fault, r.Rounds, r.MaxDelay.Milliseconds())
		if r.MaxDelay > maxDrainDelay {
			slowFaults++
		}
	}
	if slowFaults > 0 {
		return fmt.Errorf("drains took longer than %v with %d of the faults", maxDrainDelay, slowFaults)
	}
	return nil
}

// adjustmentsCmd measures what ring point adjustments cost the control plane.
type adjustmentsCmd struct {
	Endpoints int           `default:"1000"`
	Streams   int           `default:"200"`
	Duration  time.Duration `default:"15s"`
}

// Run implements the command.
func (c *adjustmentsCmd) Run(ctx context.Context) error {
	fmt.Println("variant      endpoints streams snapshots applied  bytes/snapshot/proxy  CPU ms/snapshot  lease cores  KB/stream  p50 ms  p99 ms")
	for _, incremental := range []bool{false, true} {
		r, err := controlplanebench.MeasureScale(ctx, c.Endpoints, c.Streams, incremental, c.Duration, startProxyProcess)
		if err != nil {
			return err
		}
		variant := "full state"
		if incremental {
			variant = "incremental"
		}
		fmt.Printf("%-12s %9d %7d %9d %7d %21.0f %16.1f %12.2f %10.0f %7.1f %7.1f\n",
			variant, r.Endpoints, r.Streams, r.Snapshots, r.SnapshotsApplied, r.BytesPerStreamSnapshot, r.CPUMsPerSnapshot, r.LeaseCores, r.KiBPerStream, r.P50Ms, r.P99Ms)
	}
	return nil
}

// startProxyProcess starts proxies in a separate process, so that the control plane's CPU time is measured without theirs. It returns the
// standard output of the process, which is killed when the context ends.
func startProxyProcess(ctx context.Context, addr string, count int, incremental bool) (io.Reader, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, self, "proxies", addr, "--streams", strconv.Itoa(count), "--incremental="+strconv.FormatBool(incremental))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	go func() { _ = cmd.Wait() }() // it is killed when the context ends
	return out, nil
}

// proxiesCmd runs proxies of a control plane.
type proxiesCmd struct {
	Addr        string `arg:""`
	Streams     int    `default:"1"`
	Incremental bool
}

// Run implements the command.
func (c *proxiesCmd) Run(ctx context.Context) error {
	if err := checkLoopback(c.Addr); err != nil {
		return err
	}
	controlplanebench.RunProxies(ctx, c.Addr, c.Streams, c.Incremental, os.Stdout)
	return nil
}
