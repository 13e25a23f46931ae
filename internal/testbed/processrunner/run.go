// Package processrunner runs experiments with real processes on loopback: it starts fake servers and nodes, generates load, applies the
// timeline, and collects the results. It also runs standalone fleets and load tests without an experiment.
package processrunner

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/invariants"
)

const (
	// startDelay is the time from the end of the setup to the start of the load.
	startDelay = 50 * time.Millisecond
	// settleAfterLoad is how long a run continues after the last request, to catch requests that a node sends after its response.
	settleAfterLoad = 100 * time.Millisecond
	// lostAfterMs is how long after its deadline, in ms, an unanswered request counts as lost in the operators' standing test.
	lostAfterMs = 500
	// sampleInterval is the time between two samples of the servers.
	sampleInterval = 100 * time.Millisecond
	// samplesPerUsageReading is the number of server samples per reading of the nodes' resource usage.
	samplesPerUsageReading = 10
)

// Options are the options of Play.
type Options struct {
	Program        string    // name of the tested program in reports
	Command        []string  // starts a node, with the path of its configuration in LB_CONFIG
	NoOperatorFile bool      // start nodes without the experiment's operator's file, as for other builds and baselines
	InProcess      ServeFunc // if set, runs the nodes within this process instead of Command
	Seed           uint64    // 0 for the experiment's own seed
	Dir            string    // for logs and configurations of nodes; "" for a temporary folder
	Progress       func(done float64)
	AcceptFails    bool // system calls that accept connections fail at times, by a plan of the caller
}

// Play runs an experiment with real processes and returns its results. All processes and servers that it started have ended when it
// returns.
func Play(ctx context.Context, x *experiment.Experiment, o Options) (*experiment.Run, error) {
	if err := x.ValidateRealTime(); err != nil {
		return nil, err
	}
	dir, removeDir, err := runDir(o.Dir)
	if err != nil {
		return nil, err
	}
	defer removeDir()
	seed := cmp.Or(o.Seed, x.Seed)
	fleet, err := fakes.Start(x.ServerSpecs(), x.Nodes.Count, x.ClassCosts(), x.Load.ValueBytes, seed)
	if err != nil {
		return nil, fmt.Errorf("starting the fake servers: %w", err)
	}
	defer fleet.Close()
	fleet.Discovery.SetDelay(x.Fleet.DiscoveryDelay.Duration())
	program := nodeProgram{Name: o.Program, Command: o.Command, InProcess: o.InProcess, NoOperatorFile: o.NoOperatorFile}
	nodes, err := startNodeSet(x, fleet, program, dir, seed)
	defer nodes.close()
	if err != nil {
		return nil, err
	}
	clients := newClientPool(nodes.addrs(), x.Nodes.FailureDetectionDelay.Duration(), x.Nodes.TrafficWeights)
	defer clients.close()
	if x.Load.PersistentClients > 0 {
		clients.limitInUse(x.Nodes.Sockets, x.Load.PersistentClients+x.Load.BurstClients)
	}
	load := newLoadGenerator(x, clients, seed)
	x.WarmKeys(load.traffic.Keys, func(index int, keys []string) { fleet.WarmCache(fleet.Servers()[index], keys) })
	return runLoadAndTimeline(ctx, o, seed, fleet, nodes, load)
}

// runDir creates the folder of a run, and returns a function that removes it if it is a temporary one.
func runDir(dir string) (created string, remove func(), err error) {
	if dir != "" {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return "", nil, fmt.Errorf("creating the folder of the run: %w", err)
		}
		return dir, func() {}, nil
	}
	if dir, err = os.MkdirTemp("", "mintspring-bench-"); err != nil {
		return "", nil, fmt.Errorf("creating a folder for the run: %w", err)
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil // leftovers stay in the system's temporary folder
}

// addrs returns the nodes' addresses for clients.
func (s *nodeSet) addrs() (addrs []string) {
	for _, n := range s.runners {
		addrs = append(addrs, n.addr)
	}
	return addrs
}

// runLoadAndTimeline generates the load and applies the timeline, then stops nodes and servers, and collects and checks the results.
func runLoadAndTimeline(ctx context.Context, o Options, seed uint64, fleet *fakes.Fleet, nodes *nodeSet, load *loadGenerator) (*experiment.Run, error) {
	x := load.experiment
	start := time.Now().Add(startDelay)
	measureFrom := start.Add(x.Settle.Duration())
	measureTo := measureFrom.Add(x.Length.Duration())
	run := experiment.NewRun(x, o.Program, seed, unixMs(measureFrom), unixMs(measureTo))
	scenario := &scenarioRunner{experiment: x, fleet: fleet, nodes: nodes, load: load, run: run}

	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var scenarioErr error
	var background sync.WaitGroup
	background.Go(func() { sampleUntil(ctx, run, fleet, nodes) })
	background.Go(func() { scenarioErr = scenario.playTimeline(ctx, measureFrom) })
	load.startPersistentClients(seed, measureTo)
	load.startBurstClients(seed, measureTo)
	loadDone := make(chan struct{})
	go func() { // ends with the load, even if the run is cancelled
		defer close(loadDone)
		load.run(start, measureTo, o.Progress)
	}()
	select {
	case <-loadDone:
	case <-ctx.Done():
	}
	err := ctx.Err()
	stop()
	background.Wait()
	if err = cmp.Or(err, scenarioErr); err != nil {
		return nil, err
	}
	time.Sleep(settleAfterLoad)
	nodes.close()
	fleet.Close()
	collectObservations(run, fleet, load)
	run.NodeCPUSeconds = nodes.cpuSeconds()
	checkInvariants(run, fleet, nodes, load.attempts, o.AcceptFails)
	return run, nil
}

