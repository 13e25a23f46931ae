package inflight

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mintspring/decide"
	"mintspring/internal/fleet"
	"mintspring/internal/node/exchange"
	"mintspring/internal/testbed/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// attempt is an attempt as the fake servers know it.
type attempt struct {
	exchange  *exchange.Exchange
	number    int
	ended     bool
	cancelled bool // or withdrawn
}

// fakeServers is a dispatcher and the client of all requests. It counts its calls.
type fakeServers struct {
	attempts  []*attempt
	responses map[*exchange.Exchange]int
	admitted  int
	released  int
	watches   int
}

func (f *fakeServers) Send(_ float64, _ fleet.ServerID, x *exchange.Exchange, number int, _, _ float64) *attempt {
	a := &attempt{exchange: x, number: number}
	f.attempts = append(f.attempts, a)
	return a
}

func (f *fakeServers) Cancel(_ float64, _ fleet.ServerID, a *attempt) { a.cancelled = true }

func (f *fakeServers) CancelUnsent(_ float64, _ fleet.ServerID, a *attempt)    { a.cancelled = true }
func (f *fakeServers) BodyComplete(float64, fleet.ServerID, *attempt, float64) {}
func (f *fakeServers) CloseIdle(fleet.ServerID)                                {}
func (f *fakeServers) WatchList()                                              { f.watches++ }
func (f *fakeServers) PollList()                                               {}
func (f *fakeServers) Admitted(*Entry[*attempt])                               { f.admitted++ }
func (f *fakeServers) Released(float64, *Entry[*attempt])                      { f.released++ }
func (f *fakeServers) ResponseReady(x *exchange.Exchange)                      { f.responses[x]++ }

func limits() fleet.Limits {
	return fleet.Limits{
		Seed: 1, Nodes: 1, OriginKind: 1, MaxAttempts: 4, Hedging: true, Cancellation: true, SendRetryAfter: true, MaxRetryAfter: 1000,
		Subscribe: true, PollWithin: 10000, StopSendingWithin: 500, Quantum: 5, Classes: []fleet.Class{
			{LatencyObjective: 300, ClientTimeout: 900, PriorityWeight: 1},
			{LatencyObjective: 300, ClientTimeout: 900, PriorityWeight: 3, Effect: fleet.NonIdempotent},
		},
	}
}

// scenario is a table with servers and clients that act in any order.
type scenario struct {
	*rapid.T
	servers  *fakeServers
	table    *Table[*attempt]
	now      float64
	requests []*exchange.Exchange
	gone     map[*exchange.Exchange]bool // their clients
}

func newScenario(t *rapid.T) *scenario {
	servers := &fakeServers{responses: map[*exchange.Exchange]int{}}
	s := &scenario{
		T: t, servers: servers, table: New(Dispatcher[*attempt](servers)), now: 1000, gone: map[*exchange.Exchange]bool{},
	}
	s.table.Policy = decide.New(s.now, limits(), &s.table.Slab)
	s.runDue()
	var list []fleet.Endpoint
	for i := range 4 {
		list = append(list, fleet.Endpoint{
			ID: fleet.ServerID(i), Name: fmt.Sprint("s", i), Kind: fleet.KindID(i / 3), State: fleet.Ready, NominalCapacity: 1,
		})
	}
	s.table.Policy.UpdateEndpoints(s.now, fleet.ListFull, list)
	return s
}

// runDue carries out all that is due.
func (s *scenario) runDue() {
	for range 1000 {
		entry, wait := s.table.NextDue(s.now)
		if wait > 0 {
			return
		}
		s.table.Decide(s.now, entry)
	}
	s.Fatal("something is always due")
}

func (s *scenario) admit() {
	x := &exchange.Exchange{
		Key: []byte("k"), KeyHash: fleet.Key(rapid.IntRange(0, 9).Draw(s.T, "key")), Write: rapid.Bool().Draw(s.T, "write"),
		ArrivedAt: s.now, Deadline: s.now + 900, Client: s.servers,
	}
	if x.Write {
		x.Class = 1
	}
	s.requests = append(s.requests, x)
	s.table.Admit(s.now, x)
}

