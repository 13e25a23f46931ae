package invariants

import (
	"cmp"
	"fmt"
	"slices"

	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/servermodel"
)

// Checker checks the rules during a run, for runs whose records are too large to keep. Events must be passed in order of time, except
// for attempts, which are checked once they have ended. It is not safe for concurrent use.
type Checker struct {
	WrongKeyResponses []WrongKeyResponse

	drainGrace, slack float64
	notifications     map[nodeServer]map[string][]fakes.Notification // by the id under which the server was listed
	reportedDrains    map[nodeServer]bool                            // pairs with a reported violation of rule 3
	downtimes         []Downtime
	connectionFloods  []ConnectionFlood
	operations        Operations
	acceptFails       bool // as Evidence.AcceptFails
	violations        []Violation
	crossings         []string
	reported          map[Violation]bool
}

// nodeServer identifies a pair of a node and a server that the node sends to.
type nodeServer struct {
	node   servermodel.NodeID
	server servermodel.ServerID
}

// NewChecker returns an empty checker. drainGrace is how long requests may be sent to a draining server, and slack is added to every
// limit; both are in ms.
func NewChecker(drainGrace, slack float64) *Checker {
	return &Checker{
		drainGrace: drainGrace, slack: slack, notifications: map[nodeServer]map[string][]fakes.Notification{},
		reportedDrains: map[nodeServer]bool{}, reported: map[Violation]bool{},
	}
}

// report records a violation. It returns false for a duplicate, which occurs because an attempt is checked again after more of its
// executions arrive.
func (c *Checker) report(rule int, format string, args ...any) (isNew bool) {
	v := Violation{rule, fmt.Sprintf(format, args...)}
	if c.reported[v] {
		return false
	}
	c.reported[v] = true
	c.violations = append(c.violations, v)
	return true
}

// Violations returns the violations found so far, ordered by rule.
func (c *Checker) Violations() []Violation {
	out := slices.Clone(c.violations)
	slices.SortStableFunc(out, func(a, b Violation) int { return cmp.Compare(a.Rule, b.Rule) })
	return out
}

// NodeCrashed records that a node crashed.
func (c *Checker) NodeCrashed(description string) {
	c.report(ruleCrash, "a node crashed: %s", description)
}

// NodeDown records a time in which a node was down.
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

// ServerCollapsed checks rule 4 for a collapse.
func (c *Checker) ServerCollapsed(collapse Collapse) {
	percent := 100 * collapse.AvoidableShare
	switch {
	case collapse.Origin && collapse.AvoidableShare > coldMissShareLimit:
		c.report(ruleOverload, "the origin collapsed, %.0f%% of its load being misses of caches that were warming up", percent)
	case !collapse.Origin && collapse.AvoidableShare >= notifiedShareLimit:
		c.report(ruleOverload, "%s collapsed while it was warming up, %.0f%% of its load being from nodes that had been notified of its start", collapse.Server, percent)
	}
}

// AttemptEnded checks rules 1 and 2 for an attempt that has ended. executions are all of its executions so far.
func (c *Checker) AttemptEnded(attempt ClientAttempt, executions []*servermodel.Execution) {
	slices.SortStableFunc(executions, func(a, b *servermodel.Execution) int { return cmp.Compare(a.FirstByte, b.FirstByte) })
	if attempt.BecomesStricter && c.operations.hasStricterSettings(attempt.Node, attempt.Sent) {
		attempt.Semantics = NonIdempotent
	}
	c.checkResponse(&attempt, executions)
	c.checkCutOff(&attempt, executions)
	c.checkForwardedDeadline(&attempt, executions)
	c.checkSentAfterAnswer(&attempt, executions)
	c.checkEffects(&attempt, executions)
}

// wasDown reports whether the node of an attempt was down at any time between the request and its deadline. Graceful stops do not count.
func (c *Checker) wasDown(attempt *ClientAttempt) bool {
	return slices.ContainsFunc(c.downtimes, func(d Downtime) bool {
		if d.Node != attempt.Node || d.From > attempt.Deadline+attempt.ExtraSlack || d.To < attempt.Sent-c.slack {
			return false
		}
		return !d.Stopped // a stopping node still has to answer the requests that it has read
	})
}

// crossedConnEnd reports whether a request and the node's close of its connection crossed on the way, so that the node never read the
// request and its client may resend it on another connection.
func (c *Checker) crossedConnEnd(attempt *ClientAttempt) bool {
	if !attempt.ResentAfterConnEnd && !c.wasStopping(attempt.Node, attempt.ConnEndedAt) {
		return false
	}
	if attempt.NewConnClosedCleanly && !c.wasStopping(attempt.Node, attempt.ConnEndedAt) && !c.hadConnectionFlood(attempt.Node, attempt.ConnEndedAt) {
		return false
	}
	return attempt.ConnEndedAt > 0 && attempt.ConnEndedAt-attempt.Sent <= connEndRaceLimit+c.slack
}