// unixMs converts a time to Unix ms.
func unixMs(t time.Time) float64 { return float64(t.UnixNano()) / float64(time.Millisecond) }

// collectObservations copies the records of servers and clients into the run.
func collectObservations(r *experiment.Run, fleet *fakes.Fleet, load *loadGenerator) {
	r.ConnectionEvents, r.DuplicateDetections = fleet.ConnectionEvents(), fleet.DuplicateDetections()
	r.Notifications, r.DiscoveryCalls = fleet.Discovery.Notifications(), fleet.Discovery.CallCount()
	r.DiscoveryBytes = fleet.Discovery.BytesWritten()
	recorder := experiment.NewExecutionRecorder(r.Experiment)
	for _, e := range fleet.Executions() {
		recorder.Add(e)
	}
	r.Executions, r.Requests = recorder.Executions, load.requests
	slices.SortFunc(r.Requests, func(a, b experiment.Request) int { return cmp.Compare(a.DueMs, b.DueMs) })
	for _, s := range fleet.Servers() {
		count, blamedShare := fleet.Collapses(s.ID())
		r.RecordCollapses(s.Name, s.Origin, count, blamedShare)
	}
	r.LatenessMs = experiment.LatenessP99(r.Requests)
}

// checkInvariants checks the run against the invariants.
//
// Soak runs, those with persistent clients, share the machine with other soak runs. Their late responses violate an invariant only from
// lostAfterMs after the deadline, when the operators' standing test counts a request as lost. Until then a late response has no value but
// breaks no rule.
func checkInvariants(r *experiment.Run, fleet *fakes.Fleet, nodes *nodeSet, attempts []invariants.ClientAttempt, acceptFails bool) {
	lostRequestSlackMs := 0.0
	if r.Experiment.Load.PersistentClients > 0 {
		lostRequestSlackMs = lostAfterMs - r.Experiment.InvariantSlackMs()
	}
	for i := range attempts {
		if a := &attempts[i]; a.AnsweredAt > a.Deadline {
			a.ExtraSlack += lostRequestSlackMs + experiment.WorstLateness(r.Requests, a.Deadline, a.AnsweredAt) + nodes.runners[a.Node].pausedMsBetween(a.Sent, a.AnsweredAt)
		}
	}
	evidence := invariants.Evidence{
		AcceptFails: acceptFails, Attempts: attempts, Executions: fleet.Executions(), Notifications: r.Notifications, Collapses: r.Collapses,
		DrainGrace: r.Experiment.Rules.DrainGrace.Milliseconds(), Slack: r.Experiment.InvariantSlackMs() + r.LatenessMs,
	}
	for _, n := range nodes.runners {
		evidence.Downtimes, evidence.Crashes = append(evidence.Downtimes, n.downtimes...), append(evidence.Crashes, n.crashes...)
		evidence.ConnectionFloods = append(evidence.ConnectionFloods, n.crowds...)
		evidence.Operations.Add(n.operations)
	}
	checker := invariants.CheckAll(evidence)
	r.Crossings = checker.Crossings()
	r.Violations, r.WrongKeyResponses = checker.Violations(), checker.WrongKeyResponses
}

// clientGraceMs returns how long after the deadline of an attempt, in ms, a client closes its connection. In soak runs a client waits until
// a missing response counts as lost.
func clientGraceMs(x *experiment.Experiment) float64 {
	if x.Load.PersistentClients > 0 {
		return lostAfterMs + closeInTransitMs
	}
	return experiment.ClientGraceMs
}

// sampleUntil samples servers and nodes periodically until the context ends.
func sampleUntil(ctx context.Context, r *experiment.Run, fleet *fakes.Fleet, nodes *nodeSet) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		now := fakes.NowMs()
		sample := experiment.Sample{AtMs: now, Servers: fleet.Snapshot(now)}
		if i%samplesPerUsageReading == 0 {
			for _, n := range nodes.runners {
				usage := n.resourceUsage()
				sample.NodeMemoryMB = append(sample.NodeMemoryMB, usage.memoryMB)
				sample.NodeDescriptors = append(sample.NodeDescriptors, usage.descriptors)
			}
		}
		r.Samples = append(r.Samples, sample)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
