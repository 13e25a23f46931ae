package connpool

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"mintspring/internal/testbed/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

func defaultConfig() Config {
	return Config{Nodes: 1, NodeIndex: 0, Cooldown: 5, DialAfterWait: 50, IdleTimeout: 10000, StartupWindow: 4000}
}

// Attempts wait for a cooling connection until their total wait reaches DialAfterWait; then one more connection is dialed.
func TestDialsAfterMaximumWait(t *testing.T) {
	p := NewPolicy(defaultConfig(), 1, 0)
	s := State{Open: 1, CoolingDown: 1, Waiting: 1}
	for i := range 10 {
		if n, _ := p.planDials(float64(i), s); n != 0 {
			t.Fatalf("dials after %d waits", i)
		}
		p.recordWait(5)
	}
	if n, _ := p.planDials(10, s); n != 1 {
		t.Error("no dial although the total wait has reached DialAfterWait")
	}
	if n, _ := p.planDials(11, s); n != 0 {
		t.Error("a second dial without further waits")
	}
	if n, _ := p.planDials(12, State{Open: 3, InUse: 3, Waiting: 2}); n != 2 {
		t.Error("attempts wait for connections in use although more may be opened")
	}
}

// All nodes together hold no more connections than the server accepts, but each node may hold one.
func TestConnectionLimitOfAllNodes(t *testing.T) {
	for _, c := range []struct{ maxConns, nodes, want int }{{100, 20, 5}, {10, 3, 3}, {4, 20, 1}, {0, 20, math.MaxInt32}} {
		config := defaultConfig()
		config.MaxConns, config.Nodes = c.maxConns, c.nodes
		p := NewPolicy(config, 1, 0)
		if got := p.limit(); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
		if n, _ := p.planDials(0, State{Waiting: 50}); c.want < 50 && n != c.want {
			t.Errorf("%+v: dials %d", c, n)
		}
	}
}

// nodePolicies has the policies of all nodes for one server.
type nodePolicies struct {
	t           *rapid.T
	config      Config
	nodes       []*Policy
	dialTimes   []float64 // in ascending order
	dialsByNode []int
}

func drawNodePolicies(t *rapid.T) (f *nodePolicies, epoch float64) {
	config := defaultConfig()
	config.Nodes = rapid.IntRange(1, 30).Draw(t, "nodes")
	config.DialRate = rapid.Float64Range(2, 200).Draw(t, "dial rate")
	config.StartupDialRate = rapid.Float64Range(1, 50).Draw(t, "startup dial rate")
	epoch = rapid.SampledFrom([]float64{0, 1.78e12}).Draw(t, "epoch") // with the large value, slot numbers are large too
	hash := rapid.Uint64().Draw(t, "server")
	f = &nodePolicies{t: t, config: config, dialsByNode: make([]int, config.Nodes)}
	for i := range config.Nodes {
		config.NodeIndex = i
		p := NewPolicy(config, hash, 0)
		p.ServerStarted(epoch + 1000)
		f.nodes = append(f.nodes, p)
	}
	return f, epoch
}

// dial lets each node dial for three waiting attempts.
func (f *nodePolicies) dial(now float64) {
	for i, p := range f.nodes {
		n, retryAt := p.planDials(now, State{Waiting: 3})
		for range n {
			f.dialTimes = append(f.dialTimes, now)
		}
		if f.dialsByNode[i] += n; n < 3 && !(retryAt > now) {
			f.t.Fatalf("node %d dials %d and retries at %v, now %v", i, n, retryAt, now)
		}
	}
}

// dialsInSecond counts the dials in the second that begins with dial i.
func (f *nodePolicies) dialsInSecond(i int) int {
	n := 0
	for _, at := range f.dialTimes[i:] {
		if at < f.dialTimes[i]+1000 {
			n++
		}
	}
	return n
}

// In any second, all nodes together dial a server at most as often as configured, also during the startup window, and every node gets
// slots.
func TestDialRateOfAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, epoch := drawNodePolicies(t)
		step := rapid.Float64Range(0.3, 7).Draw(t, "step")
		for now := epoch + 1000; now < epoch+9000; now += step {
			f.dial(now)
		}
		for i, at := range f.dialTimes {
			bound := f.config.DialRate
			switch {
			case at+1000 < epoch+5000:
				bound = min(bound, f.config.StartupDialRate)
			case at < epoch+5000:
				bound += f.config.StartupDialRate // the second contains the end of the startup window, so each rate holds in a part of it
			}
			if n := f.dialsInSecond(i); float64(n) > max(1, bound) {
				t.Fatalf("%d dials in the second from %v, where %v are allowed", n, at, bound)
			}
		}
		if 3*min(f.config.DialRate, f.config.StartupDialRate) > float64(2*f.config.Nodes) && slices.Contains(f.dialsByNode, 0) {
			t.Fatalf("node %d never had a slot", slices.Index(f.dialsByNode, 0))
		}
	})
}