func (s *scenario) loseClient() {
	if len(s.requests) > 0 {
		x := rapid.SampledFrom(s.requests).Draw(s.T, "client")
		s.gone[x] = true
		s.table.ClientGone(s.now, x)
	}
}

func (s *scenario) endAttempt() {
	if len(s.servers.attempts) == 0 {
		return
	}
	a := rapid.SampledFrom(s.servers.attempts).Draw(s.T, "attempt")
	result := rapid.SampledFrom([]fleet.Result{
		fleet.Completed, fleet.Failed, fleet.Declined, fleet.Missed, fleet.Reset, fleet.NotSent,
	}).Draw(s.T, "result")
	if !a.ended {
		a.ended = true
		s.table.AttemptDone(s.now, a.exchange, a.number, Completion{Result: result, Took: 10, Report: fleet.NewLoadReport(), Value: []byte("v")})
	}
}

// expectWithdrawn expects every attempt that nobody waits for to be withdrawn.
func (s *scenario) expectWithdrawn() {
	for _, a := range s.servers.attempts {
		if answered := s.servers.responses[a.exchange] > 0; (answered || s.gone[a.exchange]) && !a.ended && !a.cancelled {
			s.Fatalf("attempt %d of a request that nobody waits for (answered: %v) may still be sent", a.number, answered)
		}
	}
}

// step lets time pass, and something drawn happen.
func (s *scenario) step() {
	s.now += rapid.Float64Range(0, 80).Draw(s.T, "ms")
	s.runDue()
	switch rapid.IntRange(0, 4).Draw(s.T, "what") {
	case 0, 1:
		s.admit()
	case 2:
		s.loseClient()
	default:
		s.endAttempt()
	}
}

// Whatever happens in whatever order, each request has one response and its slot is free again once no attempt is out, and what ends twice,
// late, or for a request that is gone changes nothing.
func TestEachRequestIsAnsweredOnceAndReleased(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newScenario(r)
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			s.step()
		}
		unanswered := s.table.HasUnanswered()
		s.expectWithdrawn()
		s.table.AbortAll(s.now, "the end")
		s.expectWithdrawn()
		if s.table.HasUnanswered() {
			r.Fatal("a request has no response after all were aborted")
		}
		for _, a := range s.servers.attempts {
			if !a.ended {
				s.table.AttemptDone(s.now, a.exchange, a.number, Completion{Result: fleet.TimedOut, Took: 900, Report: fleet.NewLoadReport()})
			}
		}
		for i, x := range s.requests {
			if n := s.servers.responses[x]; n > 1 || n == 0 && !s.gone[x] {
				r.Fatalf("request %d of %d has %d responses (unanswered before the abort: %v)", i, len(s.requests), n, unanswered)
			}
		}
		if n := len(s.requests); s.table.Len() != 0 || s.servers.admitted != n || s.servers.released != n || s.servers.watches != 1 {
			r.Fatalf("%d in flight, %d admitted, %d released of %d; %d watches", s.table.Len(), s.servers.admitted, s.servers.released, n, s.servers.watches)
		}
	})
}

// A request whose handling fails is aborted and released, and one that is not in flight is left alone.
func TestFailedRequestIsAborted(t *testing.T) {
	servers := &fakeServers{responses: map[*exchange.Exchange]int{}}
	table := New(Dispatcher[*attempt](servers))
	table.Policy = decide.New(1000, limits(), &table.Slab)
	x := &exchange.Exchange{Deadline: 1900, ArrivedAt: 1000, Client: servers}
	table.Policy.UpdateEndpoints(1000, fleet.ListFull, []fleet.Endpoint{{ID: 0, Name: "s", State: fleet.Ready, NominalCapacity: 1}})
	table.Admit(1000, x)
	table.Fail(1001, x, "a fault")
	table.Fail(1002, x, "another")
	table.AttemptDone(1003, x, 0, Completion{Result: fleet.Completed, Report: fleet.NewLoadReport()})
	response := x.Response()
	if response == nil || response.Kind != exchange.Aborted || response.Reason != "a fault" || table.Len() != 0 || servers.responses[x] != 1 {
		t.Errorf("%+v, %d in flight", response, table.Len())
	}
	if n := table.Counters.Responses; n[exchange.Aborted] != 1 {
		t.Errorf("counted %v", n)
	}
}
