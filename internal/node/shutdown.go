package node

import "time"

// shutdownPhase is how far the end of the node has come.
type shutdownPhase uint8

const (
	running  shutdownPhase = iota
	draining               // requests in flight are answered, then the node ends
	drained                // every request has its response
)

// shutdown is the progress of a stop. The loop owns it.
type shutdown struct {
	phase    shutdownPhase
	deadline float64       // requests that arrive have their response by then; 0: no stop has begun
	drained  chan struct{} // closed on reaching the phase drained; may be received from anywhere
	left     bool          // the node has left its cluster, and does not join it any more
}

func newShutdown() shutdown { return shutdown{drained: make(chan struct{})} }

// stopMargin is how long past its bound a stop may take, for the last responses on their way and for the last snapshot. The platform
// kills the process 100 ms past the bound that the program is given.
const stopMargin = 80 * time.Millisecond

// holdUpAllowance is for how long the system may not schedule the process, at any moment (the standing test's page, "What production adds"). What
// arrives during a stop has its response so much before the bound.
const holdUpAllowance = 150 * time.Millisecond

// closePollInterval is the time between two looks at whether all clients are gone.
const closePollInterval = time.Millisecond

// leaveTimeout is how long Stop waits for the loop to leave the cluster and the consensus group, where its deadline is past: a slow disk
// may have taken that time for the last snapshot.
const leaveTimeout = 20 * time.Millisecond

// Stop ends the node at a planned restart. Clients are accepted for the grace period, unless a successor has them already, and
// their requests are answered. Stop returns when all are answered. Requests without a response at the bound are aborted, for one that
// the end of the process leaves without any is lost.
func (n *Node) Stop(grace, bound time.Duration) {
	start := time.Now()
	n.life.BeginStop()
	n.inbox.post(stopDeadline{n.clock.Now() + float64(max(0, bound-holdUpAllowance)/time.Millisecond)})
	n.frontend.DrainConns()
	if _, phase := n.handover.other(); phase.successorAccepts() {
		// New clients go to the successor already, and so do clients between two requests. Those that never pause are closed in time.
		defer time.AfterFunc(bound/2, n.life.FinishStop).Stop()
	} else {
		time.Sleep(grace)
		n.life.FinishStop()
	}
	n.frontend.Close(time.Until(start.Add(bound - holdUpAllowance)))
	n.frontend.DrainConns()
	n.inbox.post(stopRequest{})
	select {
	case <-n.shutdown.drained:
	case <-time.After(time.Until(start.Add(bound))):
	}
	// A client may have begun a command that is complete only now: all are answered when all connections are closed.
	n.waitForClients(start.Add(bound))
	if n.frontend.OpenConns() > 0 {
		n.log.Warn("aborting requests still in flight")
		n.inbox.post(stopRequest{abort: true})
	}
	n.stopIdempotency(start.Add(bound + stopMargin))
	n.waitForClients(start.Add(bound + stopMargin/2)) // the last responses are being written
	n.stopOptionalParts(start.Add(bound + stopMargin))
	close(n.quit)
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

// leaveGroups ends the node's part in its cluster and its consensus group. The loop calls it.
func (n *Node) leaveGroups() {
	n.shutdown.left = true
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

// stopDeadline says by when the process ends.
type stopDeadline struct{ at float64 }

func (e stopDeadline) handle(n *Node, _ float64) { n.shutdown.deadline = e.at }

// stopRequest has the node end once every request has its response, or with abort at once.
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