// wasStopping reports whether a node was between the request for a graceful stop and its next start at a time.
func (c *Checker) wasStopping(node servermodel.NodeID, at float64) bool {
	return slices.ContainsFunc(c.downtimes, func(d Downtime) bool {
		return d.Node == node && d.Stopped && d.StopRequestedAt <= at && at <= d.To
	})
}

// hadConnectionFlood reports whether a connection flood exhausted the descriptors of a node at a time.
func (c *Checker) hadConnectionFlood(node servermodel.NodeID, at float64) bool {
	return slices.ContainsFunc(c.connectionFloods, func(d ConnectionFlood) bool { return d.Node == node && d.From <= at && at <= d.To })
}

// describeConnEnd describes for a violation how the connection of an unanswered attempt ended.
func (a *ClientAttempt) describeConnEnd() string {
	if a.ConnEndedAt == 0 {
		return fmt.Sprintf(": sent to node %d at %.0f, deadline after %.0f ms", a.Node, a.Sent, a.Deadline-a.Sent)
	}
	return fmt.Sprintf(": node %d ended its connection %.0f ms after it was sent at %.0f, %.0f ms before its deadline (%s), new and closed without reset: %v",
		a.Node, a.ConnEndedAt-a.Sent, a.Sent, a.Deadline-a.ConnEndedAt, a.ConnEndReason, a.NewConnClosedCleanly)
}

// checkForwardedDeadline checks that the deadlines which a node forwards to servers do not exceed the client's. "The time for which one has to wait
// for those before it does not count" (the operators' page of the protocol, "Figures"). Nodes that were down are
// exempt: a process resumed from a pause reads the requests that arrived meanwhile and cannot know when they were sent.
func (c *Checker) checkForwardedDeadline(attempt *ClientAttempt, executions []*servermodel.Execution) {
	if c.wasDown(attempt) {
		return
	}
	for _, x := range executions {
		if x.Node == attempt.Node && x.Deadline > 0 && x.Deadline > attempt.Deadline+attempt.BlockedFor+deadlineExcessLimit+c.slack {
			c.report(ruleAnswer, "request %s was sent with %.0f ms more than its client had left%s", attempt.ID, x.Deadline-attempt.Deadline, attempt.describeEnd(x))
			return
		}
	}
}

// checkResponse checks the first part of rule 1: an attempt has exactly one response, in time and with the right value.
func (c *Checker) checkResponse(attempt *ClientAttempt, executions []*servermodel.Execution) {
	lateness := attempt.AnsweredAt - attempt.Deadline
	switch {
	case attempt.WrongKey:
		if c.report(ruleAnswer, "request %s was answered with a value of another key%s", attempt.ID, attempt.describeWrongValue()) {
			c.recordWrongKey(attempt, executions)
		}
	case attempt.DuplicateResponse:
		c.report(ruleAnswer, "request %s was answered twice", attempt.ID)
	case attempt.Outcome != Unanswered && c.operations.onStandby(attempt.Node, attempt.Sent-c.slack):
		c.report(ruleAnswer, "request %s was answered by node %d, which has been on standby for longer than its limit", attempt.ID, attempt.Node)
	case attempt.ClientClosedAt > 0:
	case attempt.Outcome == Unanswered && c.crossedConnEnd(attempt):
		c.recordCrossing(attempt)
	case attempt.Outcome == Unanswered && !c.wasDown(attempt):
		c.report(ruleAnswer, "request %s was never answered%s", attempt.ID, attempt.describeConnEnd())
	case attempt.Outcome != Unanswered && lateness > c.slack+attempt.ExtraSlack && !c.wasDown(attempt):
		c.report(ruleAnswer, "request %s was answered %.0f ms late", attempt.ID, lateness)
	}
}

// checkCutOff checks the third part of rule 1: a request is not refused if the node closed the connection of a server that paused within its response
// and was to go on well before the deadline ("cutting off what the cache server still gives ... loses the request", the operators' page
// of daily operation, "Less room"). Requests sent to a node that was stopping may have to end sooner.
func (c *Checker) checkCutOff(attempt *ClientAttempt, executions []*servermodel.Execution) {
	refused := attempt.Outcome == Rejected || attempt.Outcome == Aborted
	if !refused || attempt.ValueBrokeOff || attempt.ClientClosedAt > 0 || c.wasDown(attempt) || c.wasStopping(attempt.Node, attempt.Sent) {
		return
	}
	for _, x := range executions {
		deadline := attempt.Deadline
		if c.acceptFails && x.Deadline > 0 { // the node counts the time from when the connection may have begun to wait
			deadline = min(deadline, x.Deadline)
		}
		if left := deadline - x.ContinuesAt; x.Node == attempt.Node && x.CutOffAt > 0 && left >= minTransferTime+c.slack {
			c.report(ruleAnswer, "request %s was %v after %.0f ms, though server %d, cut off after %.0f ms, was to go on with its response after %.0f ms, %.0f ms before the deadline: sent to node %d at %.0f",
				attempt.ID, attempt.Outcome, attempt.AnsweredAt-attempt.Sent, x.Server, x.CutOffAt-attempt.Sent, x.ContinuesAt-attempt.Sent, left, attempt.Node, attempt.Sent)
			return
		}
	}
}

