package controller

import (
	"fmt"
	"testing"

	"mintspring/internal/controlplane/stream"
	"mintspring/internal/fleet"
	"mintspring/internal/node/discovery"
)

// maxDrainLagMs is the guarantee of the control plane: a proxy starts no new request at a draining server later than this after the control
// plane has received the endpoint list update with the drain.
const maxDrainLagMs = 500

// simulateDrain simulates a server that drains and returns while faults affect the links of some proxies.
func (s *simulation) simulateDrain(servers int) {
	server := s.rnd.IntN(servers)
	for _, p := range s.proxies {
		if s.rnd.IntN(3) > 0 {
			s.after(s.rnd.Float64()*300, p.injectFault)
		}
	}
	s.after(s.rnd.Float64()*300, func() { s.setPhase(server, "terminating", 0) })
	if s.rnd.IntN(2) == 0 { // its process ends, and another one starts within a second of the drain
		s.after(400+s.rnd.Float64()*400, func() { s.setPhase(server, discovery.PhaseTerminated, 0) })
		s.after(900+s.rnd.Float64()*100, func() { s.setPhase(server, discovery.PhaseInService, s.now) })
	} else {
		s.after(1400, func() { s.setPhase(server, discovery.PhaseInService, s.now) })
	}
	s.run(s.now + 1500)
}

// checkConverged checks that every proxy holds a usable snapshot: the newest one or the previous one.
func (s *simulation) checkConverged() {
	s.t.Helper()
	for _, p := range s.proxies {
		held, _ := p.cache.Version()
		newest := s.core.Snapshots()[p.zone].Version
		if !p.cache.Usable(s.now+p.clockOffset) || p.cache.Digest() != s.digests[fmt.Sprint(held, p.zone)] || newest.Sequence-held.Sequence > 1 {
			s.t.Fatalf("seed %d: a proxy holds snapshot %v, the newest one is %v", s.seed, held, newest)
		}
	}
}

// TestDrainGuaranteeUnderFaults runs 200 simulations for each variant, in which links stall, lose messages and break, and servers drain and
// return under their IDs. It checks that no proxy starts a request at a draining server later than guaranteed, that the digest of every
// applied snapshot is that of a built one, and that all proxies hold the newest or the previous snapshot after the faults have ended.
func TestDrainGuaranteeUnderFaults(t *testing.T) {
	const servers, simulations, drains = 12, 200, 4
	for variant, name := range map[stream.Variant]string{stream.StateOfTheWorld: "state of the world", stream.Incremental: "incremental"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			longestLagMs, requests, unusable, applied := 0.0, 0, 0, 0
			for seed := range uint64(simulations) {
				s := newSimulation(t, seed, servers, 2, variant)
				s.addLoadReports(servers)
				s.run(s.now + 500)
				for range drains {
					s.simulateDrain(servers)
				}
				s.run(s.now + 4000)
				s.checkConverged()
				if s.longestDrainLagMs > maxDrainLagMs {
					t.Fatalf("%s, seed %d: a new request at a draining server after %.0f ms", name, seed, s.longestDrainLagMs)
				}
				longestLagMs, requests, unusable, applied = max(longestLagMs, s.longestDrainLagMs), requests+s.requests, unusable+s.unusable, applied+s.applied
			}
			t.Logf("%s: the last new request %.0f ms after the drain, in %d simulations; %d snapshots applied; %.1f%% of %d requests found no usable snapshot",
				name, longestLagMs, simulations, applied, 100*float64(unusable)/float64(requests), requests)
			if longestLagMs < 100 || unusable == 0 {
				t.Errorf("%s: the faults had no effect, so that the test could not fail", name)
			}
		})
	}
}

// TestLeaseEndsDuringStall checks that the lease ends while the stream is stalled. The cached snapshot then still has a drained server as an
// owner, so that without leases the proxy would keep sending requests to it.
func TestLeaseEndsDuringStall(t *testing.T) {
	s := newSimulation(t, 1, 6, 1, stream.Incremental)
	s.run(s.now + 1000)
	p := s.proxies[0]
	p.stalled = true
	s.setPhase(2, "terminating", 0)
	s.run(s.now + 900)
	if p.cache.Usable(s.now + p.clockOffset) {
		t.Error("the lease has not ended during the stall")
	}
	owned := 0
	for k := range 1000 {
		if owner := p.cache.Owner(fleet.Key(fleet.Mix(uint64(k) + 1))); owner != nil && owner.ID == "s2" {
			owned++
		}
	}
	if owned == 0 {
		t.Error("the cached snapshot includes the drain, which was never delivered")
	}
}

// TestControlPlaneRestarts checks that all proxies switch to the snapshots of a restarted control plane although its clock was set back, so
// that its first versions are older than those that the proxies hold.
func TestControlPlaneRestarts(t *testing.T) {
	for _, variant := range []stream.Variant{stream.StateOfTheWorld, stream.Incremental} {
		for seed := range uint64(20) {
			s := newSimulation(t, seed, 8, 3, variant)
			s.addLoadReports(8)
			s.run(s.now + 2000)
			previous := s.core.Snapshots()[0].Version
			// The clock of the new process is an hour behind, and a server has been removed from the endpoint list.
			s.core = newStartedCore(t, s.now-3.6e6+float64(seed), seed, 7)
			s.recordDigests()
			for _, p := range s.proxies {
				p.disconnect()
			}
			s.run(s.now + 3000)
			for i, p := range s.proxies {
				held, _ := p.cache.Version()
				if held.Epoch != s.core.epoch || !p.cache.Usable(s.now+p.clockOffset) || len(p.cache.Servers()) != 7 {
					t.Errorf("seed %d, proxy %d: snapshot %v after %v, %d servers", seed, i, held, previous, len(p.cache.Servers()))
				}
			}
		}
	}
}
