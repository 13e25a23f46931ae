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

// policyFault is the way in which a faulty policy breaks a rule.
type policyFault string

const (
	noPolicyFault      policyFault = "no fault"
	dropsRequests      policyFault = "drops requests"
	sendsAfterResponse policyFault = "sends after the answer"
)

// faultyPolicy wraps a policy and breaks a rule on purpose.
type faultyPolicy struct {
	inflight.Policy
	fault policyFault
}

// newCorrectPolicy returns a policy that breaks no rule.
func newCorrectPolicy(now float64, l fleet.Limits, slab *fleet.Slab) inflight.Policy {
	return decide.New(now, l, slab)
}

// Route implements inflight.Policy.
func (p *faultyPolicy) Route(now float64, q *fleet.Request) fleet.Decision {
	if q != nil && p.fault == dropsRequests && q.ID%5 == 0 {
		return fleet.Decision{}
	}
	return p.Policy.Route(now, q)
}

// AttemptDone implements inflight.Policy.
func (p *faultyPolicy) AttemptDone(now float64, q *fleet.Request, o fleet.Outcome) fleet.Decision {
	last := q.Attempts[o.Attempt].Server
	if p.fault == sendsAfterResponse && o.Result == fleet.Completed && !q.Closed && !q.Write && q.NumAttempts < 2 {
		p.Policy.AttemptDone(now, q, o)
		q.Attempts[q.NumAttempts] = fleet.Attempt{Server: last, SentAt: now, Cancelled: true} // marked as cancelled, or the node cancels it after the response
		q.NumAttempts++
		q.InFlight++
		return fleet.Decision{Action: fleet.Send, Server: last, Attempt: q.NumAttempts - 1, Timeout: 500}
	}
	return p.Policy.AttemptDone(now, q, o)
}

// coolingFleet is smallFleet with connections that are not reused for 30 ms after a response, which is longer than the checker's slack: what is
// sent after a response is sent noticeably later.
var coolingFleet = strings.Replace(smallFleet, "count = 3\n", "count = 3\nquantum = \"60ms\"\n", 1)

// The checker detects nodes that break a rule by observing clients and servers only, and reports nothing for a node that breaks none.
func TestFaultyPoliciesAreDetected(t *testing.T) {
	for fault, c := range map[policyFault]struct{ fleet, steps, want string }{
		noPolicyFault:      {smallFleet, stepTOML(1, "drain", "box = \"box-0\""), ""},
		dropsRequests:      {smallFleet, "", "rule 1"},
		sendsAfterResponse: {coolingFleet, stepTOML(1, "slow", "share = 1.0\nvalue = 20.0"), "rule 1"},
	} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			o := Options{Program: "faulty", NewPolicy: func(_ *Simulation, _ int, now float64, l fleet.Limits, slab *fleet.Slab) inflight.Policy {
				return &faultyPolicy{Policy: newCorrectPolicy(now, l, slab), fault: fault}
			}}
			r := runExperiment(t, parseExperiment(t, c.fleet+c.steps), o)
			found := fmt.Sprint(r.Violations)
			if c.want == "" && len(r.Violations) > 0 || !strings.Contains(found, c.want) {
				t.Errorf("violations %.300s, want %q", found, c.want)
			}
		})
	}
}

// The checker detects a node that sends requests to a server after a notification that the server drains. The test sends the notification
// to the checker only, so that the node keeps sending.
func TestSendingToDrainingServerIsDetected(t *testing.T) {
	sim, err := newSimulation(parseExperiment(t, smallFleet), Options{})
	if err != nil {
		t.Fatal(err)
	}
	sim.schedule(simTime(startupLead+2*time.Second), actionFunc(func() {
		for _, phase := range []string{servermodel.InService, servermodel.Terminating} {
			sim.checker.NodeNotified(fakes.Notification{AtMs: sim.nowMs(), Node: 1, Server: 2, Name: "box-2", Phase: phase})
		}
	}))
	if err := sim.run(context.Background()); err != nil {
		t.Fatal(err)
	}
	if violations := fmt.Sprint(sim.result.Violations); len(sim.result.Violations) != 1 || !strings.Contains(violations, "to server 2 of node 1") {
		t.Errorf("violations: %s", violations)
	}
}

// A lost event is detected, as the request that depends on it never ends.
func TestLostEventIsDetected(t *testing.T) {
	sim, err := newSimulation(parseExperiment(t, smallFleet), Options{})
	if err != nil {
		t.Fatal(err)
	}
	sim.clients.scheduleNextArrival()
	for sim.clients.openRequests < 3 {
		sim.fireNext()
	}
	for i := range sim.heap {
		if _, isTimeout := sim.heap[i].action.(*clientTimeout); isTimeout {
			sim.heap[i].action = actionFunc(func() {})
		}
		if _, isArrival := sim.heap[i].action.(*requestArrival); isArrival {
			sim.heap[i].action = actionFunc(func() {})
		}
	}
	if err := sim.run(context.Background()); err == nil || !strings.Contains(err.Error(), "have no end") {
		t.Errorf("the lost event was not detected: %v", err)
	}
}

// A policy for which something is always due ends the run with an error instead of blocking it.
func TestAlwaysDuePolicyEndsRun(t *testing.T) {
	o := Options{NewPolicy: func(_ *Simulation, _ int, now float64, l fleet.Limits, slab *fleet.Slab) inflight.Policy {
		return alwaysDuePolicy{newCorrectPolicy(now, l, slab)}
	}}
	if _, err := Run(context.Background(), parseExperiment(t, smallFleet), o); err == nil || !strings.Contains(err.Error(), "policy is still due after") {
		t.Errorf("%v", err)
	}
}

// alwaysDuePolicy is a policy for which something is always due.
type alwaysDuePolicy struct{ inflight.Policy }

// NextDue implements inflight.Policy.
func (alwaysDuePolicy) NextDue(float64) (fleet.Ref, float64) { return fleet.NoRequest, 0 }
