package simulator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mintspring/decide"
	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/config/operatorfile"
	"mintspring/internal/fleet"
	"mintspring/internal/node/inflight"
	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/invariants"
	"mintspring/internal/testbed/servermodel"
)

// Delays of a message from one process to another, including the work of both machines. They match fake servers and nodes on loopback on
// an idle machine (docs/simulator.md, "Agreement").
const (
	serverHopDelay = 250 * time.Microsecond // between a node and a server, discovery or another node
	clientHopDelay = 300 * time.Microsecond // between a client and a node
)

const (
	// startupLead is the time between the start of the nodes and the start of the load.
	startupLead = time.Second
	// nodeStartInterval is the time between the starts of two nodes. It keeps their timers from being due all at the same time.
	nodeStartInterval = 137 * time.Microsecond
	// sampleInterval is the time between two samples of the state of the servers.
	sampleInterval = 100 * time.Millisecond
	// drainAfterLoad is how long a run continues after the last request, to detect attempts that are sent after the response.
	drainAfterLoad = 100 * time.Millisecond
	// eventsPerContextCheck is the number of events between two checks of the context.
	eventsPerContextCheck = 1 << 16
	// faultRandomStream is the PCG stream of server faults, independent of other random numbers with the same seed.
	faultRandomStream = 3
)

var (
	errRequestsUnfinished = errors.New("have no end") // an event was lost, which is a bug in the simulator
	errTooManyEvents      = errors.New("too many events")
)

// Simulation is one fleet on its virtual clock. It is not safe for concurrent use.
type Simulation struct {
	eventQueue
	experiment *experiment.Experiment
	options    Options
	seed       uint64

	cluster           *servermodel.Cluster
	completionTimerAt simTime // when the next execution completes; notScheduled if the timer is not set
	servers           []*server
	nodes             []*simNode
	discovery         *discoveryService
	clients           *clientPopulation
	peerLinks         *faultrelay.Links // between nodes
	rng               *rand.Rand        // for faults of servers

	checker       *invariants.Checker
	recorder      *experiment.ExecutionRecorder
	result        *experiment.Run
	initialOwners [][]string // by node: the owners of the keys at the start of the measurement
	err           error      // fatal error that ends the run
}

// notScheduled is the time of a timer that is not set.
const notScheduled simTime = -1

func newSimulation(x *experiment.Experiment, o Options) (*Simulation, error) {
	seed := cmp.Or(o.Seed, x.Seed)
	s := &Simulation{
		experiment: x, options: o, seed: seed, completionTimerAt: notScheduled, rng: rand.New(rand.NewPCG(seed, faultRandomStream)),
		peerLinks: faultrelay.NewLinks(seed), cluster: servermodel.NewCluster(seed, x.ClassCosts()),
		recorder: experiment.NewExecutionRecorder(x),
		checker:  invariants.NewChecker(x.Rules.DrainGrace.Milliseconds(), x.InvariantSlackMs()),
	}
	s.cluster.CachesActAsOrigin, s.cluster.RecordExecutions = x.Fleet.FetchThrough, false
	for i, spec := range x.ServerSpecs() {
		s.servers = append(s.servers, newServer(s, i, spec))
	}
	s.discovery = newDiscoveryService(s)
	loadStart := simTime(startupLead)
	measurementStart := loadStart + simTime(x.Settle.Duration())
	loadEnd := measurementStart + simTime(x.Length.Duration())
	s.result = experiment.NewRun(x, o.Program, seed, measurementStart.ms(), loadEnd.ms())
	s.clients = newClientPopulation(s, loadStart, loadEnd)
	x.WarmKeys(s.clients.traffic.Keys, s.preload)
	if err := s.addNodes(); err != nil {
		return nil, err
	}
	s.schedule(loadStart, actionFunc(s.sample))
	s.schedule(measurementStart, actionFunc(func() { s.initialOwners = s.keyOwners() }))
	for _, e := range x.Timeline() {
		s.schedule(measurementStart+simTime(e.At), actionFunc(func() { s.applyStep(e.Step) }))
	}
	return s, nil
}

// addNodes creates the nodes and schedules their starts.
func (s *Simulation) addNodes() error {
	file, err := operatorfile.Read(s.experiment.OperatorFile())
	if err != nil {
		return err
	}
	for i := range s.experiment.Nodes.Count {
		n, err := newSimNode(s, i, file)
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		s.schedule(simTime(i)*simTime(nodeStartInterval), actionFunc(n.startProcess))
	}
	return nil
}

