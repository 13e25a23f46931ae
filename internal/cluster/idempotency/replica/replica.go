// Package replica runs a member with idempotency records on its UDP socket and its data directory. One goroutine owns the member's core; another one
// writes and syncs what the core wants stored, batch by batch, so that a slow disk delays what this member promises and nothing that it requests of
// others. Messages that depend on a batch are sent when it is synced.
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

// Config is what a member is started with.
type Config struct {
	Group       string // the name of the fleet's records
	ListenAddr  string
	MemberAddrs []string      // of all members, by their numbers
	DataDir     string        // "": it stores nothing
	MaxBytes    int64         // of all segments in DataDir; 0: any number
	SyncDelay   time.Duration // added to each sync, for tests
	Snapshot    func() []byte // returns what FetchSnapshot of another member gets, and may take a while; nil: nothing
	Core        idempotency.Config
}

const (
	// receivedQueue is how many datagrams wait for the member's goroutine. More are dropped.
	receivedQueue = 4096
	// ticksPerRetry is how often the core is ticked within its RetryMs.
	ticksPerRetry = 4
	// minTickInterval is the shortest time between two ticks.
	minTickInterval = time.Millisecond
	// minRetryMs and maxRetryMs bound the time between two attempts at a data directory that fails.
	minRetryMs = 1000
	maxRetryMs = 60_000
	// queryTimeout is how long another goroutine waits for the member's goroutine.
	queryTimeout = time.Second
	// stopPollInterval is how often Stop looks whether the member is still busy.
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

	received chan datagram
	wake     chan struct{} // there are pending calls
	stopping chan struct{}
	stopOnce sync.Once
	done     chan struct{} // closed when run has ended
	loops    sync.WaitGroup

	mu           sync.Mutex // guards pendingCalls
	pendingCalls []func(now float64)

	// Fields of the member's goroutine, which is in run.
	core          *idempotency.Core
	disk          *disk               // nil: it stores nothing
	dataDirErr    error               // why it was not opened; not changed after Start
	syncing       []idempotency.Ready // handed to the disk
	unsynced      []idempotency.Ready // not handed to the disk yet
	loggedState   string
	snapshotFetch *snapshotFetch // nil: none is under way

	incarnationRetry retryTimer

	sendingSnapshot atomic.Bool
}

// Start opens the data directory and the socket, and runs the member until Stop. With a data directory that cannot be used it stores nothing, and logs
// why. onResult is called with each result, from the member's goroutine.
func Start(config Config, c *clock.Clock, log *logrus.Logger, onResult func(idempotency.Result)) (*Replica, error) {
	r := &Replica{
		config:       config,
		log:          log.WithField("member", config.Core.Self),
		clock:        c,
		onResult:     onResult,
		memberByAddr: map[netip.AddrPort]idempotency.MemberID{},
		received:     make(chan datagram, receivedQueue),
		wake:         make(chan struct{}, 1),
		stopping:     make(chan struct{}),
		done:         make(chan struct{}),
	}
	if err := r.listen(); err != nil {
		return nil, err
	}
	r.core = idempotency.New(c.Now(), r.config.Core, r.openDisk())
	r.loops.Go(r.readLoop)
	if r.disk != nil {
		r.loops.Go(r.disk.loop)
	}
	go r.run()
	return r, nil
}

// Stop ends the member, once all claims and settlements have ended or a time is over.
func (r *Replica) Stop(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(stopPollInterval) {
		if busy, err := query(r, func() bool { return r.core.Busy() }); err != nil || !busy {
			break
		}
	}
	r.stopOnce.Do(func() { close(r.stopping) })
	<-r.done
}

// Claim proposes a claim of a key. The deadline is in ms of the clock that the member was started with. See idempotency.Core.Claim.
func (r *Replica) Claim(number uint64, key idempotency.Key, options idempotency.ClaimOptions, deadline float64) {
	r.enqueue(func(now float64) { r.core.Claim(now, number, key, options, deadline) })
}

// Settle proposes the outcome of a granted claim. See idempotency.Core.Settle.
func (r *Replica) Settle(number uint64, outcome idempotency.Outcome, receipt []byte, deadline float64) {
	r.enqueue(func(now float64) { r.core.Settle(now, number, outcome, receipt, deadline) })
}

// Status is what a member shows to operators.
type Status struct {
	idempotency.Status
	Group         string `json:"book"`
	DataDir       string `json:"dir,omitempty"`
	Syncs         int    `json:"syncs"`
	SyncedEntries int    `json:"entries"` // that were synced
	LargestSync   int    `json:"largest"` // most entries in one sync
}

