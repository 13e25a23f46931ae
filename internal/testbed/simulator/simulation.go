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

// How long a message takes from one process to another, through both machines: what fake servers and nodes on loopback show on a machine
// that is not busy (docs/simulator.md, "Agreement").
const (
	serverHop = 250 * time.Microsecond // between a node and a server, discovery or another node
	clientHop = 300 * time.Microsecond // between a client and a node
)

const (
	// startupLead is how long nodes are there before the load begins.
	startupLead = time.Second
	// startInterval is the time between the starts of two nodes, so that not all of their timers are due at one time.
	startInterval = 137 * time.Microsecond
	// sampleInterval is the time between two looks at the servers.
	sampleInterval = 100 * time.Millisecond
	// settleAfterLoad is how long a run goes on after the last request: what is sent after a response would come then.
	settleAfterLoad = 100 * time.Millisecond
	// eventsPerCheck is after how many events the context is looked at.
	eventsPerCheck = 1 << 16
	// faultStream separates the random numbers of servers' faults from others under the same seed.
	faultStream = 3
)

var (
	errRequestsLeft  = errors.New("have no end") // an event was lost
	errTooManyEvents = errors.New("too many events")
)

// Simulation is one fleet on its virtual clock. One goroutine may use it.
type Simulation struct {
	eventQueue
	experiment *experiment.Experiment
	options    Options
	seed       uint64

	cluster      *servermodel.Cluster
	modelTimerAt simTime // when the cluster is looked at next; notScheduled for never
	servers      []*server
	nodes        []*simNode
	discovery    *discoveryService
	clients      *clientPopulation
	peerLinks    *faultrelay.Links // between nodes
	rng          *rand.Rand        // draws the servers' faults

	checker       *invariants.Checker
	recorder      *experiment.ExecutionRecorder
	result        *experiment.Run
	initialOwners [][]string // of the first nodes' keys when the measurement began
	err           error      // ends the run
}

// notScheduled is the time of a timer that is not set.
const notScheduled simTime = -1

func newSimulation(x *experiment.Experiment, o Options) (*Simulation, error) {
	seed := cmp.Or(o.Seed, x.Seed)
	s := &Simulation{
		experiment: x, options: o, seed: seed, modelTimerAt: notScheduled, rng: rand.New(rand.NewPCG(seed, faultStream)),
		peerLinks: faultrelay.NewLinks(seed), cluster: servermodel.NewCluster(seed, x.ClassCosts()),
		recorder: experiment.NewExecutionRecorder(x),
		checker:  invariants.NewChecker(x.Rules.DrainGrace.Milliseconds(), x.InvariantSlackMs()),
	}
	s.cluster.FetchThrough, s.cluster.RecordExecutions = x.Fleet.FetchThrough, false
	for i, spec := range x.ServerSpecs() {
		s.servers = append(s.servers, newServer(s, i, spec))
	}
	s.discovery = newDiscoveryService(s)
	start := simTime(startupLead)
	from := start + simTime(x.Settle.Duration())
	to := from + simTime(x.Length.Duration())
	s.result = experiment.NewRun(x, o.Program, seed, from.ms(), to.ms())
	s.clients = newClientPopulation(s, start, to)
	x.WarmKeys(s.clients.traffic.Keys, s.preload)
	if err := s.addNodes(); err != nil {
		return nil, err
	}
	s.schedule(start, actionFunc(s.sample))
	s.schedule(from, actionFunc(func() { s.initialOwners = s.keyOwners() }))
	for _, e := range x.Timeline() {
		s.schedule(from+simTime(e.At), actionFunc(func() { s.applyStep(e.Step) }))
	}
	return s, nil
}

// addNodes adds the nodes, to start one after the other.
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
		s.schedule(simTime(i)*simTime(startInterval), actionFunc(n.startProcess))
	}
	return nil
}

// preload stores keys at a cache that was running before.
func (s *Simulation) preload(place int, keys []string) {
	for _, key := range keys {
		s.cluster.Preload(s.servers[place].model.ID, key)
	}
}

// play has everything happen until the last request has ended.
func (s *Simulation) play(ctx context.Context) error {
	s.clients.scheduleNext()
	latest := s.clients.latestEnd()
	for s.clients.openRequests > 0 || !s.clients.arrivalsEnded {
		// Nodes always have something to do: an event that was lost shows by requests that do not end.
		if !s.fireNext() || s.now > latest {
			return fmt.Errorf("%d requests %w", s.clients.openRequests, errRequestsLeft)
		}
		if s.err != nil {
			return s.err
		}
		if s.firedCount%eventsPerCheck == 0 {
			if err := ctx.Err(); err != nil {
				return err
			}
			s.reportProgress()
		}
		if s.options.MaxEvents > 0 && s.firedCount > s.options.MaxEvents {
			return fmt.Errorf("%w: over %d events at %.1f s of %.1f s", errTooManyEvents, s.options.MaxEvents,
				time.Duration(s.now).Seconds(), time.Duration(s.clients.to).Seconds())
		}
	}
	for end := s.now + simTime(settleAfterLoad); s.hasEventBy(end); {
		s.fireNext()
	}
	s.finish()
	return nil
}

// reportProgress says how much of the load has been played.
func (s *Simulation) reportProgress() {
	if s.options.Progress != nil {
		s.options.Progress(float64(s.now-s.clients.from) / float64(s.clients.to-s.clients.from))
	}
}

// finish checks what is left and completes the result.
func (s *Simulation) finish() {
	s.clients.checkRemaining()
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

// sample looks at the servers again and again while the load is on.
func (s *Simulation) sample() {
	s.result.Samples = append(s.result.Samples, experiment.Sample{AtMs: s.nowMs(), Servers: fakes.SnapshotServers(s.cluster, s.nowMs())})
	if s.now < s.clients.to {
		s.scheduleAfter(sampleInterval, actionFunc(s.sample))
	}
}

// newPolicy returns the policy of a node.
func (s *Simulation) newPolicy(node int, now float64, limits fleet.Limits, slab *fleet.Slab) inflight.Policy {
	if s.options.NewPolicy != nil {
		return s.options.NewPolicy(s, node, now, limits, slab)
	}
	return decide.New(now, limits, slab)
}

// modelTimer looks at the cluster when an execution is to end there.
type modelTimer struct{ sim *Simulation }

func (t modelTimer) fire() {
	if t.sim.now == t.sim.modelTimerAt {
		t.sim.modelTimerAt = notScheduled
		t.sim.deliverCompleted()
	}
}

// deliverCompleted sends the responses of executions that have ended, and sets the timer for the next end.
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
	if at := simTimeOf(next); s.modelTimerAt == notScheduled || at < s.modelTimerAt {
		s.modelTimerAt = max(at, s.now)
		s.schedule(s.modelTimerAt, modelTimer{s})
	}
}
