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

// attempt is the fake dispatcher's record of an attempt.
type attempt struct {
	exchange  *exchange.Exchange
	number    int
	ended     bool
	cancelled bool // by Cancel or CancelUnsent
}

// fakeDispatcher is a dispatcher and the client of all requests. It records the calls.
type fakeDispatcher struct {
	attempts  []*attempt
	responses map[*exchange.Exchange]int
	admitted  int
	released  int
	watches   int // calls of WatchList
}

func (f *fakeDispatcher) Send(_ float64, _ fleet.ServerID, x *exchange.Exchange, number int, _, _ float64) *attempt {
	a := &attempt{exchange: x, number: number}
	f.attempts = append(f.attempts, a)
	return a
}

func (f *fakeDispatcher) Cancel(_ float64, _ fleet.ServerID, a *attempt) { a.cancelled = true }

func (f *fakeDispatcher) CancelUnsent(_ float64, _ fleet.ServerID, a *attempt)    { a.cancelled = true }
func (f *fakeDispatcher) BodyComplete(float64, fleet.ServerID, *attempt, float64) {}
func (f *fakeDispatcher) CloseIdle(fleet.ServerID)                                {}
func (f *fakeDispatcher) WatchList()                                              { f.watches++ }
func (f *fakeDispatcher) PollList()                                               {}
func (f *fakeDispatcher) Admitted(*Entry[*attempt])                               { f.admitted++ }
func (f *fakeDispatcher) Released(float64, *Entry[*attempt])                      { f.released++ }
func (f *fakeDispatcher) ResponseReady(x *exchange.Exchange)                      { f.responses[x]++ }

func testLimits() fleet.Limits {
	return fleet.Limits{
		Seed: 1, Nodes: 1, OriginKind: 1, MaxAttempts: 4, Hedging: true, Cancellation: true, SendRetryAfter: true, MaxRetryAfter: 1000,
		Subscribe: true, PollWithin: 10000, StopSendingWithin: 500, Quantum: 5, Classes: []fleet.Class{
			{LatencyObjective: 300, ClientTimeout: 900, PriorityWeight: 1},
			{LatencyObjective: 300, ClientTimeout: 900, PriorityWeight: 3, Effect: fleet.NonIdempotent},
		},
	}
}

// scenario is a table with servers and clients that act in random order.
type scenario struct {
	*rapid.T
	dispatcher   *fakeDispatcher
	table        *Table[*attempt]
	now          float64
	requests     []*exchange.Exchange
	disconnected map[*exchange.Exchange]bool // requests whose clients have disconnected
}

func newScenario(t *rapid.T) *scenario {
	dispatcher := &fakeDispatcher{responses: map[*exchange.Exchange]int{}}
	s := &scenario{
		T: t, dispatcher: dispatcher, table: New(Dispatcher[*attempt](dispatcher)), now: 1000, disconnected: map[*exchange.Exchange]bool{},
	}
	s.table.Policy = decide.New(s.now, testLimits(), &s.table.Slab)
	s.decideDue()
	var list []fleet.Endpoint
	for i := range 4 {
		list = append(list, fleet.Endpoint{
			ID: fleet.ServerID(i), Name: fmt.Sprint("s", i), Kind: fleet.KindID(i / 3), State: fleet.Ready, NominalCapacity: 1,
		})
	}
	s.table.Policy.UpdateEndpoints(s.now, fleet.ListFull, list)
	return s
}

// decideDue calls Decide until nothing is due.
func (s *scenario) decideDue() {
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
		ArrivedAt: s.now, Deadline: s.now + 900, Client: s.dispatcher,
	}
	if x.Write {
		x.Class = 1
	}
	s.requests = append(s.requests, x)
	s.table.Admit(s.now, x)
}

func (s *scenario) disconnectClient() {
	if len(s.requests) > 0 {
		x := rapid.SampledFrom(s.requests).Draw(s.T, "client")
		s.disconnected[x] = true
		s.table.ClientGone(s.now, x)
	}
}

