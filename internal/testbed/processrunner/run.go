// Package processrunner plays experiments with real processes on loopback: it starts fake servers and nodes, generates load, plays the
// timeline, and collects what was seen. It also runs standalone fleets and plain load tests.
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
	// startDelay is the time between everything being ready and the load's beginning.
	startDelay = 50 * time.Millisecond
	// settleAfterLoad is how long a run goes on after the last request: what is sent after a response would come then.
	settleAfterLoad = 100 * time.Millisecond
	// lostAfterMs is how long after its deadline an unanswered request is lost, by the operators' standing test.
	lostAfterMs = 500
	// sampleInterval is the time between two looks at the servers.
	sampleInterval = 100 * time.Millisecond
	// samplesPerUsage is after how many of these the nodes' processes are looked at.
	samplesPerUsage = 10
)

// Options say how an experiment is played.
type Options struct {
	Program        string    // how reports call what is measured
	Command        []string  // how a node of it is started; LB_CONFIG names its configuration
	NoOperatorFile bool      // nodes are started without the experiment's operator's file, as other builds and baselines are
	InProcess      ServeFunc // in place of a process for each node
	Seed           uint64    // 0: the file's
	Dir            string    // for logs and configurations of nodes; "" for a folder that is removed afterwards
	Progress       func(done float64)
}

// Play plays an experiment with real processes and returns what was seen. Whatever it started has ended when it returns.
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
		clients.limitInUse(x.Nodes.Sockets, x.Load.PersistentClients)
	}
	load := newLoadGenerator(x, clients, seed)
	x.WarmKeys(load.traffic.Keys, func(place int, keys []string) { fleet.WarmCache(fleet.Servers()[place], keys) })
	return playLoad(ctx, o, seed, fleet, nodes, load)
}

// runDir returns the folder of a run, and what is to be done with it afterwards.
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
	return dir, func() { _ = os.RemoveAll(dir) }, nil // what is left of it is in the system's folder for such
}

// addrs returns where clients reach the nodes.
func (s *nodeSet) addrs() (addrs []string) {
	for _, n := range s.all {
		addrs = append(addrs, n.addr)
	}
	return addrs
}

// playLoad plays the load and the timeline on what has been started.
func playLoad(ctx context.Context, o Options, seed uint64, fleet *fakes.Fleet, nodes *nodeSet, load *loadGenerator) (*experiment.Run, error) {
	x := load.experiment
	start := time.Now().Add(startDelay)
	from := start.Add(x.Settle.Duration())
	to := from.Add(x.Length.Duration())
	run := experiment.NewRun(x, o.Program, seed, unixMs(from), unixMs(to))
	scenario := &scenarioRunner{experiment: x, fleet: fleet, nodes: nodes, load: load, run: run}

	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var scenarioErr error
	var others sync.WaitGroup
	others.Go(func() { sampleUntil(ctx, run, fleet, nodes) })
	others.Go(func() { scenarioErr = scenario.play(ctx, from) })
	load.startPersistentClients(seed, to)
	loadDone := make(chan struct{})
	go func() { // ends with the load, also when the run is given up
		defer close(loadDone)
		load.run(start, to, o.Progress)
	}()
	select {
	case <-loadDone:
	case <-ctx.Done():
	}
	err := ctx.Err()
	stop()
	others.Wait()
	if err = cmp.Or(err, scenarioErr); err != nil {
		return nil, err
	}
	time.Sleep(settleAfterLoad)
	nodes.close()
	fleet.Close()
	collect(run, fleet, load)
	checkInvariants(run, fleet, nodes, load.attempts)
	return run, nil
}

// unixMs is a time in Unix ms.
func unixMs(t time.Time) float64 { return float64(t.UnixNano()) / float64(time.Millisecond) }

// collect takes over what servers and clients saw.
func collect(r *experiment.Run, fleet *fakes.Fleet, load *loadGenerator) {
	r.ConnectionEvents, r.DuplicateDetections = fleet.ConnectionEvents(), fleet.DuplicateDetections()
	r.Notifications, r.DiscoveryCalls = fleet.Discovery.Notifications(), fleet.Discovery.CallCount()
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

// checkInvariants checks the rules.
//
// Soak runs, those with persistent clients, share the machine with others of their kind. Their answers are judged by what the operators'
// standing test counts as lost, half a second after the deadline: up to that a late answer earns nothing.
func checkInvariants(r *experiment.Run, fleet *fakes.Fleet, nodes *nodeSet, attempts []invariants.ClientAttempt) {
	allowedMs := 0.0
	if r.Experiment.Load.PersistentClients > 0 {
		allowedMs = lostAfterMs - r.Experiment.InvariantSlackMs()
	}
	for i := range attempts {
		if a := &attempts[i]; a.AnsweredAt > a.Deadline {
			a.ExtraSlack += allowedMs + experiment.WorstLateness(r.Requests, a.Deadline, a.AnsweredAt) + nodes.all[a.Node].heldUpBetween(a.Sent, a.AnsweredAt)
		}
	}
	evidence := invariants.Evidence{
		Attempts: attempts, Executions: fleet.Executions(), Notifications: r.Notifications, Collapses: r.Collapses,
		DrainGrace: r.Experiment.Rules.DrainGrace.Milliseconds(), Slack: r.Experiment.InvariantSlackMs() + r.LatenessMs,
	}
	for _, n := range nodes.all {
		evidence.Downtimes, evidence.Crashes = append(evidence.Downtimes, n.downtimes...), append(evidence.Crashes, n.crashes...)
		evidence.ConnectionFloods = append(evidence.ConnectionFloods, n.crowds...)
		evidence.Operations.Add(n.operations)
	}
	checker := invariants.CheckAll(evidence)
	r.Violations, r.WrongKeyResponses = checker.Violations(), checker.WrongKeyResponses
}

// clientGraceMs is how long after the deadline of an attempt a client goes away, in ms. In soak runs it waits until a missing answer counts as
// lost.
func clientGraceMs(x *experiment.Experiment) float64 {
	if x.Load.PersistentClients > 0 {
		return lostAfterMs + crossedEndMs
	}
	return experiment.ClientGraceMs
}

// sampleUntil looks at servers and nodes again and again until the context ends.
func sampleUntil(ctx context.Context, r *experiment.Run, fleet *fakes.Fleet, nodes *nodeSet) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		now := fakes.NowMs()
		sample := experiment.Sample{AtMs: now, Servers: fleet.Snapshot(now)}
		if i%samplesPerUsage == 0 {
			for _, n := range nodes.all {
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
