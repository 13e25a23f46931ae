package controller

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"

	"google.golang.org/protobuf/proto"

	"mintspring/internal/controlplane/loadreport"
	"mintspring/internal/controlplane/ringcache"
	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/controlplane/stream"
	"mintspring/internal/controlplane/wire"
	"mintspring/internal/fleet"
	"mintspring/internal/node/discovery"
)

// simulation runs a control plane and its proxies on a virtual clock: the real core, streams and ring caches, connected by simulated links.
// A link delays messages, and faults make it stall without closing, lose a message or break. The result depends only on the seed.
type simulation struct {
	t      *testing.T
	seed   uint64
	rnd    *rand.Rand
	now    float64
	events eventQueue
	seq    int
	core   *core

	proxies           []*simulatedProxy
	digests           map[string]uint64  // digests of all snapshots built, by version and zone index
	drainingSince     map[string]float64 // start of the drain, ms, by server ID
	longestDrainLagMs float64            // largest time from a drain's arrival at the control plane to a new request at the server
	requests          int
	unusable          int // requests that found no usable snapshot
	applied           int // snapshots applied by proxies
}

// simulatedEvent is a scheduled call. Calls at the same time run in the order in which they were scheduled.
type simulatedEvent struct {
	at   float64
	seq  int
	call func()
}

// eventQueue implements heap.Interface, ordered by time.
type eventQueue []simulatedEvent

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(simulatedEvent)) }
func (e *eventQueue) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// after schedules a call in the given number of milliseconds.
func (s *simulation) after(ms float64, call func()) {
	s.seq++
	heap.Push(&s.events, simulatedEvent{s.now + ms, s.seq, call})
}

// run executes all events up to a time.
func (s *simulation) run(until float64) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(simulatedEvent)
		s.now = e.at
		e.call()
	}
	s.now = until
}

// ListAgeMs implements stream.Source.
func (s *simulation) ListAgeMs() float64 { return 0 }

// simulatedProxy is a proxy with its link to the control plane.
type simulatedProxy struct {
	sim            *simulation
	variant        stream.Variant
	zone           int
	clockOffset    float64 // ms by which the proxy's clock is ahead
	cache          *ringcache.Cache
	stream         *stream.Stream // the control plane's end; nil: disconnected
	link           int            // number of the current link; deliveries on earlier links are dropped
	stalled        bool           // messages are queued, not delivered
	loseNext       bool           // the next message to the proxy is lost and the link stalls
	queue          []func()       // deliveries delayed by a stall
	lastArrival    [2]float64     // ms, by direction; keeps messages in order
	leaseGrantedAt float64
	leaseRequests  int
	previousLease  string
}

// direction is one of the two directions of a link.
type direction int

const (
	toProxy direction = iota
	fromProxy
)

// deliver schedules the delivery of a message over the current link.
func (p *simulatedProxy) deliver(dir direction, call func()) {
	link := p.link
	deliverIfConnected := func() {
		if p.link == link {
			call()
		}
	}
	p.lastArrival[dir] = max(p.lastArrival[dir], p.sim.now+1+p.sim.rnd.Float64()*2)
	p.sim.after(p.lastArrival[dir]-p.sim.now, func() {
		if p.stalled {
			p.queue = append(p.queue, deliverIfConnected)
			return
		}
		deliverIfConnected()
	})
}

// connect opens a new link and subscribes to the ring parts. With forgetVersion it does not state the version that the proxy holds.
func (p *simulatedProxy) connect(forgetVersion bool) {
	p.link++
	p.stalled, p.loseNext, p.queue, p.leaseGrantedAt, p.previousLease = false, false, nil, p.sim.now, ""
	p.stream = stream.New(p.variant, stream.Limits{MaxNames: 100, MaxNameBytes: 100, LeaseMs: 400}, p.sim, p.sim.core.Snapshots()[p.zone])
	r := &stream.Request{TypeURL: snapshot.RingPartType, InitialVersions: map[string]string{}}
	if forgetVersion {
		p.cache.ForgetVersion()
	}
	held := p.cache.Versions()
	if p.variant == stream.Incremental {
		r.InitialVersions = held
	} else {
		r.Version = held[snapshot.HeadName("boxes")]
	}
	p.send(r)
}