// Status returns what the member holds and has done.
func (r *Replica) Status() (Status, error) {
	return query(r, func() Status {
		s := Status{Status: r.core.Status(r.clock.Now()), Group: r.config.Group, DataDir: r.config.DataDir}
		if r.disk != nil {
			s.Syncs, s.SyncedEntries, s.LargestSync = r.disk.syncs, r.disk.entries, r.disk.largestSync
		}
		return s
	})
}

// enqueue has the member's goroutine make a call soon.
func (r *Replica) enqueue(call func(now float64)) {
	r.mu.Lock()
	r.pendingCalls = append(r.pendingCalls, call)
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// query has the member's goroutine read something.
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

// run is the member's goroutine.
func (r *Replica) run() {
	defer r.shutDown()
	retryInterval := clock.Duration(r.config.Core.RetryMs)
	ticker := time.NewTicker(max(minTickInterval, retryInterval/ticksPerRetry))
	defer ticker.Stop()
	for {
		select {
		case <-r.stopping:
			r.finishPending()
			return
		case <-ticker.C:
			r.core.Tick(r.clock.Now())
			r.takeLaterIncarnation()
			r.logState()
		case <-r.wake:
		case result := <-r.disk.resultsOf():
			r.handleDiskResult(result)
		case d := <-r.received:
			r.handleDatagrams(d)
		}
		r.runPendingCalls()
		r.processReady()
	}
}

// finishPending gives what was requested last a chance to be sent and synced.
func (r *Replica) finishPending() {
	for range 2 {
		r.runPendingCalls()
		r.processReady()
		if r.disk != nil && r.disk.busy {
			r.handleDiskResult(<-r.disk.results)
		}
	}
}

// shutDown ends the other goroutines and closes data directory and socket.
func (r *Replica) shutDown() {
	if r.disk != nil {
		r.disk.close()
	}
	_ = r.conn.Close() // nothing is buffered
	r.loops.Wait()
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

// handleDatagrams takes in a datagram and all that have arrived meanwhile, so that they share one sync.
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

// processReady sends and stores what the core wants, and hands on its results.
func (r *Replica) processReady() {
	r.collectReady()
	r.startSync()
	r.startVerification()
	r.startRecovery()
	for _, result := range r.core.TakeResults() {
		r.onResult(result)
	}
}

// collectReady sends what may be sent at once, and collects what has to be synced. Messages of the member to itself may make more of either.
func (r *Replica) collectReady() {
	for more := true; more; {
		ready := r.core.Ready()
		more = r.send(ready.Messages)
		ready.Messages = nil
		switch {
		case ready.Empty():
		case !r.stores() && !r.recovering():
			r.core.Advance(ready) // it promises nothing
		default:
			r.unsynced = append(r.unsynced, ready)
		}
	}
}

// retryTimer is when an attempt at the data directory is repeated. The zero value is before the first attempt, and after one that has succeeded.
type retryTimer struct {
	delayMs float64 // of the last repetition; 0: no attempt has failed
	dueAt   float64 // ms of the member's clock
}

// failed notes an attempt that has failed, and reports whether it is the first one.
func (retry *retryTimer) failed(now float64) (first bool) {
	first = retry.delayMs == 0
	retry.delayMs = min(max(2*retry.delayMs, minRetryMs), maxRetryMs)
	retry.dueAt = now + retry.delayMs
	return first
}

// takeLaterIncarnation gives the storage a later incarnation if the clock was behind that of the storage before when it was made. The storage has
// never served, and the member begins again with none of its records. Until an attempt succeeds it stores nothing; the first failure is logged.
func (r *Replica) takeLaterIncarnation() {
	latest, neverServed := r.core.NewerStorage()
	if latest == 0 || !neverServed || r.disk == nil || r.disk.busy || r.clock.Now() < r.incarnationRetry.dueAt {
		return
	}
	later := latest.Next()
	if err := r.disk.store.SetIncarnation(later); err != nil {
		if r.incarnationRetry.failed(r.clock.Now()) {
			r.log.WithError(err).Error("setting a later storage incarnation failed")
		}
		r.core.FailStorage()
		return
	}
	r.incarnationRetry = retryTimer{}
	r.log.WithField("storage_incarnation", uint64(later)).Warn("clock was behind when the data directory was created, took a later storage incarnation")
	r.config.Core.StorageIncarnation, r.unsynced = later, nil
	r.core = idempotency.New(r.clock.Now(), r.config.Core, idempotency.NewStoredState())
}

// logState logs the state of the member when it has changed.
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

// listen resolves the members' addresses and opens the socket. The error matches syscall.EADDRINUSE while another process has it.
func (r *Replica) listen() error {
	for i, text := range r.config.MemberAddrs {
		addr, err := netip.ParseAddrPort(text)
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
	_ = r.conn.SetReadBuffer(readBufferBytes) // with a smaller one more datagrams are lost, and sent again
	return nil
}
