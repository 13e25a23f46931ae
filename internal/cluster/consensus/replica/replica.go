// Package replica runs a replica of a consensus group on a UDP socket and a data directory. It also provides the client that sends commands to a
// group.
//
// Each update of the consensus core is synced to disk before any message that depends on it is sent. A replica stops if its disk fails.
package replica

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/clock"
	"mintspring/internal/cluster/consensus"
	"mintspring/internal/cluster/consensus/storage"
	datagrams "mintspring/internal/cluster/datagram"
)

const (
	maxPendingCommands = 4096 // commands without a result whose client addresses are kept
	receiveQueueLength = 1024 // received datagrams waiting for the run goroutine
	clockChecksPerTick = 4    // how often the clock is checked per tick of the consensus core
	// A replica numbers its commands from its start time in ms shifted left by sequenceShiftBits, so that the numbers exceed those of its earlier
	// processes.
	sequenceShiftBits = 20
)

// Config configures a replica.
type Config struct {
	Group             string
	Number            uint64 // 1 for the first of ReplicaAddrs
	Generation        int    // how often this replica was replaced after losing its data directory
	ListenAddr        string
	ReplicaAddrs      []string // all replicas including this one; replica n is at index n-1
	InitialVoterCount int      // replicas 1 to InitialVoterCount vote when the group is created; 0: all replicas vote
	DataDir           string
	TickInterval      time.Duration // interval between ticks of the consensus core
}

// initialVoters returns the replicas that vote when the group is created.
func (c Config) initialVoters() []consensus.ReplicaID {
	n := len(c.ReplicaAddrs)
	if c.InitialVoterCount != 0 {
		n = max(0, min(n, c.InitialVoterCount))
	}
	voters := make([]consensus.ReplicaID, 0, n)
	for i := range n {
		voters = append(voters, consensus.NewReplicaID(i+1, 0))
	}
	return voters
}

// Replica is a running replica. Only the goroutine of run uses its fields, unless their comments say otherwise.
type Replica struct {
	log       *logrus.Entry
	core      *consensus.Core
	store     *storage.Store
	conn      *net.UDPConn // readLoop reads from it; run writes to it and closes it
	peerAddrs []netip.AddrPort
	clock     *clock.Clock

	assembler assembler // of fragments that are received

	fragmentsMu       sync.Mutex // guards the next two fields; goroutines that send fragments use them too
	sendingFragments  map[netip.AddrPort]bool
	lastMessageNumber uint32 // of a message sent in fragments

	pending          map[uint64]pendingCommand // commands passed to the core, by the request ID that Propose was given
	lastRequestID    uint64
	lastLoggedVoters string
	lastLoggedLeader bool // whether this replica was the leader

	tickInterval time.Duration
	received     chan datagram // from readLoop to run
	stopping     chan struct{} // closed by Stop
	stopOnce     sync.Once
	done         chan struct{} // closed when run has ended
	err          error         // why run ended without Stop, nil after Stop; read it only once done is closed
}

// datagram is a received datagram with its sender.
type datagram struct {
	from    netip.AddrPort
	payload []byte
}

// pendingCommand is a command that has no result yet.
type pendingCommand struct {
	clientAddr        netip.AddrPort
	clientRequestID   uint64 // chosen by the client; differs from the ID passed to the core
	clientIncarnation uint64
}

// ErrStorage reports that a replica could not write to its data directory. The replica may be started again: all updates that were saved before the
// failure are still there.
var ErrStorage = errors.New("the data directory failed")

// Start opens the data directory and the socket, and starts the replica. The replica runs until Stop is called, or until its disk or the consensus
// core fails.
func Start(config Config, log *logrus.Logger) (*Replica, error) {
	addrs, err := parseReplicaAddrs(config.ReplicaAddrs)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		log:          log.WithField("replica", config.Number),
		peerAddrs:    addrs,
		clock:        clock.New(),
		pending:      map[uint64]pendingCommand{},
		tickInterval: config.TickInterval,
		received:     make(chan datagram, receiveQueueLength),
		stopping:     make(chan struct{}),
		done:         make(chan struct{}),
	}
	identity := storage.Identity{Group: config.Group, ReplicaNumber: config.Number, Generation: config.Generation}
	if r.store, err = storage.Open(config.DataDir, identity); err != nil {
		return nil, err
	}
	if err := r.openCoreAndSocket(config); err != nil {
		r.store.Close()
		return nil, err
	}
	go r.readLoop()
	go r.run()
	return r, nil
}