// send delivers a request to the control plane, which first raises its epoch if the proxy holds a newer version.
func (p *simulatedProxy) send(r *stream.Request) {
	current := p.stream
	p.deliver(fromProxy, func() {
		if held, ok := r.HeldVersion(); ok && p.sim.core.Snapshots()[p.zone].Version.Before(held) && p.sim.core.ObserveVersion(p.sim.now, held) {
			p.sim.step()
		}
		if err := current.HandleRequest(r); err != nil {
			p.sim.t.Fatal(err)
		}
		p.sendDueResponses()
	})
}

// sendDueResponses sends the responses that are due on the stream.
func (p *simulatedProxy) sendDueResponses() {
	if p.stream == nil {
		return
	}
	p.stream.SetSnapshot(p.sim.core.Snapshots()[p.zone])
	for {
		r, due := p.stream.Next(p.sim.now)
		if !due {
			return
		}
		if p.loseNext { // this message is lost, and the link stalls
			p.stalled = true
			return
		}
		p.deliver(toProxy, func() { p.receive(r) })
	}
}

// receive applies a response and acknowledges it.
func (p *simulatedProxy) receive(r stream.Response) {
	if r.TypeURL == snapshot.LeaseType {
		for _, resource := range r.Resources {
			var lease wire.Lease
			if err := proto.Unmarshal(resource.Body.Value, &lease); err != nil {
				p.sim.t.Fatal(err)
			}
			p.cache.ApplyLease(&lease)
			p.leaseGrantedAt = p.sim.now
		}
		return
	}
	parts := map[string][]byte{}
	for _, resource := range r.Resources {
		parts[resource.Name] = resource.Body.Value
	}
	applied, err := p.cache.Apply(ringcache.Update{Complete: p.variant == stream.StateOfTheWorld, Parts: parts, Removed: r.Removed})
	ack := &stream.Request{TypeURL: r.TypeURL, Version: r.Version, ResponseNonce: r.Nonce}
	if err != nil {
		ack.ErrorDetail = err.Error()
	}
	if applied {
		version, _ := p.cache.Version()
		p.sim.applied++
		if want, built := p.sim.digests[fmt.Sprint(version, p.zone)]; !built || p.cache.Digest() != want {
			p.sim.t.Fatalf("applied snapshot %v of zone %d was never built", version, p.zone)
		}
	}
	p.send(ack)
}

// requestLeases requests a lease every 100 ms. It disconnects if none has been granted for a second.
func (p *simulatedProxy) requestLeases() {
	p.sim.after(100, p.requestLeases)
	if p.stream == nil {
		return
	}
	if p.sim.now-p.leaseGrantedAt > 1000 {
		p.disconnect()
		return
	}
	p.leaseRequests++
	name := strconv.Itoa(p.leaseRequests)
	p.cache.RecordLeaseRequest(p.sim.now+p.clockOffset, name)
	r := &stream.Request{TypeURL: snapshot.LeaseType, ResourceNames: []string{name}, Subscribe: []string{name}}
	p.send(r)
}

// disconnect breaks the link and schedules a reconnect. In a third of the cases the proxy then does not state the version that it holds.
func (p *simulatedProxy) disconnect() {
	p.link++
	p.stream = nil
	link, forgetVersion := p.link, p.sim.rnd.IntN(3) == 0
	p.sim.after(20+p.sim.rnd.Float64()*300, func() {
		if p.link == link {
			p.connect(forgetVersion)
		}
	})
}

