package node

import (
	"time"

	"mintspring/internal/clock"
	"mintspring/internal/node/exchange"
)

const (
	// maxWaitMs is how long the loop waits when nothing is due.
	maxWaitMs = 1000
	// waitAfterPanic is how long the loop waits after a panic in runDueDecisions, which leaves the next due time unknown.
	waitAfterPanic = 10 * time.Millisecond
	// sweepInterval is the time between two sweeps of client connections while the node closes them.
	sweepInterval = 50 * time.Millisecond
	// reportInterval is the time between two "traffic" log lines.
	reportInterval = 5 * time.Second
)

// loop handles events and runs due tasks until quit is closed. It owns the decision module and the state listed in the package comment.
func (n *Node) loop() {
	wakeUp := time.NewTimer(0)
	defer wakeUp.Stop()
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	var events []event
	for {
		events = mergeListChanges(n.inbox.drain(events[:0]))
		now := n.clock.Now()
		for _, e := range events {
			n.withRecovery(exchangeOf(e), func() { e.handle(n, now) })
		}
		wakeUp.Reset(n.runTasks(now))
		n.signalDrained()
		select {
		case <-n.quit:
			return
		case <-n.inbox.wake:
		case <-wakeUp.C:
		case <-report.C:
			n.logTrafficAndReap()
		}
	}
}

// exchangeOf returns the request that an event is about, nil for none.
func exchangeOf(e event) *exchange.Exchange {
	if r, ok := e.(requestEvent); ok {
		return r.exchange()
	}
	return nil
}

// withRecovery runs f. If f panics, withRecovery logs the panic and aborts the request x that f was handling, if any: an abort leaves open
// whether the request was executed.
func (n *Node) withRecovery(x *exchange.Exchange, f func()) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		n.logPanic(p)
		if x != nil {
			n.withRecovery(nil, func() { n.inflight.Fail(n.clock.Now(), x, "internal error") })
		}
	}()
	f()
}

// runTasks runs all tasks that are due, and returns how long the loop may wait for the next one.
func (n *Node) runTasks(now float64) time.Duration {
	wait := waitAfterPanic
	n.withRecovery(nil, func() { wait = n.runDueDecisions(now) })
	if n.clusterMember != nil {
		n.withRecovery(nil, func() { n.clusterMember.tick(now) })
		wait = min(wait, clusterTick)
	}
	if n.maintenance != nil {
		n.withRecovery(nil, func() { n.maintenance.tick(now) })
		wait = min(wait, clusterTick)
	}
	if n.idempotency != nil {
		n.withRecovery(nil, func() { n.idempotency.tick(now) })
		wait = min(wait, claimTick)
	}
	if n.lifecycle.ClosesConnections() {
		n.sweepClients(now)
		wait = min(wait, sweepInterval)
	}
	return wait
}

// runDueDecisions calls the decision module for everything that is due, and returns the time until its next call is due.
func (n *Node) runDueDecisions(now float64) time.Duration {
	for {
		entry, wait := n.inflight.NextDue(now)
		if wait > 0 {
			return clock.Duration(min(wait, maxWaitMs))
		}
		if entry == nil {
			n.inflight.Decide(now, nil)
			continue
		}
		n.withRecovery(entry.Exchange, func() { n.inflight.Decide(now, entry) })
	}
}

// sweepClients closes the client connections that are due to be closed, once per sweepInterval. A sweep locks every connection, so it
// runs in a goroutine of its own, which ends with the sweep.
func (n *Node) sweepClients(now float64) {
	if now < n.nextSweepAt {
		return
	}
	n.nextSweepAt = now + float64(sweepInterval/time.Millisecond)
	go n.frontend.DrainConns()
}
