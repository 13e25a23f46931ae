package upstream

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"mintspring/internal/clock"
	"mintspring/internal/cluster/quota"
	"mintspring/internal/fleet"
	"mintspring/internal/node/connpool"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/fdlimit"
)

// Endpoint holds the connections to one server. It is safe for concurrent use.
type Endpoint struct {
	group    *Group
	protocol Protocol

	mu    sync.Mutex // guards the pool, and the state of its connections and attempts
	pool  *connpool.Pool[*conn, *Attempt]
	timer *time.Timer // calls tick
}

// New adds an endpoint to a group. No attempt may go to it before SetTarget. The name identifies the server.
func New(group *Group, protocol Protocol, name string, config connpool.Config) *Endpoint {
	hash := fnv.New64a()
	hash.Write([]byte(name)) //nolint:errcheck // a hash never fails
	e := &Endpoint{group: group, protocol: protocol}
	policy := connpool.NewPolicy(config, fleet.Mix(hash.Sum64()), group.random())
	e.pool = connpool.New(policy, &group.counters, connpool.Owner[*conn, *Attempt](poolOwner{e}))
	e.timer = time.AfterFunc(time.Hour, e.tick)
	e.timer.Stop()
	group.add(e)
	return e
}

// Remove removes the endpoint of a server that no longer exists from its group.
func (e *Endpoint) Remove() { e.group.remove(e) }

// poolOwner carries out what the endpoint's pool decides, with the endpoint's mutex held.
type poolOwner struct{ *Endpoint }

// Dial implements connpool.Owner.
func (o poolOwner) Dial(addr string) { go o.dial(addr) }

// Assign implements connpool.Owner.
func (o poolOwner) Assign(_ float64, c *conn, a *Attempt) {
	c.current, a.conn = a, c
	c.attempts <- a
}

// CloseConn implements connpool.Owner. The connection's goroutines end by that.
func (o poolOwner) CloseConn(c *conn) {
	close(c.attempts)
	_ = c.net.Close() // nothing is written any more
	o.group.Sockets.Release(fdlimit.Server)
}

// TickAfter implements connpool.Owner.
func (o poolOwner) TickAfter(ms float64) { o.timer.Reset(clock.Duration(ms)) }

// tick does what is due in the pool.
func (e *Endpoint) tick() {
	e.mu.Lock()
	timedOut := e.pool.Tick(e.group.Clock.Now())
	e.mu.Unlock()
	for _, a := range timedOut {
		e.fail(a, fleet.Declined, errWaitTimeout)
	}
}

// SetTarget sets the server's address and whether attempts may go to it. Connections to an earlier address are not reused.
// Where attempts may not go any more, those that wait for a connection fail as not sent.
func (e *Endpoint) SetTarget(addr string, open bool) {
	e.mu.Lock()
	removed := e.pool.SetTarget(e.group.Clock.Now(), addr, open)
	e.mu.Unlock()
	for _, a := range removed {
		e.fail(a, fleet.NotSent, errUnavailable)
	}
}

// ServerStarted records when the server's process last started, in Unix ms; 0: long ago.
func (e *Endpoint) ServerStarted(at float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pool.Policy.ServerStarted(at)
}

// State returns the counts of the endpoint's pool.
func (e *Endpoint) State() connpool.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pool.State()
}

// SetQuota sets this node's share of the connections that all nodes together may open.
func (e *Endpoint) SetQuota(quota quota.Allowance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pool.Policy.SetQuota(quota)
	e.pool.Dispatch(e.group.Clock.Now())
}

// Demand returns the fraction of the connections that all nodes may open that this node could use.
func (e *Endpoint) Demand(now float64) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pool.Policy.Demand(now)
}

// Reap closes connections that have been unused for so long that the server may close them at any time, and those not
// needed any more. It opens what the pool's policy keeps open.
func (e *Endpoint) Reap() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pool.Reap(e.group.Clock.Now())
}

// CloseUnused closes the unused connections.
func (e *Endpoint) CloseUnused() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pool.CloseUnused()
}

func (e *Endpoint) oldestUnused() (since float64, found bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pool.OldestUnused()
}

func (e *Endpoint) closeOldestUnused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pool.CloseOldestUnused()
}

// ReportedDuplicates records that another node has seen the server send duplicate responses.
func (e *Endpoint) ReportedDuplicates() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resetSuspected(e.pool.DuplicatesReported())
}

// unsolicited records that bytes arrived on a connection without a request. Called with the mutex held.
func (e *Endpoint) unsolicited(now float64, c *conn) {
	wasSuspected := e.pool.Policy.Suspected()
	e.resetSuspected(e.pool.ReceivedUnsolicited(now, c))
	if e.group.OnDuplicates != nil && !wasSuspected && e.pool.Policy.Suspected() {
		go e.group.OnDuplicates(e)
	}
}

// resetSuspected fails the attempts on connections where a duplicate may pass for the response. Called with the mutex held.
func (e *Endpoint) resetSuspected(conns []*conn) {
	for _, c := range conns {
		if a := c.current; a != nil && a.progress < exchange.ResponseStarted {
			go e.fail(a, fleet.Reset, errSuspected)
		}
	}
}

// dial opens one connection, for whichever attempt is first then.
func (e *Endpoint) dial(addr string) {
	began := e.group.Clock.Now()
	netConn, result, err := e.connect(addr)
	e.mu.Lock()
	now := e.group.Clock.Now()
	if err == nil {
		e.pool.DialSucceeded(now, e.startConn(addr, netConn))
		e.mu.Unlock()
		return
	}
	failed := e.pool.DialFailed(now, began, result == fleet.ConnectFailed)
	e.mu.Unlock()
	for _, a := range failed {
		e.fail(a, result, err)
	}
}

// connect opens a network connection. With an error, result is what that means for an attempt.
func (e *Endpoint) connect(addr string) (netConn net.Conn, result fleet.Result, err error) {
	if !e.group.Sockets.Acquire(fdlimit.Server) {
		return nil, fleet.NotSent, errNoDescriptor
	}
	ctx, cancel := context.WithTimeout(context.Background(), clock.Duration(e.group.ConnectTimeout))
	defer cancel()
	dialer := e.group.Dialer
	dialer.KeepAlive = -1
	if netConn, err = dialer.DialContext(ctx, "tcp", addr); err != nil {
		e.group.Sockets.Release(fdlimit.Server)
	}
	if isLocalDialFailure(err) {
		return nil, fleet.NotSent, err
	}
	return netConn, fleet.ConnectFailed, err
}

// localDialErrnos are the errors of socket(2), bind(2) and connect(2) that this machine itself is the reason of: no descriptor, buffer,
// memory, port or route, or a rule of its own firewall.
var localDialErrnos = [...]error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EACCES, syscall.EPERM, syscall.EINTR,
}

// isLocalDialFailure reports whether a dial failed for a reason that says nothing of the server: all servers may be hit by it at once.
func isLocalDialFailure(err error) bool {
	return slices.ContainsFunc(localDialErrnos[:], func(errno error) bool { return errors.Is(err, errno) })
}