// routeRequest looks up the server for a new request every 10 ms. It counts the requests without a usable snapshot and records how long
// after a drain a draining server was still selected.
func (p *simulatedProxy) routeRequest() {
	p.sim.after(10, p.routeRequest)
	p.sim.requests++
	if !p.cache.Usable(p.sim.now + p.clockOffset) {
		p.sim.unusable++
		return
	}
	owner := p.cache.Owner(fleet.Key(p.sim.rnd.Uint64()))
	if owner == nil {
		return
	}
	if since, draining := p.sim.drainingSince[owner.ID]; draining {
		p.sim.longestDrainLagMs = max(p.sim.longestDrainLagMs, p.sim.now-since)
	}
}

// injectFault breaks or stalls the link, or loses a message. A stall ends with the delivery of the delayed messages or with a disconnect.
func (p *simulatedProxy) injectFault() {
	switch p.sim.rnd.IntN(4) {
	case 0:
		p.disconnect()
	case 1:
		p.loseNext = true
	default:
		p.stalled = true
		link, resumes := p.link, p.sim.rnd.IntN(2) == 0
		p.sim.after(50+p.sim.rnd.Float64()*1500, func() {
			switch {
			case p.link != link:
			case resumes: // the delayed messages arrive now
				delayed := p.queue
				p.stalled, p.queue = false, nil
				for _, call := range delayed {
					call()
				}
			default:
				p.disconnect()
			}
		})
	}
}

// step runs a step of the core and sends new snapshots to the proxies.
func (s *simulation) step() {
	if s.core.Step(s.now).SnapshotsBuilt {
		s.recordDigests()
		for _, p := range s.proxies {
			p.sendDueResponses()
		}
	}
}

// recordDigests records the digests of the newest snapshots.
func (s *simulation) recordDigests() {
	for zone, built := range s.core.Snapshots() {
		s.digests[fmt.Sprint(built.Version, zone)] = built.Digest
	}
}

// newSimulation returns a simulation with servers in service and proxies that are connecting.
func newSimulation(t *testing.T, seed uint64, servers, proxies int, variant stream.Variant) *simulation {
	s := &simulation{t: t, seed: seed, rnd: rand.New(rand.NewPCG(seed, 1)), now: 1e6, digests: map[string]uint64{}, drainingSince: map[string]float64{}}
	s.core = newStartedCore(t, s.now, seed, servers)
	s.recordDigests()
	for i := range proxies {
		p := &simulatedProxy{sim: s, variant: variant, zone: i % (len(testZones) + 1), clockOffset: s.rnd.Float64() * 1e6, cache: ringcache.New("boxes")}
		s.proxies = append(s.proxies, p)
		p.connect(true)
		s.after(s.rnd.Float64()*100, p.requestLeases)
		s.after(s.rnd.Float64()*4, p.routeRequest)
	}
	var tick func()
	tick = func() { s.after(20, tick); s.step() }
	s.after(10, tick)
	return s
}

// addLoadReports adds load reports of two proxies every 250 ms. The loads of the servers differ, so that ring points are adjusted.
func (s *simulation) addLoadReports(servers int) {
	s.after(250, func() { s.addLoadReports(servers) })
	for _, proxy := range []string{"p1", "p2"} {
		reports := map[string]loadreport.Report{}
		for i := range servers {
			utilization := 0.5 + 0.4*float64((i*7+int(s.now/1000))%10-5)/10
			reports[fmt.Sprintf("127.0.0.1:%d", 1000+i)] = loadreport.Report{Utilization: utilization, QueueLength: utilization, HitRate: 0.5, Responses: 9}
		}
		s.core.AddLoadReports(s.now, proxy, reports)
	}
}

// setPhase updates the phase of a server in the endpoint list, and records when a drain starts or ends.
func (s *simulation) setPhase(i int, phase string, startedAt float64) {
	if s.core.UpdateEndpoints(s.now, discovery.Update{Members: []json.RawMessage{serverEntry(i, phase, startedAt)}}); phase == discovery.PhaseInService {
		delete(s.drainingSince, fmt.Sprint("s", i))
	} else if _, draining := s.drainingSince[fmt.Sprint("s", i)]; !draining {
		s.drainingSince[fmt.Sprint("s", i)] = s.now
	}
	s.step()
}
