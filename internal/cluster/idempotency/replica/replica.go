// Package replica runs a member that replicates idempotency records, with its UDP socket and its data directory. One goroutine owns the
// member's core. A second goroutine writes and syncs the entries of the core in batches, so that a slow disk delays only this member's
// promises and votes, not its requests to other members. Messages that depend on a batch are sent once the batch is synced.
package replica

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/clock"
	"mintspring/internal/cluster/idempotency"
)

// Config is the configuration of a member.
type Config struct {
	Group       string // the name of the group of members that share the records
	ListenAddr  string
	MemberAddrs []string      // the addresses of all members, indexed by member number
	DataDir     string        // "": the member stores nothing
	MaxBytes    int64         // limit for the total size of the segments in DataDir; 0: no limit
	SyncDelay   time.Duration // added to each sync, for tests
	Snapshot    func() []byte // returns the snapshot to send to another member, and may be slow; nil: there is none
	Core        idempotency.Config
}

const (
	// receiveQueueLength is how many received datagrams may wait for the member's goroutine. Further datagrams are dropped.
	receiveQueueLength = 4096
	// ticksPerRetry is the number of ticks of the core within its RetryMs.
	ticksPerRetry = 4
	// minTickInterval is the shortest time between two ticks.
	minTickInterval = time.Millisecond
	// minDiskRetryMs and maxDiskRetryMs bound the backoff of attempts to use a failing data directory.
	minDiskRetryMs = 1000
	maxDiskRetryMs = 60_000
	// queryTimeout is how long query waits for the member's goroutine.
	queryTimeout = time.Second
	// stopPollInterval is how often Stop checks whether the member is still busy.
	stopPollInterval = time.Millisecond
)

// Errors of Status.
var (
	errStopped = errors.New("the replica has stopped")
	errBusy    = errors.New("the replica is too busy to answer")
)

// Replica is a running member. Its methods may be called from any goroutine.
type Replica struct {
	config       Config
	log          *logrus.Entry
	clock        *clock.Clock
	onResult     func(idempotency.Result)
	conn         *net.UDPConn
	memberAddrs  []netip.AddrPort
	memberByAddr map[netip.AddrPort]idempotency.MemberID

	received   chan datagram
	wake       chan struct{} // signals that there are pending calls
	stopping   chan struct{}
	stopOnce   sync.Once
	done       chan struct{} // closed when run has ended
	goroutines sync.WaitGroup

	mu           sync.Mutex // guards pendingCalls
	pendingCalls []func(now float64)

	// The following fields belong to the member's goroutine, which executes run.
	core           *idempotency.Core
	disk           *disk               // nil: the member stores nothing
	dataDirErr     error               // why the data directory could not be opened; not changed after Start
	syncingBatches []idempotency.Ready // handed to the disk and not synced yet
	queuedBatches  []idempotency.Ready // waiting for the disk to be idle
	loggedState    string
	snapshotFetch  *snapshotFetch // nil: no snapshot is being fetched

	incarnationRetry retryTimer

	sendingSnapshot atomic.Bool // a goroutine of startSendingSnapshot is running
}

// Start opens the data directory and the socket, and runs the member until Stop. If the data directory cannot be opened, the error is
// logged and the member stores nothing. onResult is called with each result, from the member's goroutine.
func Start(config Config, c *clock.Clock, log *logrus.Logger, onResult func(idempotency.Result)) (*Replica, error) {
	r := &Replica{
		config:       config,
		log:          log.WithField("member", config.Core.Self),
		clock:        c,
		onResult:     onResult,
		memberByAddr: map[netip.AddrPort]idempotency.MemberID{},
		received:     make(chan datagram, receiveQueueLength),
		wake:         make(chan struct{}, 1),
		stopping:     make(chan struct{}),
		done:         make(chan struct{}),
	}
	if err := r.listen(); err != nil {
		return nil, err
	}
	r.core = idempotency.New(c.Now(), r.config.Core, r.openDisk())
	r.goroutines.Go(r.readLoop)
	if r.disk != nil {
		r.goroutines.Go(r.disk.runJobs)
	}
	go r.run()
	return r, nil
}

