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

// fleetModel is the servers that a plan restarts, with operators who restart those that are excluded.
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

// Whenever servers are restarted or are missing from the list, and whoever takes the next step from the stored plan: never more servers than allowed
// are excluded or warming up, each is excluded at most once, and the plan finishes.
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
			if p, err = DecodePlan(p.Encode()); err != nil { // another holder continues
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

// drawFleet draws a fleet of servers, of which some may not be listed, and returns their names too.
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

// countNew counts the names that were not there before.
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
		t.Error("paused, it does not use a restarted server again")
	}
	p.Advance(30, warmup, startedAt(15))
	if _, due := p.Advance(40, warmup, startedAt(5)); due || len(p.Done) != 1 {
		t.Errorf("paused, it continues: %s", p)
	}
	p.Paused = false
	p.Advance(50, warmup, startedAt(5))
	if p.Abort(); len(p.Excluded()) > 0 || !p.Finished() {
		t.Errorf("aborted, it is not finished: %s", p)
	}
}

func TestInvalidPlans(t *testing.T) {
	for _, servers := range [][]string{nil, {"a", "a"}, {""}} {
		if _, err := NewPlan(servers, 1); err == nil {
			t.Errorf("servers %v are accepted", servers)
		}
	}
}

// A server that is not listed any more, while it is excluded or while it warms up, keeps its place: no other is excluded, however long it takes, since
// more than allowed would be missing. When it is listed again, the plan goes on.
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
			t.Errorf("restarted: %v: %q while a is missing: %s", restarted, step, p)
		}
		fleet.servers["a"] = ServerStatus{Listed: true, ListedStart: longAfter, StartedAt: longAfter}
		for range 4 {
			p.Advance(longAfter+warmup, warmup, fleet.status)
		}
		if !slices.Equal(p.Done, []string{"a"}) || !slices.Equal(p.Excluded(), []string{"b"}) {
			t.Errorf("restarted: %v: a is listed again: %s", restarted, p)
		}
	}
}
