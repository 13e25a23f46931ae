package invariants

import (
	"cmp"
	"fmt"
	"slices"

	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/servermodel"
)

// Checker checks the rules while a run goes on, for runs of which not everything can be kept. What it handles has to come in the
// order of its times, but for attempts, each of which is checked once it has ended. It must not be used from several goroutines.
type Checker struct {
	WrongKeyResponses []WrongKeyResponse

	drainGrace, slack float64
	notifications     map[nodeServer]map[string][]fakes.Notification // by the id under which a server was listed
	reportedDrains    map[nodeServer]bool                            // a violation was reported already
	downtimes         []Downtime
	crowds            []ConnectionFlood
	operations        Operations
	violations        []Violation
	seen              map[Violation]bool
}

// nodeServer is one server as one node sees it.
type nodeServer struct {
	node   servermodel.NodeID
	server servermodel.ServerID
}

// NewChecker returns a checker that has seen nothing yet. drainGrace is how long requests may be sent to a server that drains, slack
// is added to every limit; both are in ms.
func NewChecker(drainGrace, slack float64) *Checker {
	return &Checker{
		drainGrace: drainGrace, slack: slack, notifications: map[nodeServer]map[string][]fakes.Notification{},
		reportedDrains: map[nodeServer]bool{}, seen: map[Violation]bool{},
	}
}

// report records a violation. It returns false for one that was recorded before: an attempt is checked again when more of its
// executions have come.
func (c *Checker) report(rule int, format string, args ...any) (isNew bool) {
	v := Violation{rule, fmt.Sprintf(format, args...)}
	if c.seen[v] {
		return false
	}
	c.seen[v] = true
	c.violations = append(c.violations, v)
	return true
}

// Violations returns those found so far, in the order of the rules.
func (c *Checker) Violations() []Violation {
	out := slices.Clone(c.violations)
	slices.SortStableFunc(out, func(a, b Violation) int { return cmp.Compare(a.Rule, b.Rule) })
	return out
}

// NodeCrashed records that a node crashed.
func (c *Checker) NodeCrashed(description string) {
	c.report(ruleCrash, "a node crashed: %s", description)
}

// NodeDown records when a node did not run.
func (c *Checker) NodeDown(d Downtime) { c.downtimes = append(c.downtimes, d) }

// NodeUp ends the last downtime of a node.
func (c *Checker) NodeUp(node servermodel.NodeID, at float64) {
	for i := range slices.Backward(c.downtimes) {
		if c.downtimes[i].Node == node {
			c.downtimes[i].To = at
			return
		}
	}
}

// ServerCollapsed checks rule 4.
func (c *Checker) ServerCollapsed(collapse Collapse) {
	percent := 100 * collapse.AvoidableShare
	switch {
	case collapse.Origin && collapse.AvoidableShare > coldMissShareLimit:
		c.report(ruleOverload, "the origin collapsed, %.0f%% of its load being misses of caches that were warming up", percent)
	case !collapse.Origin && collapse.AvoidableShare >= notifiedShareLimit:
		c.report(ruleOverload, "%s collapsed while it was warming up, %.0f%% of its load being of nodes that knew so", collapse.Server, percent)
	}
}

// AttemptEnded checks rules 1 and 2 for an attempt that has ended, with all the executions that it had so far.
func (c *Checker) AttemptEnded(attempt ClientAttempt, executions []*servermodel.Execution) {
	slices.SortStableFunc(executions, func(a, b *servermodel.Execution) int { return cmp.Compare(a.FirstByte, b.FirstByte) })
	if attempt.BecomesStricter && c.operations.isStricter(attempt.Node, attempt.Sent) {
		attempt.Semantics = NonIdempotent
	}
	c.checkResponse(&attempt, executions)
	c.checkTold(&attempt, executions)
	c.checkSentAfterAnswer(&attempt, executions)
	c.checkEffects(&attempt, executions)
}

// wasDown reports whether the node of an attempt did not run all the while, until the attempt had to have its response.
func (c *Checker) wasDown(attempt *ClientAttempt) bool {
	return slices.ContainsFunc(c.downtimes, func(d Downtime) bool {
		if d.Node != attempt.Node || d.From > attempt.Deadline+attempt.ExtraSlack || d.To < attempt.Sent-c.slack {
			return false
		}
		return !d.Stopped // what a node had taken before it ended, it owed
	})
}