// Stop ends the member once all claims and settlements have ended, or when the timeout expires.
func (r *Replica) Stop(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(stopPollInterval) {
		if busy, err := query(r, func() bool { return r.core.Busy() }); err != nil || !busy {
			break
		}
	}
	r.stopOnce.Do(func() { close(r.stopping) })
	<-r.done
}

// Claim proposes a claim of a key. The deadline is in ms of the clock that was passed to Start. See idempotency.Core.Claim.
func (r *Replica) Claim(number uint64, key idempotency.Key, options idempotency.ClaimOptions, deadline float64) {
	r.enqueue(func(now float64) { r.core.Claim(now, number, key, options, deadline) })
}

// Settle proposes the outcome of a granted claim. The deadline is in ms of the clock that was passed to Start. See idempotency.Core.Settle.
func (r *Replica) Settle(number uint64, outcome idempotency.Outcome, receipt []byte, deadline float64) {
	r.enqueue(func(now float64) { r.core.Settle(now, number, outcome, receipt, deadline) })
}

// Status is the state of a member as shown to operators.
type Status struct {
	idempotency.Status
	Group         string `json:"book"`
	DataDir       string `json:"dir,omitempty"`
	Syncs         int    `json:"syncs"`
	SyncedEntries int    `json:"entries"` // since the start
	LargestSync   int    `json:"largest"` // most entries in one sync
}

// Status returns the member's state and counters. It fails if the member has stopped or does not answer within queryTimeout.
func (r *Replica) Status() (Status, error) {
	return query(r, func() Status {
		s := Status{Status: r.core.Status(r.clock.Now()), Group: r.config.Group, DataDir: r.config.DataDir}
		if r.disk != nil {
			s.Syncs, s.SyncedEntries, s.LargestSync = r.disk.syncs, r.disk.entries, r.disk.largestSync
		}
		return s
	})
}