// preload stores keys at a cache that counts as running since before the start of the simulation.
func (s *Simulation) preload(serverIndex int, keys []string) {
	for _, key := range keys {
		s.cluster.Preload(s.servers[serverIndex].model.ID, key)
	}
}

// run processes events until the last request has ended.
func (s *Simulation) run(ctx context.Context) error {
	s.clients.scheduleNextArrival()
	latest := s.clients.latestEnd()
	for s.clients.openRequests > 0 || !s.clients.arrivalsEnded {
		// Nodes always have timers, so the queue never becomes empty. A lost event shows as a request that does not end.
		if !s.fireNext() || s.now > latest {
			return fmt.Errorf("%d requests %w", s.clients.openRequests, errRequestsUnfinished)
		}
		if s.err != nil {
			return s.err
		}
		if s.firedCount%eventsPerContextCheck == 0 {
			if err := ctx.Err(); err != nil {
				return err
			}
			s.reportProgress()
		}
		if s.options.MaxEvents > 0 && s.firedCount > s.options.MaxEvents {
			return fmt.Errorf("%w: over %d events at %.1f s of %.1f s", errTooManyEvents, s.options.MaxEvents,
				time.Duration(s.now).Seconds(), time.Duration(s.clients.loadEnd).Seconds())
		}
	}
	for end := s.now + simTime(drainAfterLoad); s.hasEventDueBy(end); {
		s.fireNext()
	}
	s.finish()
	return nil
}

// reportProgress reports the share of the load that is finished.
func (s *Simulation) reportProgress() {
	if s.options.Progress != nil {
		s.options.Progress(float64(s.now-s.clients.loadStart) / float64(s.clients.loadEnd-s.clients.loadStart))
	}
}

// finish checks the remaining attempts and completes the result.
func (s *Simulation) finish() {
	s.clients.checkUncheckedAttempts()
	for _, server := range s.servers {
		if c := s.result.RecordCollapses(server.Name, server.Origin, server.model.Collapses, server.model.AvoidableShare); c != nil {
			s.checker.ServerCollapsed(*c)
		}
	}
	s.result.DiscoveryCalls, s.result.MovedKeyShare = s.discovery.callCount, s.movedKeyShare()
	s.result.Executions, s.result.Requests = s.recorder.Executions, s.clients.requests
	s.result.Violations, s.result.WrongKeyResponses = s.checker.Violations(), s.checker.WrongKeyResponses
	slices.SortStableFunc(s.result.Requests, func(a, b experiment.Request) int { return cmp.Compare(a.DueMs, b.DueMs) })
}

// sample records the state of the servers periodically until the end of the load.
func (s *Simulation) sample() {
	s.result.Samples = append(s.result.Samples, experiment.Sample{AtMs: s.nowMs(), Servers: fakes.SnapshotServers(s.cluster, s.nowMs())})
	if s.now < s.clients.loadEnd {
		s.scheduleAfter(sampleInterval, actionFunc(s.sample))
	}
}

// newPolicy returns a new policy for a node.
func (s *Simulation) newPolicy(node int, now float64, limits fleet.Limits, slab *fleet.Slab) inflight.Policy {
	if s.options.NewPolicy != nil {
		return s.options.NewPolicy(s, node, now, limits, slab)
	}
	return decide.New(now, limits, slab)
}

// completionTimer calls deliverCompleted when the next execution in the cluster completes.
type completionTimer struct{ sim *Simulation }

func (t completionTimer) fire() {
	if t.sim.now == t.sim.completionTimerAt {
		t.sim.completionTimerAt = notScheduled
		t.sim.deliverCompleted()
	}
}

// deliverCompleted sends the responses of completed executions and sets the timer for the next completion.
func (s *Simulation) deliverCompleted() {
	for _, e := range s.cluster.Advance(s.nowMs()) {
		a := e.Tag.(*attempt)
		s.recorder.Ended(a.recordIndex, e)
		if e.Outcome != servermodel.Killed {
			a.conn.respond(a)
		}
		a.client.executionEnded()
	}
	next := s.cluster.NextEvent()
	if math.IsInf(next, 1) {
		return
	}
	if at := simTimeOf(next); s.completionTimerAt == notScheduled || at < s.completionTimerAt {
		s.completionTimerAt = max(at, s.now)
		s.schedule(s.completionTimerAt, completionTimer{s})
	}
}
