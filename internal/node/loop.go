package node

import (
	"time"

	"mintspring/internal/clock"
	"mintspring/internal/node/exchange"
)

const (
	// maxWait is how long the loop waits when nothing is due, in ms.
	maxWait = 1000
	// waitAfterPanic is how long it waits when it does not know what is due, since asking for it panicked.
	waitAfterPanic = 10 * time.Millisecond
	// sweepInterval is the time between two sweeps of client connections, while any are to be closed.
	sweepInterval = 50 * time.Millisecond
	// reportInterval is the time between two log lines of the traffic.
	reportInterval = 5 * time.Second
)

// loop is the goroutine that owns the decision module and all that hangs on it. It ends when quit is closed.
func (n *Node) loop() {
	wakeUp := time.NewTimer(0)
	defer wakeUp.Stop()
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	var events []event
	for {
		events = n.inbox.drain(events[:0])
		now := n.clock.Now()
		for _, e := range events {
			n.guard(exchangeOf(e), func() { e.handle(n, now) })
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

// guard runs f and survives its panic. The request that f was about, if any, is then aborted, which promises nothing of its effect.
func (n *Node) guard(x *exchange.Exchange, f func()) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		n.logPanic(p)
		if x != nil {
			n.inflight.Fail(n.clock.Now(), x, "internal error")
		}
	}()
	f()
}

// runTasks does what is due by itself, and returns how long nothing else is.
func (n *Node) runTasks(now float64) time.Duration {
	wait := waitAfterPanic
	n.guard(nil, func() { wait = n.runDue(now) })
	if n.clusterMember != nil {
		n.guard(nil, func() { n.clusterMember.tick(now) })
		wait = min(wait, clusterTick)
	}
	if n.maintenance != nil {
		n.guard(nil, func() { n.maintenance.tick(now) })
		wait = min(wait, clusterTick)
	}
	if n.idempotency != nil {
		n.guard(nil, func() { n.idempotency.tick(now) })
		wait = min(wait, claimTick)
	}
	if n.life.ClosesConnections() {
		n.sweepClients(now)
		wait = min(wait, sweepInterval)
	}
	return wait
}

// runDue calls the decision module for everything that is due, and returns how long to wait for the next.
func (n *Node) runDue(now float64) time.Duration {
	for {
		entry, wait := n.inflight.NextDue(now)
		if wait > 0 {
			return clock.Duration(min(wait, maxWait))
		}
		if entry == nil {
			n.inflight.Decide(now, nil)
			continue
		}
		n.guard(entry.Exchange, func() { n.inflight.Decide(now, entry) })
	}
}

// sweepClients closes the client connections whose time has come, every sweepInterval. A sweep takes the locks of all connections,
// so it runs beside the loop; it ends by itself.
func (n *Node) sweepClients(now float64) {
	if now < n.nextSweepAt {
		return
	}
	n.nextSweepAt = now + float64(sweepInterval/time.Millisecond)
	go n.frontend.DrainConns()
}
