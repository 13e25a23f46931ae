package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/processrunner"
)

// builtinExperiment is used when no experiment file is named.
const builtinExperiment = `name = "plain"
about = "Three small caches, to try a node with."
[fleet]
zones = ["hall-a", "hall-b"]
[[fleet.boxes]]
count = 3
[[workloads]]
name = "read"
share = 0.9
slo = "200ms"
timeout = "1s"
[[workloads]]
name = "write"
write = true
effect = "deduplicated"
dedup_span = "5s"
share = 0.1
slo = "400ms"
[nodes]
count = 1
[load]
rate = 300
`

// Request classes of the built-in experiment. Requests from the command line use them by default.
const (
	readClass  = "read"
	writeClass = "write"
)

// readExperiment reads an experiment file, or returns the built-in experiment if no file is named.
func readExperiment(file string) (*experiment.Experiment, error) {
	if file == "" {
		return experiment.Parse("plain", builtinExperiment)
	}
	return experiment.Read(file)
}

// serveCmd runs fake servers in the foreground.
type serveCmd struct {
	File   string `arg:"" optional:"" help:"An experiment whose fleet is to run; a small one otherwise."`
	Listen string `help:"Where the first node is to listen." default:"127.0.0.1:7379"`
	Dir    string `help:"Configurations of nodes go there." default:"run"`
	Node   bool   `help:"Start the nodes too."`
}

// Run implements the command.
func (c *serveCmd) Run(ctx context.Context) error {
	x, err := readExperiment(c.File)
	if err != nil {
		return err
	}
	var command []string
	if c.Node {
		program, err := nodeProgram("")
		if err != nil {
			return err
		}
		command = []string{program}
	}
	fleet, err := processrunner.StartStandalone(x, []string{c.Listen}, c.Dir, command)
	if err != nil {
		return err
	}
	defer fleet.Close()
	for i, file := range fleet.ConfigFiles {
		if c.Node {
			fmt.Printf("node %d serves on %s, process %d, data directory %s\n", i, fleet.Addrs[i], fleet.ProcessID(i), fleet.DataDir(i))
		} else {
			fmt.Printf("for node %d, on %s: bin/mintspring run --config %s\n", i, fleet.Addrs[i], file)
		}
	}
	fmt.Println("the fleet runs until it is interrupted")
	return fleet.Wait(ctx)
}

// tryCmd starts a node and fake servers, sends one request and a short load, and stops everything again.
type tryCmd struct{}

// Run implements the command.
func (c *tryCmd) Run() (err error) {
	x, err := readExperiment("")
	if err != nil {
		return err
	}
	program, err := nodeProgram("")
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
	request := processrunner.SingleRequest{Addr: fleet.Addrs[0], Class: readClass, Tenant: "all", Key: "greeting", Timeout: time.Second}
	value, err := request.Send()
	if err != nil {
		return err
	}
	fmt.Printf("KV.GET greeting: %s\n", strings.TrimRight(value, "."))
	test := processrunner.LoadTest{
		Addr: fleet.Addrs[0], Rate: 300, Clients: 32, Duration: 3 * time.Second, Class: readClass, Tenant: "all", Timeout: time.Second, Keys: 300,
	}
	return runLoadTest(&test)
}

// runLoadTest runs a load test and prints its result.
func runLoadTest(test *processrunner.LoadTest) error {
	result, err := test.Run()
	if err == nil {
		fmt.Println(result)
	}
	return err
}

// requestCmd sends one request to a node.
type requestCmd struct {
	Key            string        `arg:""`
	Value          string        `arg:"" optional:"" help:"With a value it is a write."`
	Addr           string        `default:"127.0.0.1:7379"`
	Class          string        `help:"The class of the request; read, or write where there is a value, otherwise."`
	Tenant         string        `default:"all"`
	IdempotencyKey string        `help:"Of a write: its idempotency key, under which it can be retried; a new one otherwise."`
	Timeout        time.Duration `default:"2s"`
}

// Run implements the command.
func (c *requestCmd) Run() error {
	class := c.Class
	if class == "" {
		if class = readClass; c.Value != "" {
			class = writeClass
		}
	}
	request := processrunner.SingleRequest{
		Addr: c.Addr, Class: class, Tenant: c.Tenant, Key: c.Key, Value: c.Value, Write: c.Value != "", IdempotencyKey: c.IdempotencyKey, Timeout: c.Timeout,
	}
	value, err := request.Send()
	if err == nil {
		fmt.Println(value)
	}
	return err
}

// loadCmd sends load to one node.
type loadCmd struct {
	Addr     string        `arg:""`
	Rate     float64       `help:"Requests a second, which do not wait for responses; 0: each client sends as soon as it has its response." default:"200"`
	Clients  int           `help:"Connections." default:"16"`
	Duration time.Duration `default:"10s"`
	Class    string        `help:"The class of the requests." default:"read"`
	Tenant   string        `default:"all"`
	Timeout  time.Duration `default:"1s"`
	Keys     int           `default:"1000"`
}

// Run implements the command.
func (c *loadCmd) Run() error {
	if err := checkLoopback(c.Addr); err != nil {
		return err
	}
	return runLoadTest(&processrunner.LoadTest{
		Addr: c.Addr, Rate: c.Rate, Clients: c.Clients, Duration: c.Duration, Class: c.Class, Tenant: c.Tenant, Timeout: c.Timeout, Keys: c.Keys,
		Progress: progress("load"),
	})
}
