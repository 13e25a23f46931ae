// Package audit judges the four rules from what clients and stand-in servers saw, never from what a node says of
// itself. It does no I/O.
package audit

import (
	"cmp"
	"fmt"
	"slices"

	"mintspring/model"
	"mintspring/standin"
)

// Kind is how a try ended for its client.
type Kind uint8

const (
	None      Kind = iota // no answer
	Completed             // with a value
	Rejected              // a retry is harmless
	Aborted               // nothing is promised
)

func (k Kind) String() string { return [...]string{"none", "completed", "rejected", "aborted"}[k] }

// Effect says what a workload allows.
type Effect uint8

const (
	Idempotent Effect = iota
	Deduplicated
	NonIdempotent
)

// Try is one query as its client saw it. Times are Unix ms.
type Try struct {
	ID       string
	Mark     string
	Effect   Effect
	Span     float64 // repeats of a mark are dropped for so long
	Node     model.NodeID
	Sent     float64 // its last byte was written
	Deadline float64
	Answered float64 // the last byte of its answer came
	Kind     Kind
	More     bool // a second answer came
	Foreign  bool // it was answered with a value of another key
}

// Down is a time in which a node did not run, or was being ended.
type Down struct {
	Node     model.NodeID
	From, To float64
}

// Fall is a server that was pushed over while it was cold, or an origin that was.
type Fall struct {
	Server string
	Origin bool
	Part   float64 // of a cache: sent by nodes that knew of its start; of the origin: misses at cold caches
}

// Evidence is all that is judged.
type Evidence struct {
	Tries      []Try
	Executions []*model.Execution
	Told       []standin.Told
	Down       []Down
	Falls      []Fall
	Crashes    []string
	Grace      float64 // for a server that drains or is gone
	Slack      float64 // for answers that come late, and for a machine that is
}

// Parts of a fall from which on nodes are to blame, as the platform has them.
const (
	ToldPart = 2.0 / 3
	MissPart = 0.3
)

// Breach is one rule broken.
type Breach struct {
	Rule int // 1 to 4; 0: a node that crashed
	What string
}

func (b Breach) String() string { return fmt.Sprintf("rule %d: %s", b.Rule, b.What) }

// Judge returns what was broken, in the order of the rules.
func Judge(e Evidence) []Breach {
	j := judge{Evidence: e, by: map[string][]*model.Execution{}}
	for _, x := range e.Executions {
		j.by[x.Query] = append(j.by[x.Query], x)
	}
	for _, c := range e.Crashes {
		j.add(0, "a node crashed: %s", c)
	}
	for _, t := range e.Tries {
		xs := j.by[t.ID]
		slices.SortStableFunc(xs, func(a, b *model.Execution) int { return cmp.Compare(a.First, b.First) })
		j.answered(t, xs)
		j.effects(t, xs)
	}
	j.drains()
	for _, f := range e.Falls {
		switch {
		case f.Origin && f.Part > MissPart:
			j.add(4, "the origin was pushed over, %.0f%% of what it was sent being misses at cold servers", 100*f.Part)
		case !f.Origin && f.Part >= ToldPart:
			j.add(4, "%s was pushed over while it was cold, %.0f%% by nodes that knew", f.Server, 100*f.Part)
		}
	}
	slices.SortStableFunc(j.found, func(a, b Breach) int { return cmp.Compare(a.Rule, b.Rule) })
	return j.found
}

type judge struct {
	Evidence
	by    map[string][]*model.Execution
	found []Breach
}

func (j *judge) add(rule int, format string, args ...any) {
	j.found = append(j.found, Breach{rule, fmt.Sprintf(format, args...)})
}

// excused tells whether the node of a try did not run all the while.
func (j *judge) excused(t Try) bool {
	for _, d := range j.Down {
		if d.Node == t.Node && d.From <= t.Deadline && d.To >= t.Sent-j.Slack {
			return true
		}
	}
	return false
}

// answered judges rule 1: one answer in time, and nothing sent after it.
func (j *judge) answered(t Try, xs []*model.Execution) {
	switch {
	case t.Foreign:
		j.add(1, "query %s was answered with a value of another key", t.ID)
	case t.More:
		j.add(1, "query %s was answered twice", t.ID)
	case t.Kind == None && !j.excused(t):
		j.add(1, "query %s was never answered", t.ID)
	case t.Kind != None && t.Answered > t.Deadline+j.Slack:
		j.add(1, "query %s was answered %.0f ms late", t.ID, t.Answered-t.Deadline)
	}
	end := t.Answered
	if t.Kind == None {
		end = t.Deadline
	}
	for _, x := range xs {
		if x.Node == t.Node && x.First > end+j.Slack {
			j.add(1, "query %s was sent %.0f ms after its answer", t.ID, x.First-end)
			return
		}
	}
}

// effects judges rule 2.
func (j *judge) effects(t Try, xs []*model.Execution) {
	if t.Effect == Idempotent {
		return
	}
	effects := 0
	for i, x := range xs {
		if x.Effect {
			effects++
		}
		for _, was := range xs[:i] {
			switch {
			case was.How.NeverRan() && was.Ended <= x.First:
			case t.Effect == NonIdempotent:
				j.add(2, "non-idempotent query %s was sent again though an execution may have run", t.ID)
				return
			case x.First > was.First+t.Span+j.Slack:
				j.add(2, "deduplicated query %s was sent again after its span", t.ID)
				return
			}
		}
		if t.Kind == Rejected && t.Effect == NonIdempotent && x.First <= t.Answered && !x.How.NeverRan() {
			j.add(2, "non-idempotent query %s was rejected though an execution may have run", t.ID)
			return
		}
	}
	if effects > 1 {
		j.add(2, "query %s had %d effects", t.ID, effects)
	}
}

// drains judges rule 3: nothing goes to a server after the grace, once a node was told of its drain or its end under
// every id that it is listed under.
func (j *judge) drains() {
	type who struct {
		node   model.NodeID
		server model.ServerID
	}
	told := map[who]map[string][]standin.Told{}
	for _, t := range j.Told {
		w := who{t.Node, t.Server}
		if told[w] == nil {
			told[w] = map[string][]standin.Told{}
		}
		told[w][t.Name] = append(told[w][t.Name], t)
	}
	said := map[who]bool{}
	for _, x := range j.Executions {
		w := who{x.Node, x.Server}
		allowed := len(told[w]) == 0
		for _, ts := range told[w] {
			allowed = allowed || j.open(ts, x.First)
		}
		if !allowed && !said[w] {
			said[w] = true
			j.add(3, "query %s went to server %d of node %d after the grace of its drain", x.Query, x.Server, x.Node)
		}
	}
}

// open tells whether a node could send at a time, by what it was told of one id of a server.
func (j *judge) open(ts []standin.Told, at float64) bool {
	open := true
	var since float64
	for _, t := range ts {
		if t.At > at {
			break
		}
		if is := t.Phase == standin.InService; is {
			open = true
		} else if open {
			open, since = false, t.At
		}
	}
	return open || at <= since+j.Grace+j.Slack
}

// Repeats counts effects beyond the first of each mark, also over the tries of a client. Those that come of a client's
// return after the span are no node's fault, and are counted all the same.
func Repeats(xs []*model.Execution) int {
	n := 0
	seen := map[string]bool{}
	for _, x := range xs {
		if !x.Effect {
			continue
		}
		mark := cmp.Or(x.Mark, x.Query)
		if seen[mark] {
			n++
		}
		seen[mark] = true
	}
	return n
}
