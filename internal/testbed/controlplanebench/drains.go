package controlplanebench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"mintspring/internal/controlplane/client"
	"mintspring/internal/fleet"
	"mintspring/internal/testbed/fakediscovery"
	"mintspring/internal/testbed/fakeproxy"
)

// Parameters of a round of drains.
const (
	drainServers            = 8
	drainLatencyObjectiveMs = 200
	requestInterval         = 2 * time.Millisecond   // between the requests of a proxy
	maxWarmUp               = 300 * time.Millisecond // upper bound of the random time of requests before the fault
	maxFaultLead            = 100 * time.Millisecond // upper bound of the random time from the fault to the drain
	drainObservation        = 700 * time.Millisecond // how long requests go on after the drain

	// roundStream separates the random numbers of a round from others drawn from the same seed.
	roundStream = 7

	// phaseTerminating is the phase of a draining server in the discovery protocol.
	phaseTerminating = "terminating"
)

// DrainResult summarizes the rounds of drains with one fault of a proxy's link.
type DrainResult struct {
	Fault  string
	Rounds int
	// MaxDelay is the longest time in a round from the control plane's first snapshot of the drain to the last request sent to the
	// draining server.
	MaxDelay time.Duration
}

// drainRounds assigns rounds to several goroutines and collects their results.
type drainRounds struct {
	count    int
	progress func(done float64) // nil, or called with the fraction of rounds that have ended

	mu       sync.Mutex // guards the fields below
	next     int        // number of the next round, which is also its seed
	finished int
	results  []DrainResult // by linkFault
	err      error         // of a round that failed
}

// MeasureDrains runs rounds, several at a time. In each round, a server drains while two proxies send requests. The link of one proxy to
// the control plane has a fault drawn from the round's seed. progress may be nil. After the error of a round or of the context, no more
// rounds are started, and the error is returned together with the results so far.
func MeasureDrains(ctx context.Context, rounds, concurrency int, progress func(done float64)) ([]DrainResult, error) {
	r := &drainRounds{count: rounds, progress: progress, results: make([]DrainResult, linkFaultCount)}
	for fault := range linkFaultCount {
		r.results[fault].Fault = fault.String()
	}
	var workers sync.WaitGroup
	for range concurrency {
		workers.Go(func() { r.run(ctx) })
	}
	workers.Wait()
	if r.err != nil {
		return r.results, r.err
	}
	return r.results, ctx.Err()
}

// run runs rounds until none are left, one has failed or the context ends.
func (r *drainRounds) run(ctx context.Context) {
	for ctx.Err() == nil {
		number, ok := r.nextRound()
		if !ok {
			return
		}
		round := newDrainRound(uint64(number))
		longest, err := round.run()
		r.record(number, round.fault, longest, err)
	}
}

// nextRound returns the number of the next round, and false if there is none.
func (r *drainRounds) nextRound() (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next >= r.count || r.err != nil {
		return 0, false
	}
	r.next++
	return r.next - 1, true
}

// record adds the result of a round, which may be an error.
func (r *drainRounds) record(number int, fault linkFault, longest time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.err = fmt.Errorf("round %d: %w", number, err)
	}
	result := &r.results[fault]
	result.Rounds++
	result.MaxDelay = max(result.MaxDelay, longest)
	r.finished++
	if r.progress != nil {
		r.progress(float64(r.finished) / float64(r.count))
	}
}

// drainRound is one round, in which a server drains.
type drainRound struct {
	seed         uint64
	random       *rand.Rand
	fault        linkFault
	controlPlane *controlPlane
	proxies      []*fakeproxy.Proxy // one in each zone; the fault is injected into the link of the first one
}

func newDrainRound(seed uint64) *drainRound {
	random := rand.New(rand.NewPCG(seed, roundStream))
	return &drainRound{seed: seed, random: random, fault: linkFault(random.IntN(int(linkFaultCount)))}
}

// run runs the round and returns how long after the drain a proxy last sent a request to the draining server.
func (r *drainRound) run() (time.Duration, error) {
	var err error
	if r.controlPlane, err = startControlPlane(drainServers, r.seed, drainLatencyObjectiveMs); err != nil {
		return 0, err
	}
	defer r.controlPlane.close()
	defer r.closeProxies()
	if err := r.startProxies(); err != nil {
		return 0, err
	}
	time.Sleep(r.randomDuration(maxWarmUp))
	faultLead := r.randomDuration(maxFaultLead)
	var injection sync.WaitGroup
	injection.Go(func() { r.fault.inject(r.proxies[0].Link) })
	defer injection.Wait()
	time.Sleep(faultLead)
	return r.drain(r.random.IntN(drainServers))
}

// startProxies starts the proxies and waits until each can route requests.
func (r *drainRound) startProxies() error {
	for i, zone := range zones {
		config := client.Config{
			Addr: r.controlPlane.addr, Cluster: clusterName, NodeID: proxyName(i), Zone: zone,
			Incremental: (uint64(i)+r.seed)%2 == 0, ForgetOnReconnect: r.random.IntN(2) == 0,
		}
		r.proxies = append(r.proxies, fakeproxy.Start(config, requestInterval, r.seed))
	}
	for _, proxy := range r.proxies {
		hasLease := func() bool {
			_, err := proxy.Owner(fleet.Key(r.seed))
			return err == nil
		}
		if err := waitUntil("a proxy's lease", hasLease); err != nil {
			return err
		}
	}
	return nil
}

func (r *drainRound) closeProxies() {
	for _, proxy := range r.proxies {
		proxy.Close()
	}
}

// drain drains a server and returns how long after the control plane's next snapshot a proxy last sent a request there.
func (r *drainRound) drain(serverNumber int) (time.Duration, error) {
	controller := r.controlPlane.controller
	before := controller.Snapshot(0).Version
	r.controlPlane.discovery.Publish(endpointJSON(serverNumber, phaseTerminating))
	if err := waitUntil("the drain's snapshot", func() bool { return before.Before(controller.Snapshot(0).Version) }); err != nil {
		return 0, err
	}
	drained := time.Now()
	time.Sleep(drainObservation)
	var longest time.Duration
	for _, proxy := range r.proxies {
		longest = max(longest, proxy.LastSent(fakediscovery.EndpointID(serverNumber)).Sub(drained))
	}
	return longest, nil
}

// randomDuration returns a whole number of milliseconds below a limit.
func (r *drainRound) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(r.random.IntN(int(limit.Milliseconds()))) * time.Millisecond
}
