package rollingrestart

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"mintspring/internal/testbed/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

const (
	warmupMillis = 1000.0
	stepMillis   = 100.0
	maxSteps     = 400
)

// fleetModel simulates the servers of a plan and the operators who restart the excluded ones.
type fleetModel struct {
	now     float64
	servers map[string]ServerStatus
}

func (f *fleetModel) status(server string) ServerStatus { return f.servers[server] }

// restartSome restarts some of the excluded servers.
func (f *fleetModel) restartSome(t *rapid.T, excluded []string) {
	for _, name := range excluded {
		if rapid.IntRange(0, 2).Draw(t, "restarted") == 0 {
			f.servers[name] = ServerStatus{Listed: true, ListedStart: f.now, StartedAt: f.now}
		}
	}
}

// unavailable counts servers that are excluded or warming up.
func (f *fleetModel) unavailable(excluded []string) int {
	count := 0
	for name, s := range f.servers {
		warming := s.StartedAt > 0 && f.now-s.StartedAt < warmupMillis
		if warming || slices.Contains(excluded, name) {
			count++
		}
	}
	return count
}

// The plan finishes, with each server excluded at most once and never more servers excluded or warming up than allowed. Restarts come after
// random delays, some servers are not listed, and the stored plan is decoded before each step, as by a new holder of the lease.
func TestPlanFinishesWithinItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count, maxUnavailable := rapid.IntRange(1, 8).Draw(t, "servers"), rapid.IntRange(1, 3).Draw(t, "max unavailable")
		fleet, names := drawFleet(t, count)
		p, err := NewPlan(names, maxUnavailable)
		if err != nil {
			t.Fatal(err)
		}
		exclusions := map[string]int{}
		for range maxSteps {
			fleet.now += stepMillis
			before := p.Excluded()
			fleet.restartSome(t, before)
			p.Advance(fleet.now, warmupMillis, fleet.status)
			if p, err = DecodePlan(p.Encode()); err != nil { // another holder of the lease continues
				t.Fatal(err)
			}
			countNew(exclusions, before, p.Excluded())
			if n := fleet.unavailable(p.Excluded()); n > maxUnavailable {
				t.Fatalf("%d servers are excluded or warming up: %s", n, p)
			}
			if p.Finished() {
				break
			}
		}
		if !p.Finished() || len(p.Done)+len(p.Skipped) != count {
			t.Fatalf("not finished: %s", p)
		}
		checkExcludedOnce(t, exclusions)
	})
}

// drawFleet returns a fleet of servers, some of which may not be listed, and their names in order.
func drawFleet(t *rapid.T, count int) (*fleetModel, []string) {
	fleet := &fleetModel{now: 1e6, servers: map[string]ServerStatus{}}
	var names []string
	for i := range count {
		name := string(rune('a' + i))
		names = append(names, name)
		fleet.servers[name] = ServerStatus{Listed: rapid.IntRange(0, 9).Draw(t, "listed") > 0}
	}
	return fleet, names
}

// countNew increments the counts of the names that are in after but not in before.
func countNew(counts map[string]int, before, after []string) {
	for _, name := range after {
		if !slices.Contains(before, name) {
			counts[name]++
		}
	}
}

func checkExcludedOnce(t *rapid.T, exclusions map[string]int) {
	for name, n := range exclusions {
		if n != 1 {
			t.Fatalf("%s was excluded %d times", name, n)
		}
	}
}

// A paused plan excludes no more servers and finishes those in progress; an aborted plan excludes none.
func TestPauseAndAbort(t *testing.T) {
	const warmup = 5
	p, err := NewPlan([]string{"a", "b"}, 1)
	if err != nil {
		t.Fatal(err)
	}
	startedAt := func(at float64) func(string) ServerStatus {
		return func(string) ServerStatus { return ServerStatus{Listed: true, ListedStart: at, StartedAt: at} }
	}
	p.Advance(10, warmup, startedAt(5))
	p.Paused = true
	if p.Advance(20, warmup, startedAt(15)); !p.InProgress[0].Restarted {
		t.Error("a paused plan keeps a restarted server excluded")
	}
	p.Advance(30, warmup, startedAt(15))
	if _, due := p.Advance(40, warmup, startedAt(5)); due || len(p.Done) != 1 {
		t.Errorf("a paused plan excludes another server or does not finish the one in progress: %s", p)
	}
	p.Paused = false
	p.Advance(50, warmup, startedAt(5))
	if p.Abort(); len(p.Excluded()) > 0 || !p.Finished() {
		t.Errorf("an aborted plan excludes servers or is not finished: %s", p)
	}
}

func TestInvalidPlans(t *testing.T) {
	for _, servers := range [][]string{nil, {"a", "a"}, {""}} {
		if _, err := NewPlan(servers, 1); err == nil {
			t.Errorf("servers %v are accepted", servers)
		}
	}
}

// A server that leaves the endpoint list while it is excluded or warming up still counts as unavailable: the plan excludes no other server,
// however long that takes, since more servers than allowed would be missing. When the server is listed again, the plan continues.
func TestUnlistedServerKeepsItsPlace(t *testing.T) {
	const warmup, start, longAfter = 5.0, 10.0, 1e9
	for _, restarted := range []bool{false, true} {
		fleet := &fleetModel{servers: map[string]ServerStatus{"a": {Listed: true}, "b": {Listed: true}}}
		p, err := NewPlan([]string{"a", "b"}, 1)
		if err != nil {
			t.Fatal(err)
		}
		p.Advance(start, warmup, fleet.status)
		if restarted {
			fleet.servers["a"] = ServerStatus{Listed: true, ListedStart: start, StartedAt: start}
			p.Advance(start+1, warmup, fleet.status)
		}
		fleet.servers["a"] = ServerStatus{}
		if step, due := p.Advance(longAfter, warmup, fleet.status); due || slices.Contains(p.Excluded(), "b") {
			t.Errorf("restarted: %v: a step %q is taken while a is not listed: %s", restarted, step, p)
		}
		fleet.servers["a"] = ServerStatus{Listed: true, ListedStart: longAfter, StartedAt: longAfter}
		for range 4 {
			p.Advance(longAfter+warmup, warmup, fleet.status)
		}
		if !slices.Equal(p.Done, []string{"a"}) || !slices.Equal(p.Excluded(), []string{"b"}) {
			t.Errorf("restarted: %v: the plan does not continue after a is listed again: %s", restarted, p)
		}
	}
}