// recordCrossing records an attempt that crossed the end of its connection and was not sent again on another one, which no rule forbids.
func (c *Checker) recordCrossing(attempt *ClientAttempt) {
	text := fmt.Sprintf("request %s crossed the end of its connection%s", attempt.ID, attempt.describeConnEnd())
	if !attempt.ResentAfterConnEnd && !slices.Contains(c.crossings, text) {
		c.crossings = append(c.crossings, text)
	}
}

// Crossings describes the attempts that crossed the end of their connection and were not sent again on another one.
func (c *Checker) Crossings() []string { return c.crossings }

// recordWrongKey records a response with the value of another key, and the last execution before it.
func (c *Checker) recordWrongKey(attempt *ClientAttempt, executions []*servermodel.Execution) {
	for _, x := range slices.Backward(executions) {
		if x.Node == attempt.Node && x.FirstByte <= attempt.AnsweredAt {
			c.WrongKeyResponses = append(c.WrongKeyResponses, WrongKeyResponse{x.FirstByte, x.Node, x.Server})
			return
		}
	}
}

// checkSentAfterAnswer checks the second part of rule 1: a node sends nothing to servers after the response.
func (c *Checker) checkSentAfterAnswer(attempt *ClientAttempt, executions []*servermodel.Execution) {
	end := attempt.AnsweredAt
	if attempt.Outcome == Unanswered {
		if c.wasDown(attempt) {
			return // a process resumed from a pause cannot know when the requests that it then reads were sent
		}
		end = attempt.Deadline
		if attempt.ClientClosedAt > 0 {
			end = min(end, attempt.ClientClosedAt+clientCloseLimit)
		}
	}
	for _, x := range executions {
		if x.Node == attempt.Node && x.FirstByte > end+c.slack {
			c.report(ruleAnswer, "request %s was sent to a server %.0f ms after its response%s", attempt.ID, x.FirstByte-end, attempt.describeEnd(x))
			return
		}
	}
}

// describeEnd describes for a violation when an attempt ended, and when an execution of it began.
func (a *ClientAttempt) describeEnd(x *servermodel.Execution) string {
	return fmt.Sprintf(": sent to node %d at %.0f, %v, answered after %.0f ms, client closed after %.0f ms, deadline after %.0f ms, execution after %.0f to %.0f ms",
		a.Node, a.Sent, a.Outcome, a.AnsweredAt-a.Sent, a.ClientClosedAt-a.Sent, a.Deadline-a.Sent, x.FirstByte-a.Sent, x.LastByte-a.Sent)
}

// describeWrongValue describes for a violation the value of another key, if its beginning is known.
func (a *ClientAttempt) describeWrongValue() string {
	if a.WrongValue == "" {
		return ""
	}
	return fmt.Sprintf(": %q after %.0f ms, sent to node %d at %.0f", a.WrongValue, a.AnsweredAt-a.Sent, a.Node, a.Sent)
}

// checkEffects checks rule 2 for an attempt.
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

// mayFollow returns whether an execution may be sent after an earlier one of the same attempt, and records a violation if not.
func (c *Checker) mayFollow(attempt *ClientAttempt, earlier, x *servermodel.Execution) bool {
	switch {
	case earlier.Outcome.NeverRan() && earlier.EndedAt <= x.FirstByte:
	case attempt.Semantics == NonIdempotent:
		c.report(ruleEffects, "non-idempotent request %s was sent again though an execution may have run: to node %d at %.0f, by that one to servers %.0f and %.0f ms later",
			attempt.ID, attempt.Node, attempt.Sent, earlier.FirstByte-attempt.Sent, x.FirstByte-attempt.Sent)
		return false
	case x.FirstByte > earlier.FirstByte+attempt.DedupWindow+c.slack:
		c.report(ruleEffects, "deduplicated request %s was sent again after its deduplication window", attempt.ID)
		return false
	}
	return true
}

// NodeNotified records that the discovery service notified a node about a server.
func (c *Checker) NodeNotified(n fakes.Notification) {
	key := nodeServer{n.Node, n.Server}
	if c.notifications[key] == nil {
		c.notifications[key] = map[string][]fakes.Notification{}
	}
	c.notifications[key][n.Name] = append(c.notifications[key][n.Name], n)
}

// ExecutionArrived checks rule 3. When a node is notified that a server drains or has ended, the node may send to the server for the drain
// grace and no longer. If the server is listed under several ids, the node may send to it as long as one of the ids permits this.
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

// hasOtherID reports whether the node of an execution was notified that the server is in service under an id other than the given one.
func (c *Checker) hasOtherID(x *servermodel.Execution, id string) bool {
	for name, notifications := range c.notifications[nodeServer{x.Node, x.Server}] {
		if name != id && slices.ContainsFunc(notifications, func(n fakes.Notification) bool { return n.AtMs <= x.FirstByte && n.Phase == fakes.InService }) {
			return true
		}
	}
	return false
}

// mayReceive reports whether a node may send to a server at a time, given the node's notifications for one id of the server.
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