// crossedEnd reports whether an attempt crossed the end of its connection, so that its client sends it again on another one.
func (c *Checker) crossedEnd(attempt *ClientAttempt) bool {
	if !attempt.ResentAfterConnEnd && !c.wasStopping(attempt.Node, attempt.ConnEndedAt) {
		return false
	}
	if attempt.NewConnClosedCleanly && !c.wasStopping(attempt.Node, attempt.ConnEndedAt) && !c.wasCrowded(attempt.Node, attempt.ConnEndedAt) {
		return false
	}
	return attempt.ConnEndedAt > 0 && attempt.ConnEndedAt-attempt.Sent <= crossingLimit+c.slack
}

// wasStopping reports whether a node had been told to end at a time, and was not back.
func (c *Checker) wasStopping(node servermodel.NodeID, at float64) bool {
	return slices.ContainsFunc(c.downtimes, func(d Downtime) bool {
		return d.Node == node && d.Stopped && d.StopAt <= at && at <= d.To
	})
}

// wasCrowded reports whether silent clients took the descriptors of a node at a time.
func (c *Checker) wasCrowded(node servermodel.NodeID, at float64) bool {
	return slices.ContainsFunc(c.crowds, func(d ConnectionFlood) bool { return d.Node == node && d.From <= at && at <= d.To })
}

// endOfConnection says how the connection of an attempt without a response ended.
func (a *ClientAttempt) endOfConnection() string {
	if a.ConnEndedAt == 0 {
		return fmt.Sprintf(": sent to node %d at %.0f, deadline after %.0f ms", a.Node, a.Sent, a.Deadline-a.Sent)
	}
	return fmt.Sprintf(": node %d ended its connection %.0f ms after it was sent at %.0f, %.0f ms before its deadline (%s), new and in order: %v",
		a.Node, a.ConnEndedAt-a.Sent, a.Sent, a.Deadline-a.ConnEndedAt, a.ConnEndReason, a.NewConnClosedCleanly)
}

// checkTold checks that no server was told that there is more time than the client has left. A process that was frozen reads what came
// meanwhile when it goes on, and does not know when that was sent.
func (c *Checker) checkTold(attempt *ClientAttempt, executions []*servermodel.Execution) {
	if c.wasDown(attempt) {
		return
	}
	for _, x := range executions {
		if x.Node == attempt.Node && x.Deadline > 0 && x.Deadline > attempt.Deadline+toldLimit+c.slack {
			c.report(ruleAnswer, "request %s was sent with %.0f ms more than its client had left: to node %d at %.0f, by that one to a server %.0f ms later",
				attempt.ID, x.Deadline-attempt.Deadline, attempt.Node, attempt.Sent, x.FirstByte-attempt.Sent)
			return
		}
	}
}

// checkResponse checks the first half of rule 1: one right response in time.
func (c *Checker) checkResponse(attempt *ClientAttempt, executions []*servermodel.Execution) {
	lateness := attempt.AnsweredAt - attempt.Deadline
	switch {
	case attempt.WrongKey:
		if c.report(ruleAnswer, "request %s was answered with a value of another key", attempt.ID) {
			c.recordWrongKey(attempt, executions)
		}
	case attempt.DuplicateResponse:
		c.report(ruleAnswer, "request %s was answered twice", attempt.ID)
	case attempt.Outcome != Unanswered && c.operations.onStandby(attempt.Node, attempt.Sent-c.slack):
		c.report(ruleAnswer, "request %s was answered by node %d, which has been on standby for longer than its limit", attempt.ID, attempt.Node)
	case attempt.ClientClosedAt > 0:
	case attempt.Outcome == Unanswered && c.crossedEnd(attempt):
	case attempt.Outcome == Unanswered && !c.wasDown(attempt):
		c.report(ruleAnswer, "request %s was never answered%s", attempt.ID, attempt.endOfConnection())
	case attempt.Outcome != Unanswered && lateness > c.slack+attempt.ExtraSlack && !c.wasDown(attempt):
		c.report(ruleAnswer, "request %s was answered %.0f ms late", attempt.ID, lateness)
	}
}

// recordWrongKey records a response with a wrong value, with the last execution before it.
func (c *Checker) recordWrongKey(attempt *ClientAttempt, executions []*servermodel.Execution) {
	for _, x := range slices.Backward(executions) {
		if x.Node == attempt.Node && x.FirstByte <= attempt.AnsweredAt {
			c.WrongKeyResponses = append(c.WrongKeyResponses, WrongKeyResponse{x.FirstByte, x.Node, x.Server})
			return
		}
	}
}

