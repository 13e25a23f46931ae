package leases

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"mintspring/peers/lease"
)

// needed leaves out calls without an answer that no order of the rest can need, so that the checker comes to an end: each of them may
// take effect at any moment from its beginning on, and a long partition leaves dozens. What is left has an order exactly if all had one.
//
// Renewing and giving up change nothing that could be seen: the lease may be freed at any moment anyhow. An ask is needed for a grant that no
// answered call can have made. Tokens rise by one with each grant and are told in every answer, so that these are known: of a token that
// was reached, no answered ask of its holder began before the first answer of all with this token or a later one had come. There are at most
// so many asks without an answer as such tokens of their process, and of those whose holder nobody saw; and of two by one process the
// earlier can stand for the later.
func needed(calls []Call) []Call {
	type epoch struct {
		holder lease.Who
		known  bool
		first  int64 // when the first answer with this token or a later one had come
		began  int64 // when the first answered ask that was granted under it began
	}
	top := lease.Token(0)
	for _, c := range calls {
		if c.To > 0 {
			top = max(top, c.Result.Token)
		}
	}
	epochs := make([]epoch, top+1)
	for t := range epochs {
		epochs[t].first, epochs[t].began = math.MaxInt64, math.MaxInt64
	}
	for _, c := range calls {
		if c.To == 0 {
			continue
		}
		e := &epochs[c.Result.Token]
		e.first = min(e.first, c.To)
		if c.Result.Held {
			e.holder, e.known = c.Result.Holder, true
		}
		if c.Cmd.Kind == lease.Ask && c.Result.OK {
			e.began = min(e.began, c.From)
		}
	}
	hidden, anyone := map[lease.Who]int{}, 0
	for t, first := int(top), int64(math.MaxInt64); t > 0; t-- {
		e := &epochs[t]
		first = min(first, e.first)
		switch {
		case e.began <= first:
		case e.known:
			hidden[e.holder]++
		default:
			anyone++
		}
	}
	var kept, open []Call
	for _, c := range calls {
		switch {
		case c.To > 0:
			kept = append(kept, c)
		case c.Cmd.Kind == lease.Ask:
			open = append(open, c)
		case c.Cmd.Kind != lease.Renew && c.Cmd.Kind != lease.GiveUp:
			kept = append(kept, c)
		}
	}
	slices.SortStableFunc(open, func(a, b Call) int { return cmp.Compare(a.From, b.From) })
	used := map[lease.Who]int{}
	for _, c := range open {
		if who := c.Cmd.Who; used[who] < hidden[who]+anyone {
			used[who]++
			kept = append(kept, c)
		}
	}
	return kept
}

// held is the lease as the checker has it. Only one is used, so that a grant's token is the next.
type held struct {
	Held  bool
	Who   lease.Who
	Token lease.Token
}

// check judges a history, without searching for an order where two answers contradict each other, and with the needed calls only.
func check(calls []Call, patience time.Duration) porcupine.CheckResult {
	if contradict(calls) {
		return porcupine.Illegal
	}
	return search(needed(calls), patience)
}

// contradict tells whether no order can be found, by a look at the answers alone. A lease goes one way: held under a token, free after it, held
// under the next. An answer that came before another was asked for can't be further on that way, and under one token there is one
// holder. Search finds the same, after all orders were tried.
func contradict(calls []Call) bool {
	stage := func(c Call) lease.Token {
		if c.Result.Held {
			return 2 * c.Result.Token
		}
		return 2*c.Result.Token + 1
	}
	holders := map[lease.Token]lease.Who{}
	var begun, ended []Call
	for _, c := range calls {
		if c.To == 0 {
			continue
		}
		if c.Result.Held {
			if who, known := holders[c.Result.Token]; known && who != c.Result.Holder {
				return true
			}
			holders[c.Result.Token] = c.Result.Holder
		}
		begun, ended = append(begun, c), append(ended, c)
	}
	slices.SortFunc(begun, func(a, b Call) int { return cmp.Compare(a.From, b.From) })
	slices.SortFunc(ended, func(a, b Call) int { return cmp.Compare(a.To, b.To) })
	i, furthest := 0, lease.Token(0)
	for _, c := range begun {
		for ; i < len(ended) && ended[i].To < c.From; i++ {
			furthest = max(furthest, stage(ended[i]))
		}
		if stage(c) < furthest {
			return true
		}
	}
	return false
}

// search looks for an order of a history: each call takes effect at one moment between its beginning and its end, one that has no answer at any moment from
// its beginning on or never, and the council may free the lease whenever it likes.
func search(calls []Call, patience time.Duration) porcupine.CheckResult {
	var ops []porcupine.Operation
	for i, c := range calls {
		end := c.To
		if end == 0 {
			end = math.MaxInt64
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: c, Call: c.From, Output: c.Result, Return: end})
	}
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{held{}} },
		Step: func(state, input, output any) (next []any) {
			c, out := input.(Call), output.(lease.Result)
			from := []held{state.(held)}
			if s := state.(held); s.Held { // it may have been freed before
				s.Held, s.Who = false, lease.Who{}
				from = append(from, s)
			}
			for _, s := range from {
				for _, to := range effects(s, c.Cmd) {
					ok := to.ok
					if c.To == 0 || out.OK == ok && out.Token == to.s.Token && out.Held == to.s.Held && (!out.Held || out.Holder == to.s.Who) {
						if !slices.Contains(next, any(to.s)) {
							next = append(next, to.s)
						}
					}
				}
			}
			if c.To == 0 && !slices.Contains(next, state) {
				next = append(next, state)
			}
			return next
		},
		Equal: func(a, b any) bool { return a == b },
	}
	result := porcupine.CheckOperationsTimeout(m.ToModel(), ops, patience)
	return result
}

// effect is one that a command may have.
type effect struct {
	s  held
	ok bool
}

// effects are those of a command in a state; an ask may be granted or have to wait in line.
func effects(s held, c lease.Command) []effect {
	mine := s.Held && s.Who == c.Who && s.Token == c.Token
	switch c.Kind {
	case lease.Ask:
		switch {
		case s.Held && s.Who == c.Who:
			return []effect{{s, true}}
		case s.Held:
			return []effect{{s, false}}
		}
		return []effect{{held{true, c.Who, s.Token + 1}, true}, {s, false}}
	case lease.Renew:
		return []effect{{s, mine}}
	case lease.GiveUp:
		if mine {
			return []effect{{held{Token: s.Token}, true}}
		}
	}
	return []effect{{s, false}}
}