// Connections are opened ahead of need, and closed when the peak of use has left the window.
func TestPrewarm(t *testing.T) {
	config := defaultConfig()
	config.Prewarm, config.MinConns = true, 2
	p := NewPolicy(config, 1, 0)
	if n, _ := p.planDials(0, State{}); n != 2 {
		t.Errorf("dials %d with MinConns 2", n)
	}
	p.recordInUse(0, 9)
	if n, _ := p.planDials(1, State{Open: 9, InUse: 9}); n != 3 {
		t.Errorf("dials %d with a peak of nine in use", n)
	}
	if k := p.idleTarget(2, State{Open: 12, InUse: 4}); k != 8 {
		t.Errorf("keeps %d unused with four in use", k)
	}
	if k := p.idleTarget(30000, State{Open: 12}); k != 2 {
		t.Errorf("keeps %d unused after a long idle time", k)
	}
}

// Rejections from a full connection table are distinguished from those of a full request queue, and the learned limit grows again over
// time.
func TestLearnedLimit(t *testing.T) {
	p := NewPolicy(defaultConfig(), 1, 0)
	for range 5 {
		p.recordRejection(10, false, 7)
	}
	if p.recordRejection(11, true, 7) || p.limit() != math.MaxInt32 {
		t.Error("a full request queue is taken for a full connection table")
	}
	p = NewPolicy(defaultConfig(), 1, 0)
	if !p.recordRejection(10, true, 7) || p.limit() != 7 {
		t.Errorf("learned %d", p.limit())
	}
	p.recordDialFailure(11, 5, true)
	p.recordDialFailure(12, 2, false) // the server may be dead
	if p.limit() != 5 {
		t.Errorf("learned %d", p.limit())
	}
	p.recordInUse(5000, 1)
	if p.limit() != 6 {
		t.Errorf("grown to %d", p.limit())
	}
	p.ServerStarted(6000)
	if p.limit() != math.MaxInt32 {
		t.Error("the limit of the previous process applies to a new one")
	}
}

// A server that sends late duplicates becomes suspected. Its connections cool down for a long time at first, then for a multiple of the
// measured lateness; the cooldown is halved after many responses without a duplicate.
func TestDuplicatesRaiseCooldown(t *testing.T) {
	config := defaultConfig()
	p := NewPolicy(config, 1, 0)
	for i, c := range []struct {
		lateness    float64
		reusedEarly bool
		want        float64
	}{{0.1, false, 5}, {0.1, true, 1000}, {4, false, 1000}, {400, false, 1600}, {1, false, 1600}, {1e5, false, config.IdleTimeout / 2}} {
		p.recordUnsolicited(c.lateness, c.reusedEarly)
		if got := p.cooldown(); got != c.want {
			t.Errorf("after duplicate %d cools down for %v, want %v", i, got, c.want)
		}
	}
	p = NewPolicy(config, 1, 0)
	for i := range minSamples + 1 { // the first duplicate starts the suspicion and is no sample, since its lateness may be wrong
		p.recordUnsolicited(40, false)
		for range 100 {
			p.recordResponse(0)
		}
		if want := map[bool]float64{true: 160, false: 1000}[i == minSamples]; p.cooldown() != want {
			t.Errorf("after duplicate %d cools down for %v, want %v", i, p.cooldown(), want)
		}
	}
	checkCooldownIsHalved(t, p)
	p.recordUnsolicited(40, false)
	if p.ServerStarted(7); p.Suspected() {
		t.Error("a new process is suspected because of the previous one")
	}
}

// checkCooldownIsHalved records responses without a duplicate until the suspicion ends, and checks that the cooldown is halved each time.
func checkCooldownIsHalved(t *testing.T, p *Policy) {
	t.Helper()
	halvings := 0
	for before, n := p.cooldown(), 0; p.Suspected(); n++ {
		if n > 1e6 {
			t.Fatal("the suspicion never ends")
		}
		if p.recordResponse(0); p.cooldown() != before {
			if halvings++; p.cooldown() != before/2 && p.cooldown() != 5 || n+1 < halvingFactor*minDuplicateInterval-100 {
				t.Fatalf("cools down for %v after %v, after %d responses without a duplicate", p.cooldown(), before, n)
			}
			before, n = p.cooldown(), 0
		}
	}
	if halvings != 4 || p.cooldown() != 5 {
		t.Errorf("halved %d times to %v", halvings, p.cooldown())
	}
}

// Bounds with value zero do not apply; others are kept.
func TestWaitAgeAndQueueBounds(t *testing.T) {
	config := defaultConfig()
	if p := NewPolicy(config, 1, 0); !math.IsInf(p.waitDeadline(3), 1) || p.queueFull(1e6) || p.expired(1e9, 0, 0) {
		t.Error("bounds where none are configured")
	}
	config.WaitTimeout, config.MaxWaiting, config.MaxAge = 50, 3, 1000
	p := NewPolicy(config, 1, 0)
	if p.waitDeadline(3) != 53 || p.queueFull(2) || !p.queueFull(3) || p.expired(790, 0, 0) || !p.expired(810, 0, 0) || p.expired(990, 0, 1) {
		t.Error("bounds are not kept")
	}
}