// openCoreAndSocket restores the core from the data directory, and opens the socket.
func (r *Replica) openCoreAndSocket(config Config) error {
	now := r.clock.Now()
	coreConfig := consensus.Config{
		Self:          consensus.NewReplicaID(int(config.Number), config.Generation),
		InitialVoters: config.initialVoters(),
		TickMillis:    float64(config.TickInterval) / float64(time.Millisecond),
	}
	var err error
	if r.core, err = consensus.New(now, coreConfig, r.store.State(), uint64(now)<<sequenceShiftBits); err != nil {
		return err
	}
	if u, ok := r.core.InitialUpdate(); ok {
		if err := r.store.Save(u); err != nil {
			return err
		}
	}
	if r.conn, err = listenUDP(config.ListenAddr); err != nil {
		return err
	}
	_ = r.conn.SetReadBuffer(socketBufferBytes) // after an error the buffer stays smaller, and bursts lose more datagrams
	return nil
}

// Stop stops the replica and waits until it has ended.
func (r *Replica) Stop() {
	r.stopOnce.Do(func() { close(r.stopping) })
	<-r.done
}

// Done returns a channel that is closed when the replica has ended.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns why the replica has ended, or nil if it was stopped. It may only be called once the channel of Done is closed.
func (r *Replica) Err() error { return r.err }

// readLoop passes received datagrams to run until the socket is closed.
func (r *Replica) readLoop() {
	reportError := func(err error) { r.log.WithError(err).Error("receiving consensus datagrams fails") }
	datagrams.Receive(r.conn, r.stopping, reportError, func(payload []byte, from netip.AddrPort) {
		select {
		case r.received <- datagram{from, slices.Clone(payload)}:
		default: // the queue is full; the protocol tolerates lost datagrams
		}
	})
}

// run is the goroutine that owns the core, the store and the socket.
func (r *Replica) run() {
	defer close(r.done)
	defer r.store.Close()
	defer r.conn.Close() //nolint:errcheck // nothing is buffered
	ticker := time.NewTicker(max(r.tickInterval/clockChecksPerTick, time.Millisecond))
	defer ticker.Stop()
	for {
		var err error
		select {
		case <-r.stopping:
			return
		case <-ticker.C:
			err = r.callCore(r.tick)
		case d := <-r.received:
			err = r.callCore(func() { r.handleReceived(d) })
		}
		if err != nil {
			r.err = err
			r.log.WithError(err).Error("consensus replica stopped")
			return
		}
	}
}

// callCore handles an event, and processes the updates that result from it. It turns a panic of the Raft library into an error, which ends the
// replica and not the process. Any call of the library panics if it finds the log shorter than other replicas know it to be, as happens when the
// data directory was restored from an older copy.
func (r *Replica) callCore(handleEvent func()) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("consensus failed, possibly because the data directory is an older copy and its log is shorter than other replicas expect: %v", p)
		}
	}()
	handleEvent()
	return r.processUpdates()
}

func (r *Replica) tick() {
	r.core.Tick(r.clock.Now())
	r.logChanges()
}

// logChanges logs when the voters or the leadership of this replica have changed.
func (r *Replica) logChanges() {
	var voters []string
	for _, id := range r.core.Voters() {
		voters = append(voters, fmt.Sprintf("%d(%d)", id.Number(), id.Generation()))
	}
	if voterList := strings.Join(voters, " "); voterList != r.lastLoggedVoters {
		r.lastLoggedVoters = voterList
		r.log.WithField("voters", voterList).Info("consensus voters changed")
	}
	if leader := r.core.IsLeader(); leader != r.lastLoggedLeader {
		r.lastLoggedLeader = leader
		r.log.WithField("leader", leader).Info("consensus leadership changed")
	}
}
