package simulator

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"mintspring/decide"
	"mintspring/internal/fleet"
	"mintspring/internal/node/inflight"
	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/servermodel"
)

// policyFault is the rule that a faulty policy breaks.
type policyFault string

const (
	noPolicyFault   policyFault = "no fault"
	dropsRequests   policyFault = "drops requests"
	sendsAfterwards policyFault = "sends after the answer"
)

// faultyPolicy is a policy that breaks a rule on purpose.
type faultyPolicy struct {
	inflight.Policy
	fault policyFault
}

// newSoundPolicy returns the policy that breaks no rule.
func newSoundPolicy(now float64, l fleet.Limits, slab *fleet.Slab) inflight.Policy {
	return decide.New(now, l, slab)
}

// Where implements inflight.Policy.
func (p *faultyPolicy) Route(now float64, q *fleet.Request) fleet.Decision {
	if q != nil && p.fault == dropsRequests && q.ID%5 == 0 {
		return fleet.Decision{}
	}
	return p.Policy.Route(now, q)
}

// After implements inflight.Policy.
func (p *faultyPolicy) AttemptDone(now float64, q *fleet.Request, o fleet.Outcome) fleet.Decision {
	last := q.Attempts[o.Attempt].Server
	if p.fault == sendsAfterwards && o.Result == fleet.Completed && !q.Closed && !q.Write && q.NumAttempts < 2 {
		p.Policy.AttemptDone(now, q, o)
		q.Attempts[q.NumAttempts] = fleet.Attempt{Server: last, SentAt: now, Cancelled: true} // else it is cancelled: the request is answered
		q.NumAttempts++
		q.InFlight++
		return fleet.Decision{Action: fleet.Send, Server: last, Attempt: q.NumAttempts - 1, Timeout: 500}
	}
	return p.Policy.AttemptDone(now, q, o)
}

// A node that breaks a rule is found from outside, and one that does the same without breaking it is not.
func TestFaultyPoliciesAreFound(t *testing.T) {
	for fault, c := range map[policyFault]struct{ steps, want string }{
		noPolicyFault:   {step(1, "drain", "box = \"box-0\""), ""},
		dropsRequests:   {"", "rule 1"},
		sendsAfterwards: {step(1, "slow", "share = 1.0\nvalue = 20.0"), "rule 1"},
	} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			o := Options{Program: "faulty", NewPolicy: func(_ *Simulation, _ int, now float64, l fleet.Limits, slab *fleet.Slab) inflight.Policy {
				return &faultyPolicy{Policy: newSoundPolicy(now, l, slab), fault: fault}
			}}
			r := play(t, parse(t, small+c.steps), o)
			found := fmt.Sprint(r.Violations)
			if c.want == "" && len(r.Violations) > 0 || !strings.Contains(found, c.want) {
				t.Errorf("found %.300s, want %q", found, c.want)
			}
		})
	}
}

// A node that goes on to a server of whose drain it was notified is found: here only the checker is notified.
func TestSendingPastADrainIsFound(t *testing.T) {
	sim, err := newSimulation(parse(t, small), Options{})
	if err != nil {
		t.Fatal(err)
	}
	sim.schedule(simTime(startupLead+2*time.Second), actionFunc(func() {
		for _, phase := range []string{servermodel.InService, servermodel.Terminating} {
			sim.checker.NodeNotified(fakes.Notification{AtMs: sim.nowMs(), Node: 1, Server: 2, Name: "box-2", Phase: phase})
		}
	}))
	if err := sim.play(context.Background()); err != nil {
		t.Fatal(err)
	}
	if found := fmt.Sprint(sim.result.Violations); len(sim.result.Violations) != 1 || !strings.Contains(found, "to server 2 of node 1") {
		t.Errorf("found %s", found)
	}
}

// An event that is lost is noticed: the request that depends on it does not end.
func TestLostEventIsNoticed(t *testing.T) {
	sim, err := newSimulation(parse(t, small), Options{})
	if err != nil {
		t.Fatal(err)
	}
	sim.clients.scheduleNext()
	for sim.clients.openRequests < 3 {
		sim.fireNext()
	}
	for i := range sim.heap {
		if _, matches := sim.heap[i].action.(*clientTimeout); matches {
			sim.heap[i].action = actionFunc(func() {})
		}
		if _, matches := sim.heap[i].action.(*requestArrival); matches {
			sim.heap[i].action = actionFunc(func() {})
		}
	}
	if err := sim.play(context.Background()); err == nil || !strings.Contains(err.Error(), "have no end") {
		t.Errorf("the lost event was not noticed: %v", err)
	}
}

// A policy that is always due ends the run instead of blocking it.
func TestRestlessPolicyIsNoticed(t *testing.T) {
	o := Options{NewPolicy: func(_ *Simulation, _ int, now float64, l fleet.Limits, slab *fleet.Slab) inflight.Policy {
		return restlessPolicy{newSoundPolicy(now, l, slab)}
	}}
	if _, err := Run(context.Background(), parse(t, small), o); err == nil || !strings.Contains(err.Error(), "does not come to rest") {
		t.Errorf("%v", err)
	}
}

// restlessPolicy is a policy for which something is always due.
type restlessPolicy struct{ inflight.Policy }

// Wait implements inflight.Policy.
func (restlessPolicy) NextDue(float64) (fleet.Ref, float64) { return fleet.NoRequest, 0 }
