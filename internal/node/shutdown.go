package node

import "time"

// shutdownPhase is the phase of a stop.
type shutdownPhase uint8

const (
	running  shutdownPhase = iota
	draining               // the node ends once all requests in flight have a response
	drained                // every request has its response
)

// shutdown is the progress of a stop. The loop owns it.
type shutdown struct {
	phase      shutdownPhase
	deadline   float64       // requests that arrive get their response by then; 0: no stop has begun
	drained    chan struct{} // closed on reaching the phase drained; any goroutine may receive from it
	leftGroups bool          // the node has left its cluster and its consensus group, and must not join them again
}

func newShutdown() shutdown { return shutdown{drained: make(chan struct{})} }

// stopMargin is how long a stop may take beyond its bound, to send the last responses and write the final snapshot. The platform kills
// the process 100 ms after the bound that the program is given.
const stopMargin = 80 * time.Millisecond

// schedulingStallAllowance is how long the system may leave the process unscheduled at any moment (the standing test's page, "What
// production adds"). Requests that arrive during a stop get their response this long before the bound of the stop.
const schedulingStallAllowance = 150 * time.Millisecond

// closePollInterval is the interval at which a stop checks whether all client connections are closed.
const closePollInterval = time.Millisecond

// leaveTimeout is how long Stop waits for the loop to leave the cluster and the consensus group even if the stop's deadline has passed:
// writing the final snapshot to a slow disk may have used up the time.
const leaveTimeout = 20 * time.Millisecond

// Stop ends the node at a planned restart. It accepts new clients for the grace period, unless a successor accepts them already, and
// returns when all requests are answered. Requests without a response at the bound are aborted: the end of the process would lose them.
func (n *Node) Stop(grace, bound time.Duration) {
	start := time.Now()
	answerTime := max(0, bound-schedulingStallAllowance)
	n.lifecycle.BeginStop()
	defer time.AfterFunc(max(grace, answerTime), n.endInput).Stop()
	n.inbox.post(stopDeadline{n.clock.Now() + float64(answerTime/time.Millisecond)})
	n.frontend.DrainConns()
	if _, phase := n.handover.otherProcess(); phase.successorAccepts() {
		// The successor gets new clients, and existing clients between two requests. Clients that never pause are closed after half the
		// bound.
		defer time.AfterFunc(bound/2, n.lifecycle.FinishStop).Stop()
	} else {
		time.Sleep(grace)
		n.lifecycle.FinishStop()
	}
	n.frontend.Close(time.Until(start.Add(answerTime)))
	n.frontend.DrainConns()
	n.inbox.post(stopRequest{})
	select {
	case <-n.shutdown.drained:
	case <-time.After(time.Until(start.Add(bound))):
	}
	// A command that a client began to send earlier may be complete only now. Once all connections are closed, all requests are answered.
	n.waitForClients(start.Add(bound))
	if n.frontend.OpenConns() > 0 {
		n.log.Warn("aborting requests still in flight")
		n.inbox.post(stopRequest{abort: true})
	}
	n.stopIdempotency(start.Add(bound + stopMargin))
	n.waitForClients(start.Add(bound + stopMargin/2)) // for the last responses to be written
	n.stopOptionalParts(start.Add(bound + stopMargin))
	close(n.quit)
}

// endInput closes the connections of clients that never pause.
func (n *Node) endInput() {
	n.lifecycle.EndInput()
	n.frontend.DrainConns()
}

// waitForClients returns when no client connection is open, or at the deadline.
func (n *Node) waitForClients(deadline time.Time) {
	for n.frontend.OpenConns() > 0 && time.Now().Before(deadline) {
		time.Sleep(closePollInterval)
	}
}

func (n *Node) stopOptionalParts(deadline time.Time) {
	if n.snapshots != nil {
		n.snapshots.writeFinal(deadline)
	}
	_, err := onLoopWithin(n, max(leaveTimeout, time.Until(deadline)), func(float64) (struct{}, error) {
		n.leaveGroups()
		return struct{}{}, nil
	})
	if err != nil {
		n.log.WithError(err).Warn("cannot leave the cluster and the consensus group")
	}
}

// leaveGroups leaves the cluster and the consensus group. The loop calls it.
func (n *Node) leaveGroups() {
	n.shutdown.leftGroups = true
	if n.clusterMember != nil {
		n.clusterMember.close()
	}
	if n.maintenance != nil {
		n.maintenance.stop()
	}
}

// signalDrained ends the phase draining once every request has its response.
func (n *Node) signalDrained() {
	if n.shutdown.phase != draining || n.inflight.HasUnanswered() || n.idempotency != nil && n.idempotency.hasWaitingClients() {
		return
	}
	n.shutdown.phase = drained
	close(n.shutdown.drained)
}

// stopDeadline is the event that a stop has begun, with the time by which requests must be answered.
type stopDeadline struct{ at float64 }

func (e stopDeadline) handle(n *Node, _ float64) { n.shutdown.deadline = e.at }

// stopRequest is the event that the node is to end, once every request has its response or, with abort, at once.
type stopRequest struct{ abort bool }

func (e stopRequest) handle(n *Node, now float64) {
	if n.shutdown.phase == running {
		n.shutdown.phase = draining
	}
	if !e.abort {
		return
	}
	n.inflight.AbortAll(now, "the node is stopping")
	if n.idempotency != nil {
		n.idempotency.abortAll(now)
	}
}
