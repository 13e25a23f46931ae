package upstream

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"slices"
	"sync"
	"sync/atomic"
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

	connCount atomic.Int64 // connections opened

	recent     [recentDigests]recentDigest // guarded by mu
	nextRecent int                         // index in recent
}

// New returns an endpoint of a group. It accepts no attempts until SetTarget is called. The name identifies the server.
func New(group *Group, protocol Protocol, name string, config connpool.Config) *Endpoint {
	hash := fnv.New64a()
	hash.Write([]byte(name)) //nolint:errcheck // a hash never fails
	e := &Endpoint{group: group, protocol: protocol}
	policy := connpool.NewPolicy(config, fleet.Mix(hash.Sum64()), group.random())
	e.pool = connpool.New(policy, &group.counters, connpool.Owner[*conn, *Attempt](poolOwner{e}))
	e.timer = time.AfterFunc(time.Hour, e.tick)
	e.timer.Stop()
	return e
}

// poolOwner implements connpool.Owner: it carries out the pool's decisions on real connections. The pool calls it with the
// endpoint's mutex held.
type poolOwner struct{ *Endpoint }

// Dial implements connpool.Owner.
func (o poolOwner) Dial(addr string) { go o.dial(addr) }

// Assign implements connpool.Owner.
func (o poolOwner) Assign(_ float64, c *conn, a *Attempt) {
	c.current, a.conn, a.reused = a, c, c.Responded
	c.outgoing <- message{attempt: a}
}

// CloseConn implements connpool.Owner. It makes the connection's goroutines end.
func (o poolOwner) CloseConn(c *conn) {
	close(c.outgoing)
	_ = c.net.Close() // an error has no consequence: nothing more is written
	o.group.connClosed(o.Endpoint)
	o.group.Sockets.Release(fdlimit.Server)
}

// TickAfter implements connpool.Owner.
func (o poolOwner) TickAfter(ms float64) { o.timer.Reset(clock.Duration(ms)) }

// tick runs the pool's due work, and fails the attempts that have waited too long for a connection.
func (e *Endpoint) tick() {
	for _, a := range e.tickPool() {
		e.fail(a, fleet.Declined, errWaitTimeout)
	}
}

func (e *Endpoint) tickPool() (timedOut []*Attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pool.Tick(e.group.Clock.Now())
}

// SetTarget sets the server's address and whether it is available for attempts. Connections to an earlier address are not
// reused. If the server is unavailable, attempts that wait for a connection fail as not sent.
func (e *Endpoint) SetTarget(addr string, available bool) {
	for _, a := range e.setPoolTarget(addr, available) {
		e.fail(a, fleet.NotSent, errUnavailable)
	}
}

func (e *Endpoint) setPoolTarget(addr string, available bool) (removed []*Attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pool.SetTarget(e.group.Clock.Now(), addr, available)
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

// SetQuota sets this node's share of the rate at which all nodes together may open connections to the server.
func (e *Endpoint) SetQuota(quota quota.Allowance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pool.Policy.SetQuota(quota)
	e.pool.Dispatch(e.group.Clock.Now())
}

// Demand returns which fraction of the dials of all nodes to the server this node could use, measured since the last call.
func (e *Endpoint) Demand(now float64) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pool.Policy.Demand(now)
}

// Reap closes connections that have been unused for so long that the server may close them at any time, and connections that
// are no longer needed. It opens connections up to the number that the pool's policy keeps open.
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
	e.failOnSuspectedConns(e.pool.RecordDuplicateReport())
}

// recordUnsolicited records that bytes arrived on a connection without a request. Called with the mutex held.
func (e *Endpoint) recordUnsolicited(now float64, c *conn) {
	wasSuspected := e.pool.Policy.Suspected()
	e.failOnSuspectedConns(e.pool.ReceivedUnsolicited(now, c))
	if e.group.OnDuplicates != nil && !wasSuspected && e.pool.Policy.Suspected() {
		go e.group.OnDuplicates(e)
	}
}

// failOnSuspectedConns fails the attempts on connections where a duplicate could be read as their response. Called with the mutex
// held.
func (e *Endpoint) failOnSuspectedConns(conns []*conn) {
	for _, c := range conns {
		if a := c.current; a != nil && a.progress < exchange.ResponseStarted {
			go e.fail(a, fleet.Reset, errDuplicatesSuspected)
		}
	}
}

// dial opens one connection and gives it to the pool, which assigns it to the attempt that has waited longest.
func (e *Endpoint) dial(addr string) {
	startedAt := e.group.Clock.Now()
	netConn, result, err := e.connect(addr)
	e.mu.Lock()
	now := e.group.Clock.Now()
	if err == nil {
		e.pool.DialSucceeded(now, e.startConn(addr, netConn))
		e.mu.Unlock()
		return
	}
	failed := e.pool.DialFailed(now, startedAt, result == fleet.ConnectFailed)
	e.mu.Unlock()
	for _, a := range failed {
		e.fail(a, result, err)
	}
}

// connect opens a network connection. If it fails, result is the outcome for an attempt that needed the connection.
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

// localDialErrnos are the errors of socket(2), bind(2) and connect(2) that are caused by this machine: no free descriptor, buffer,
// memory or port, no route, or a rule of its own firewall.
var localDialErrnos = [...]error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EACCES, syscall.EPERM, syscall.EINTR,
}

// isLocalDialFailure reports whether a dial failed because of this machine. Such an error does not count against the server, since it
// may affect dials to all servers at once.
func isLocalDialFailure(err error) bool {
	return slices.ContainsFunc(localDialErrnos[:], func(errno error) bool { return errors.Is(err, errno) })
}