func (s *scenario) completeAttempt() {
	if len(s.dispatcher.attempts) == 0 {
		return
	}
	a := rapid.SampledFrom(s.dispatcher.attempts).Draw(s.T, "attempt")
	result := rapid.SampledFrom([]fleet.Result{
		fleet.Completed, fleet.Failed, fleet.Declined, fleet.Missed, fleet.Reset, fleet.NotSent,
	}).Draw(s.T, "result")
	if !a.ended {
		a.ended = true
		s.table.AttemptDone(s.now, a.exchange, a.number, Completion{Result: result, Took: 10, Report: fleet.NewLoadReport(), Value: []byte("v")})
	}
}

// checkUnneededCancelled checks that the pending attempts of answered requests and of disconnected clients are cancelled.
func (s *scenario) checkUnneededCancelled() {
	for _, a := range s.dispatcher.attempts {
		if answered := s.dispatcher.responses[a.exchange] > 0; (answered || s.disconnected[a.exchange]) && !a.ended && !a.cancelled {
			s.Fatalf("attempt %d of a request that nobody waits for (answered: %v) may still be sent", a.number, answered)
		}
	}
}

// step advances the time and runs a random event.
func (s *scenario) step() {
	s.now += rapid.Float64Range(0, 80).Draw(s.T, "ms")
	s.decideDue()
	switch rapid.IntRange(0, 4).Draw(s.T, "event") {
	case 0, 1:
		s.admit()
	case 2:
		s.disconnectClient()
	default:
		s.completeAttempt()
	}
}

// In any sequence of events, each request gets one response, and is released when it has no attempt in flight. The end of an attempt whose
// request is already closed or released changes nothing.
func TestEachRequestIsAnsweredOnceAndReleased(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newScenario(r)
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			s.step()
		}
		unanswered := s.table.HasUnanswered()
		s.checkUnneededCancelled()
		s.table.AbortAll(s.now, "the end")
		s.checkUnneededCancelled()
		if s.table.HasUnanswered() {
			r.Fatal("a request has no response after AbortAll")
		}
		for _, a := range s.dispatcher.attempts {
			if !a.ended {
				s.table.AttemptDone(s.now, a.exchange, a.number, Completion{Result: fleet.TimedOut, Took: 900, Report: fleet.NewLoadReport()})
			}
		}
		for i, x := range s.requests {
			if n := s.dispatcher.responses[x]; n > 1 || n == 0 && !s.disconnected[x] {
				r.Fatalf("request %d of %d has %d responses (unanswered before the abort: %v)", i, len(s.requests), n, unanswered)
			}
		}
		if n := len(s.requests); s.table.Len() != 0 || s.dispatcher.admitted != n || s.dispatcher.released != n || s.dispatcher.watches != 1 {
			r.Fatalf("%d in flight, %d admitted, %d released of %d; %d watches",
				s.table.Len(), s.dispatcher.admitted, s.dispatcher.released, n, s.dispatcher.watches)
		}
	})
}

// Fail aborts and releases a request. Calls for a request that is no longer in flight have no effect.
func TestFailedRequestIsAborted(t *testing.T) {
	dispatcher := &fakeDispatcher{responses: map[*exchange.Exchange]int{}}
	table := New(Dispatcher[*attempt](dispatcher))
	table.Policy = decide.New(1000, testLimits(), &table.Slab)
	x := &exchange.Exchange{Deadline: 1900, ArrivedAt: 1000, Client: dispatcher}
	table.Policy.UpdateEndpoints(1000, fleet.ListFull, []fleet.Endpoint{{ID: 0, Name: "s", State: fleet.Ready, NominalCapacity: 1}})
	table.Admit(1000, x)
	table.Fail(1001, x, "a fault")
	table.Fail(1002, x, "another")
	table.AttemptDone(1003, x, 0, Completion{Result: fleet.Completed, Report: fleet.NewLoadReport()})
	response := x.Response()
	if response == nil || response.Kind != exchange.Aborted || response.Reason != "a fault" ||
		table.Len() != 0 || dispatcher.responses[x] != 1 {
		t.Errorf("%+v, %d in flight", response, table.Len())
	}
	if n := table.Counters.Responses; n[exchange.Aborted] != 1 {
		t.Errorf("counted %v", n)
	}
}