// enqueue queues a call for the member's goroutine.
func (r *Replica) enqueue(call func(now float64)) {
	r.mu.Lock()
	r.pendingCalls = append(r.pendingCalls, call)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// query calls read on the member's goroutine and returns its result.
func query[T any](r *Replica, read func() T) (value T, err error) {
	answer := make(chan T, 1)
	r.enqueue(func(float64) { answer <- read() })
	select {
	case value = <-answer:
		return value, nil
	case <-r.done:
		return value, errStopped
	case <-time.After(queryTimeout):
		return value, errBusy
	}
}

// run is the event loop of the member's goroutine.
func (r *Replica) run() {
	defer r.shutDown()
	retryInterval := clock.Duration(r.config.Core.RetryIntervalMs)
	ticker := time.NewTicker(max(minTickInterval, retryInterval/ticksPerRetry))
	defer ticker.Stop()
	for {
		select {
		case <-r.stopping:
			r.finishPending()
			return
		case <-ticker.C:
			r.core.Tick(r.clock.Now())
			r.adoptLaterIncarnation()
			r.logState()
		case <-r.wake:
		case result := <-r.disk.resultChannel():
			r.handleDiskResult(result)
		case d := <-r.received:
			r.handleDatagrams(d)
		}
		r.runPendingCalls()
		r.processReady()
	}
}

// finishPending runs the remaining calls, and sends and syncs what they produce. The second round covers batches that were queued during
// the first sync.
func (r *Replica) finishPending() {
	for range 2 {
		r.runPendingCalls()
		r.processReady()
		if r.disk != nil && r.disk.busy {
			r.handleDiskResult(<-r.disk.results)
		}
	}
}

// shutDown ends the other goroutines and closes the data directory and the socket.
func (r *Replica) shutDown() {
	if r.disk != nil {
		r.disk.close()
	}
	_ = r.conn.Close() // nothing is buffered
	r.goroutines.Wait()
	close(r.done)
}

func (r *Replica) runPendingCalls() {
	r.mu.Lock()
	calls := r.pendingCalls
	r.pendingCalls = nil
	r.mu.Unlock()
	now := r.clock.Now()
	for _, call := range calls {
		call(now)
	}
}

// handleDatagrams handles a datagram and all others that are already queued, so that their entries share one sync.
func (r *Replica) handleDatagrams(d datagram) {
	for {
		r.handleDatagram(d)
		select {
		case d = <-r.received:
		default:
			return
		}
	}
}

// processReady sends the core's messages, starts disk jobs that are due, and passes the core's results to onResult.
func (r *Replica) processReady() {
	r.collectReady()
	r.startSync()
	r.startVerification()
	r.startRecovery()
	for _, result := range r.core.TakeResults() {
		r.onResult(result)
	}
}

// collectReady sends the messages that need no sync, and queues batches that do. It repeats this as long as messages of the member to
// itself may have produced more of either.
func (r *Replica) collectReady() {
	for more := true; more; {
		ready := r.core.Ready()
		more = r.send(ready.Messages)
		ready.Messages = nil
		switch {
		case ready.NothingToSync():
		case !r.stores() && !r.recovering():
			r.core.Advance(ready) // a member without working storage makes no promises that a sync would have to cover
		default:
			r.queuedBatches = append(r.queuedBatches, ready)
		}
	}
}

// retryTimer is the exponential backoff of an operation on the data directory. The zero value allows an attempt at once.
type retryTimer struct {
	delayMs float64 // the current backoff; 0: no attempt has failed
	dueAt   float64 // when the next attempt is due, in ms of the member's clock
}

// recordFailure schedules the next attempt after a failed one, and reports whether this was the first failure.
func (retry *retryTimer) recordFailure(now float64) (first bool) {
	first = retry.delayMs == 0
	retry.delayMs = min(max(2*retry.delayMs, minDiskRetryMs), maxDiskRetryMs)
	retry.dueAt = now + retry.delayMs
	return first
}

// adoptLaterIncarnation gives storage that has never served a later incarnation if the member's previous storage turns out to have a later
// one, because the clock was behind when the new storage was created. The member then restarts its core without records. Until the
// incarnation can be stored the member stores nothing, and only the first failure is logged.
func (r *Replica) adoptLaterIncarnation() {
	latest, neverServed := r.core.NewerStorage()
	if latest == 0 || !neverServed || r.disk == nil || r.disk.busy || r.clock.Now() < r.incarnationRetry.dueAt {
		return
	}
	later := latest.Next()
	if err := r.disk.store.SetIncarnation(later); err != nil {
		if r.incarnationRetry.recordFailure(r.clock.Now()) {
			r.log.WithError(err).Error("setting a later storage incarnation failed")
		}
		r.core.FailStorage()
		return
	}
	r.incarnationRetry = retryTimer{}
	r.log.WithField("storage_incarnation", uint64(later)).Warn("clock was behind when the data directory was created, took a later storage incarnation")
	r.config.Core.StorageIncarnation, r.queuedBatches = later, nil
	r.core = idempotency.New(r.clock.Now(), r.config.Core, idempotency.NewStoredState())
}

// logState logs the state of the member if it has changed.
func (r *Replica) logState() {
	state := r.core.State()
	if state == r.loggedState {
		return
	}
	r.loggedState = state
	r.log.WithFields(logrus.Fields{
		"group":   r.config.Group,
		"state":   state,
		"records": r.core.Status(r.clock.Now()).Records,
	}).Info("idempotency replica state changed")
}

// listen resolves the members' addresses and opens the socket. The error matches syscall.EADDRINUSE while another process uses the address.
func (r *Replica) listen() error {
	for i, memberAddr := range r.config.MemberAddrs {
		addr, err := netip.ParseAddrPort(memberAddr)
		if err != nil {
			return fmt.Errorf("address of member %d: %w", i, err)
		}
		r.memberAddrs = append(r.memberAddrs, addr)
		r.memberByAddr[addr] = idempotency.MemberID(i)
	}
	addr, err := net.ResolveUDPAddr("udp", r.config.ListenAddr)
	if err != nil {
		return fmt.Errorf("resolve the address to listen at: %w", err)
	}
	if r.conn, err = net.ListenUDP("udp", addr); err != nil {
		return fmt.Errorf("listen for members: %w", err)
	}
	_ = r.conn.SetReadBuffer(readBufferBytes) // best effort: a smaller buffer only causes more retries
	return nil
}
