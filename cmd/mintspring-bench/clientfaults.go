package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"time"

	"mintspring/internal/testbed/clientfaults"
	"mintspring/internal/testbed/processrunner"
)

// clientFaultsCmd measures what ordinary clients of one node get beside a flood or a crowd.
type clientFaultsCmd struct {
	Kinds    []string      `arg:"" optional:"" help:"Kinds of floods and crowds; all otherwise. The kind none is neither."`
	Clients  int           `help:"Connections of the flood." default:"6"`
	Batch    int           `help:"Commands in one write of the flood." default:"100"`
	Unread   bool          `help:"The flood does not read its replies."`
	NewConns bool          `help:"The flood opens a new connection for each write."`
	Rate     float64       `help:"Ordinary reads a second." default:"300"`
	Timeout  time.Duration `help:"What ordinary clients wait for an answer." default:"150ms"`
	Duration time.Duration `default:"5s"`
	Value    int           `help:"Bytes of the values that are read." default:"200"`
	MemoryMB int           `help:"The node's memory limit." default:"64"`
	Sockets  int           `help:"The node's limit on descriptors." default:"512"`
	Program  string        `help:"The node to measure; that beside this program otherwise."`
	Log      bool          `help:"Print the node's log after each flood."`
}

// noFlood names a measurement without a flood.
const noFlood = "none"

// floodTenant is the tenant of the ordinary clients.
const floodTenant = "all"

// Run implements the command.
func (c *clientFaultsCmd) Run(ctx context.Context) error {
	kinds := c.Kinds
	if len(kinds) == 0 {
		kinds = append([]string{noFlood}, clientfaults.Kinds()...)
	}
	fmt.Println("| flood | ordinary reads | completed | late | unanswered | p50 ms | p99 ms | peak MB | descriptors |\n|---|---|---|---|---|---|---|---|---|")
	for _, kind := range kinds {
		if err := c.measure(ctx, kind); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// measure runs a fleet with one kind of flood, and prints a row of the table.
func (c *clientFaultsCmd) measure(ctx context.Context, kind string) (err error) {
	x, err := readExperiment("")
	if err != nil {
		return err
	}
	x.Nodes.MemoryMB, x.Nodes.Sockets, x.Load.ValueBytes = c.MemoryMB, c.Sockets, c.Value
	program, err := nodeProgram(c.Program)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", programName+"-")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	fleet, err := processrunner.StartStandalone(x, nil, dir, []string{program})
	if err != nil {
		return err
	}
	defer fleet.Close()
	fleet.Fleet.DiscardExecutions()
	test := processrunner.LoadTest{
		Addr: fleet.Addrs[0], Rate: c.Rate, Clients: 32, Duration: time.Second, Class: readClass, Tenant: floodTenant, Timeout: c.Timeout, Keys: 300,
	}
	if _, err := test.Run(); err != nil { // which fills the caches
		return err
	}
	measured, stop := context.WithCancel(ctx)
	defer stop()
	usage := clientfaults.WatchUsage(measured, fleet.ProcessID(0))
	flooding, err := c.startFlood(measured, kind, fleet.Addrs[0])
	if err != nil {
		return err
	}
	test.Duration = c.Duration
	result, err := test.Run()
	stop()
	flooding()
	if err != nil {
		return err
	}
	peak := usage()
	fmt.Printf("| %s | %d | %.4f | %d | %d | %.1f | %.1f | %.1f | %d |\n", kind, result.Sent, float64(result.Completed)/float64(max(1, result.Sent)),
		result.Late, result.Unanswered, result.P50, result.P99, peak.PeakMB, peak.Descriptors)
	if !c.Log {
		return nil
	}
	text, err := os.ReadFile(fleet.LogFile(0))
	fmt.Print(string(text))
	return err
}

// startFlood starts a flood in a process of its own, which would otherwise take the processor from the fake servers, until the context ends. The
// returned function waits for the end of the process.
func (c *clientFaultsCmd) startFlood(ctx context.Context, kind, addr string) (wait func(), err error) {
	if kind == noFlood {
		return func() {}, nil
	}
	flood, err := json.Marshal(clientfaults.Flood{Addr: addr, Kind: kind, Clients: c.Clients, Batch: c.Batch, Unread: c.Unread, NewConns: c.NewConns})
	if err != nil {
		return nil, err
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	command := exec.CommandContext(ctx, program, "flood-process", string(flood))
	command.Stderr = os.Stderr
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	return func() { _ = command.Wait() }, nil // it is killed
}

// floodProcessors is how many processors a flood may use.
const floodProcessors = 3

// floodProcessCmd is the process of a flood.
type floodProcessCmd struct {
	Flood string `arg:"" help:"The flood, as JSON."`
}

// Run implements the command.
func (c *floodProcessCmd) Run(ctx context.Context) error {
	runtime.GOMAXPROCS(floodProcessors)
	var flood clientfaults.Flood
	if err := json.Unmarshal([]byte(c.Flood), &flood); err != nil {
		return err
	}
	if err := flood.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
