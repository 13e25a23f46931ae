package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"mintspring/internal/testbed/clientfaults"
	"mintspring/internal/testbed/processrunner"
)

// clientDeparturesCmd counts the attempts for clients that have left.
type clientDeparturesCmd struct {
	Clients  int           `default:"8"`
	Requests int           `help:"Of each client, written at once." default:"300"`
	Write    bool          `help:"The requests are writes."`
	Value    int           `help:"Bytes of the values that are written." default:"100"`
	Stay     time.Duration `help:"How long each client stays after its last byte." default:"20ms"`
	Reset    bool          `help:"The clients reset their connections."`
	MemoryMB int           `help:"The node's memory limit." default:"64"`
	Program  string        `help:"The node to measure; that beside this program otherwise."`
}

// departureWatchTime is for how long servers are watched after the clients have left.
const departureWatchTime = 3 * time.Second

// Run implements the command.
func (c *clientDeparturesCmd) Run() (err error) {
	x, err := readExperiment("")
	if err != nil {
		return err
	}
	x.Nodes.MemoryMB = c.MemoryMB
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
	departures := clientfaults.Departures{
		Addr: fleet.Addrs[0], Clients: c.Clients, Requests: c.Requests, Write: c.Write, Value: c.Value, Stay: c.Stay, Reset: c.Reset,
	}
	if err := departures.Run(); err != nil {
		return err
	}
	time.Sleep(departureWatchTime)
	fmt.Println(departures.Check(fleet.Fleet.Executions()))
	return nil
}