// checkSentAfterAnswer checks the second half of rule 1: nothing is sent to servers after the response.
func (c *Checker) checkSentAfterAnswer(attempt *ClientAttempt, executions []*servermodel.Execution) {
	end := attempt.AnsweredAt
	if attempt.Outcome == Unanswered {
		if c.wasDown(attempt) {
			return // a process that stood still reads what came meanwhile when it goes on, and does not know when that was sent
		}
		end = attempt.Deadline
		if attempt.ClientClosedAt > 0 {
			end = min(end, attempt.ClientClosedAt+departureLimit)
		}
	}
	for _, x := range executions {
		if x.Node == attempt.Node && x.FirstByte > end+c.slack {
			c.report(ruleAnswer, "request %s was sent to a server %.0f ms after its response", attempt.ID, x.FirstByte-end)
			return
		}
	}
}

// checkEffects checks rule 2.
func (c *Checker) checkEffects(attempt *ClientAttempt, executions []*servermodel.Execution) {
	if attempt.Semantics == Idempotent {
		return
	}
	effects := 0
	for i, x := range executions {
		if x.Applied {
			effects++
		}
		for _, earlier := range executions[:i] {
			if !c.mayFollow(attempt, earlier, x) {
				return
			}
		}
		if attempt.Outcome == Rejected && attempt.Semantics == NonIdempotent && x.FirstByte <= attempt.AnsweredAt && !x.Outcome.NeverRan() {
			c.report(ruleEffects, "non-idempotent request %s was rejected though an execution may have run", attempt.ID)
			return
		}
	}
	if effects > 1 {
		c.report(ruleEffects, "request %s had %d effects", attempt.ID, effects)
	}
}

// mayFollow reports whether an execution may be sent after an earlier one of the same attempt, and reports a violation if not.
func (c *Checker) mayFollow(attempt *ClientAttempt, earlier, x *servermodel.Execution) bool {
	switch {
	case earlier.Outcome.NeverRan() && earlier.EndedAt <= x.FirstByte:
	case attempt.Semantics == NonIdempotent:
		c.report(ruleEffects, "non-idempotent request %s was sent again though an execution may have run", attempt.ID)
		return false
	case x.FirstByte > earlier.FirstByte+attempt.DedupWindow+c.slack:
		c.report(ruleEffects, "deduplicated request %s was sent again after its deduplication window", attempt.ID)
		return false
	}
	return true
}

// NodeNotified records a notification of a node by discovery about a server.
func (c *Checker) NodeNotified(n fakes.Notification) {
	key := nodeServer{n.Node, n.Server}
	if c.notifications[key] == nil {
		c.notifications[key] = map[string][]fakes.Notification{}
	}
	c.notifications[key][n.Name] = append(c.notifications[key][n.Name], n)
}

// ExecutionArrived checks rule 3: nothing is sent to a server after the grace, once its node was notified of its drain or its end
// under every id that it is listed under.
func (c *Checker) ExecutionArrived(x *servermodel.Execution) {
	if id, ok := c.operations.excludedID(x.Node, x.Server, x.FirstByte, c.drainGrace+c.slack); ok && !c.hasOtherID(x, id) {
		c.report(ruleDrain, "request %s was sent to server %d, which node %d has to leave out", x.RequestID, x.Server, x.Node)
	}
	if c.operations.inTakeover(x.Node, x.FirstByte) {
		return
	}
	key := nodeServer{x.Node, x.Server}
	allowed := len(c.notifications[key]) == 0
	for _, notifications := range c.notifications[key] {
		allowed = allowed || c.mayReceive(notifications, x.FirstByte)
	}
	if !allowed && !c.reportedDrains[key] {
		c.reportedDrains[key] = true
		c.report(ruleDrain, "request %s was sent to server %d of node %d after the grace of its drain", x.RequestID, x.Server, x.Node)
	}
}

// hasOtherID reports whether the node of an execution has been notified of its server under another id than one.
func (c *Checker) hasOtherID(x *servermodel.Execution, id string) bool {
	for name, notifications := range c.notifications[nodeServer{x.Node, x.Server}] {
		if name != id && slices.ContainsFunc(notifications, func(n fakes.Notification) bool { return n.AtMs <= x.FirstByte && n.Phase == fakes.InService }) {
			return true
		}
	}
	return false
}

// mayReceive reports whether a node may send to a server at a time, by its notifications of one id of the server.
func (c *Checker) mayReceive(notifications []fakes.Notification, at float64) bool {
	inService := true
	var drainedAt float64
	for _, n := range notifications {
		if n.AtMs > at {
			break
		}
		if n.Phase == fakes.InService {
			inService = true
		} else if inService {
			inService, drainedAt = false, n.AtMs
		}
	}
	return inService || at <= drainedAt+c.drainGrace+c.slack
}
