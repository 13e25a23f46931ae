package hands

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mintspring/decide"
	"mintspring/fleet"
	"mintspring/node/exchange"
	"mintspring/rig/fixed"
)

func TestMain(m *testing.M) { fixed.Main(m) }

// run is an execution as the test's servers have it.
type run struct {
	x     *exchange.Exchange
	no    int
	to    fleet.ServerID
	ended bool
	given bool // up, by a cancel or a withdrawal
}

// yard is servers and clients that do as they like.
type yard struct {
	runs    []*run
	answers map[*exchange.Exchange]int
	began   int
	over    int
	watches int
}

func (y *yard) Send(_ float64, to fleet.ServerID, x *exchange.Exchange, no int, _, _ float64) *run {
	e := &run{x: x, no: no, to: to}
	y.runs = append(y.runs, e)
	return e
}
func (y *yard) Cancel(_ float64, _ fleet.ServerID, e *run)   { e.given = true }
func (y *yard) Withdraw(_ float64, _ fleet.ServerID, e *run) { e.given = true }
func (y *yard) Whole(float64, fleet.ServerID, *run, float64) {}
func (y *yard) LetGo(fleet.ServerID)                         {}
func (y *yard) Watch()                                       { y.watches++ }
func (y *yard) Ask()                                         {}
func (y *yard) Began(*Hand[*run])                            { y.began++ }
func (y *yard) Over(float64, *Hand[*run])                    { y.over++ }
func (y *yard) Ready(x *exchange.Exchange)                   { y.answers[x]++ }

func limits() fleet.Limits {
	return fleet.Limits{Seed: 1, Nodes: 1, OriginKind: 1, MaxExecutions: 4, SecondCopies: true, Cancelling: true, RetryAfter: true, MaxRetryAfter: 1000,
		Subscribe: true, MustAskIn: 10000, StopSendingWithin: 500, Quantum: 5, Workloads: []fleet.Workload{
			{SLOTime: 300, StatementTimeout: 900, Importance: 1},
			{SLOTime: 300, StatementTimeout: 900, Importance: 3, Effect: fleet.NonIdempotent}}}
}

// Whatever comes in whatever order, each query has one answer and its place back once nothing of it is out, and what ends twice,
// late, or for a query that is gone changes nothing.
func TestEachQueryIsAnsweredOnceAndForgotten(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		y := &yard{answers: map[*exchange.Exchange]int{}}
		b := New(Ways[*run](y))
		now := 1000.0
		b.Mind = decide.New(now, limits(), &b.Slab)
		var list []fleet.Member
		for i := range 4 {
			list = append(list, fleet.Member{ID: fleet.ServerID(i), Name: fmt.Sprint("s", i), Kind: fleet.KindID(i / 3), State: fleet.Ready, Size: 1})
		}
		due := func() {
			for range 1000 {
				h, wait := b.Next(now)
				if wait > 0 {
					return
				}
				b.Ask(now, h)
			}
			r.Fatal("it does not come to rest")
		}
		due()
		b.Mind.Members(now, fleet.ListFull, list)
		var all []*exchange.Exchange
		left := map[*exchange.Exchange]bool{}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now += rapid.Float64Range(0, 80).Draw(r, "ms")
			due()
			switch rapid.IntRange(0, 4).Draw(r, "what") {
			case 0, 1:
				x := &exchange.Exchange{Key: []byte("k"), Point: fleet.Key(rapid.IntRange(0, 9).Draw(r, "key")), Write: rapid.Bool().Draw(r, "write"),
					Arrived: now, Deadline: now + 900, Back: y}
				if x.Write {
					x.Workload = 1
				}
				all = append(all, x)
				b.Take(now, x)
			case 2:
				if len(all) > 0 {
					x := rapid.SampledFrom(all).Draw(r, "client")
					left[x] = true
					b.Left(now, x)
				}
			default:
				if len(y.runs) > 0 {
					e := rapid.SampledFrom(y.runs).Draw(r, "run")
					res := rapid.SampledFrom([]fleet.Result{fleet.Completed, fleet.Failed, fleet.Full, fleet.Missed, fleet.Reset, fleet.NotSent}).Draw(r, "result")
					if e.ended {
						continue
					}
					e.ended = true
					b.Ended(now, e.x, e.no, Ending{Result: res, Took: 10, Report: fleet.NewReport(), Value: []byte("v")})
				}
			}
		}
		owing := b.Owing()
		nothingGoes := func() {
			for _, e := range y.runs {
				if answered := y.answers[e.x] > 0; (answered || left[e.x]) && !e.ended && !e.given {
					r.Fatalf("execution %d of a query that nobody waits for (answered: %v) may still be sent", e.no, answered)
				}
			}
		}
		nothingGoes()
		b.Abort(now, "the end")
		nothingGoes()
		if b.Owing() {
			r.Fatal("something is owed after all was aborted")
		}
		for _, e := range y.runs {
			if !e.ended {
				b.Ended(now, e.x, e.no, Ending{Result: fleet.TimedOut, Took: 900, Report: fleet.NewReport()})
			}
		}
		for i, x := range all {
			if n := y.answers[x]; n > 1 || n == 0 && !left[x] {
				r.Fatalf("query %d of %d has %d answers (owing before: %v)", i, len(all), n, owing)
			}
		}
		if b.Len() != 0 || y.began != len(all) || y.over != len(all) || y.watches != 1 {
			r.Fatalf("%d in hand, %d began, %d are over of %d; %d watches", b.Len(), y.began, y.over, len(all), y.watches)
		}
	})
}

// A query whose handling fails is aborted and forgotten, and one that is not in hand is left alone.
func TestCrashedQueriesAreAborted(t *testing.T) {
	y := &yard{answers: map[*exchange.Exchange]int{}}
	b := New(Ways[*run](y))
	b.Mind = decide.New(1000, limits(), &b.Slab)
	x := &exchange.Exchange{Deadline: 1900, Arrived: 1000, Back: y}
	b.Mind.Members(1000, fleet.ListFull, []fleet.Member{{ID: 0, Name: "s", State: fleet.Ready, Size: 1}})
	b.Take(1000, x)
	b.Crashed(1001, x, "a fault")
	b.Crashed(1002, x, "another")
	b.Ended(1003, x, 0, Ending{Result: fleet.Completed, Report: fleet.NewReport()})
	if a := x.Answered(); a == nil || a.Kind != exchange.Aborted || a.Why != "a fault" || b.Len() != 0 || y.answers[x] != 1 {
		t.Errorf("%+v, %d in hand", x.Answered(), b.Len())
	}
	if n := b.Tally.Answers; n[exchange.Aborted] != 1 {
		t.Errorf("counted %v", n)
	}
}
