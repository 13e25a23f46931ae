package lease

import (
	"hash/maphash"
	"slices"
	"strings"
	"testing"
)

// exploredState is a state of a model, with the event and the state that led to it.
type exploredState struct {
	model       *model
	predecessor *exploredState
	event       string
}

// path returns the events that lead from the initial state to s.
func (s *exploredState) path() []string {
	var events []string
	for ; s.predecessor != nil; s = s.predecessor {
		events = append(events, s.event)
	}
	slices.Reverse(events)
	return events
}

// explore visits the states that every order of events of a model leads to, breadth first. It returns the shortest path to a violation, if there
// is one, and the number of states visited.
func explore(options *modelOptions) (path []string, violation string, states int) {
	seen, seed := map[uint64]struct{}{}, maphash.MakeSeed()
	frontier := []*exploredState{{model: newModel(options)}}
	for range options.maxEvents {
		var next []*exploredState
		for _, from := range frontier {
			for _, e := range from.model.events() {
				m := from.model.clone()
				e.apply(m)
				violation := m.violation()
				key := maphash.String(seed, m.key())
				if _, known := seen[key]; known && violation == "" {
					continue
				}
				seen[key] = struct{}{}
				states++
				to := &exploredState{model: m, predecessor: from, event: e.description}
				if violation != "" {
					return to.path(), violation, states
				}
				next = append(next, to)
			}
		}
		frontier = next
	}
	return nil, "", states
}

// In every order of events of two contenders and up to two replicas, no two contenders may act at the same moment, and none may act under a lower
// token than a contender before it. In the case of clock drift the contenders' clocks run as slow, and the replicas' clocks as fast, as
// MaxClockDrift allows.
func TestEveryOrderOfEvents(t *testing.T) {
	for name, options := range map[string]*modelOptions{
		"clock drift": {
			contenders: 2, replicas: 1, maxEvents: 12, maxTicks: 3, tickMillis: 500, ttlMillis: 1000, maxMessages: 2,
			clockDrifts: []float64{-MaxClockDrift, -MaxClockDrift, MaxClockDrift},
		},
		"duplicates":             {contenders: 2, replicas: 1, maxEvents: 9, maxTicks: 2, tickMillis: 1060, ttlMillis: 1000, maxMessages: 2, duplicates: true, releases: true},
		"restarts":               {contenders: 2, replicas: 2, maxEvents: 8, maxTicks: 2, tickMillis: 1060, ttlMillis: 1000, maxMessages: 2, restarts: true},
		"renewals":               {contenders: 2, replicas: 1, maxEvents: 14, maxTicks: 2, tickMillis: 600, ttlMillis: 1000, maxMessages: 1, maxRequests: 2},
		"releases":               {contenders: 2, replicas: 1, maxEvents: 12, maxMessages: 2, maxRequests: 2, ttlMillis: 1000, releases: true},
		"duplicates of releases": {contenders: 2, replicas: 1, maxEvents: 12, maxMessages: 2, maxRequests: 2, ttlMillis: 1000, releases: true, duplicates: true},
		"two incarnations":       {contenders: 2, replicas: 1, maxEvents: 9, maxMessages: 2, maxRequests: 1, ttlMillis: 1000, restarts: true},
	} {
		path, violation, states := explore(options)
		if violation != "" {
			t.Errorf("%s: %s:\n%s", name, violation, strings.Join(path, "\n"))
		}
		t.Logf("%s: %d states", name, states)
	}
}
