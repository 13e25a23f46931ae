// Package replica runs a replica of a consensus group on a UDP socket and a data directory, and has the client that sends commands to a group.
//
// An update of the consensus core is synced to the disk before any message that depends on it is sent. A replica whose disk fails stops.
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
	maxPending    = 4096 // commands whose clients are remembered
	receiveQueue  = 1024 // datagrams
	checksPerTick = 4    // of the clock
	sequenceBits  = 20   // commands of a replica are numbered from the time of its start in ms, shifted by so many bits
)

// Config configures a replica.
type Config struct {
	Group             string
	Number            uint64 // of this replica, from 1
	Generation        int    // how often it was replaced after its data directory was lost
	ListenAddr        string
	ReplicaAddrs      []string // of all replicas by their numbers less one, this one among them
	InitialVoterCount int      // the first so many vote when the group is created; 0: all
	DataDir           string
	TickInterval      time.Duration // of the consensus core
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

// Replica is a running replica. Its fields belong to the goroutine of run, except where their comments say otherwise.
type Replica struct {
	log       *logrus.Entry
	core      *consensus.Core
	store     *storage.Store
	conn      *net.UDPConn // read by readLoop, written and closed by run
	peerAddrs []netip.AddrPort
	clock     *clock.Clock

	pending       map[uint64]pendingCommand // by the request ID that the core knows
	lastRequestID uint64
	loggedVoters  string // as logged last
	loggedLeader  bool   // as logged last

	tickInterval time.Duration
	received     chan datagram // from readLoop to run
	stopping     chan struct{} // closed by Stop
	stopOnce     sync.Once
	done         chan struct{} // closed when run has ended
	err          error         // why run has ended by itself; may be read once done is closed
}

// datagram is a datagram as received.
type datagram struct {
	from    netip.AddrPort
	payload []byte
}

// pendingCommand is a command that has no result yet.
type pendingCommand struct {
	addr        netip.AddrPort // of the client
	requestID   uint64         // as the client has it
	incarnation uint64         // of the client
}

// ErrStorage is matched by the error of a replica whose data directory failed. It may be started again: what it had made durable is there.
var ErrStorage = errors.New("the data directory failed")

// Start opens the data directory and the socket, and starts the replica. It runs until Stop, or until its disk or the consensus core fails.
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
		received:     make(chan datagram, receiveQueue),
		stopping:     make(chan struct{}),
		done:         make(chan struct{}),
	}
	identity := storage.Identity{Group: config.Group, ReplicaNumber: config.Number, Generation: config.Generation}
	if r.store, err = storage.Open(config.DataDir, identity); err != nil {
		return nil, err
	}
	if err := r.open(config); err != nil {
		r.store.Close()
		return nil, err
	}
	go r.readLoop()
	go r.run()
	return r, nil
}

// open restores the core from the store, and opens the socket.
func (r *Replica) open(config Config) error {
	now := r.clock.Now()
	coreConfig := consensus.Config{
		Self:          consensus.NewReplicaID(int(config.Number), config.Generation),
		InitialVoters: config.initialVoters(),
		TickMillis:    float64(config.TickInterval) / float64(time.Millisecond),
	}
	var err error
	if r.core, err = consensus.New(now, coreConfig, r.store.State(), uint64(now)<<sequenceBits); err != nil {
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
	_ = r.conn.SetReadBuffer(socketBuffer) // with a smaller one, more datagrams are lost
	return nil
}

// Stop stops the replica and waits until it has ended.
func (r *Replica) Stop() {
	r.stopOnce.Do(func() { close(r.stopping) })
	<-r.done
}

// Done returns a channel that is closed when the replica has ended.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns why the replica has ended by itself, or nil. It may be called once Done is closed.
func (r *Replica) Err() error { return r.err }

// readLoop passes received datagrams to run until the socket is closed.
func (r *Replica) readLoop() {
	reportError := func(err error) { r.log.WithError(err).Error("receiving consensus datagrams fails") }
	datagrams.Receive(r.conn, r.stopping, reportError, func(payload []byte, from netip.AddrPort) {
		select {
		case r.received <- datagram{from, slices.Clone(payload)}:
		default: // lost, as any datagram may be
		}
	})
}

// run is the goroutine that owns the core, the store and the socket.
func (r *Replica) run() {
	defer close(r.done)
	defer r.store.Close()
	defer r.conn.Close() //nolint:errcheck // nothing is buffered
	ticker := time.NewTicker(max(r.tickInterval/checksPerTick, time.Millisecond))
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

// callCore has an event handled by the core, and processes the updates that follow from it. The library panics where the log is shorter than
// others know it to have been, as with an older copy of a data directory, in whichever call notices it first. This ends the replica and not the
// process.
func (r *Replica) callCore(handleEvent func()) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("consensus failed, as it does where the log is shorter than other replicas know it to have been: %v", p)
		}
	}()
	handleEvent()
	return r.processUpdates()
}

func (r *Replica) tick() {
	r.core.Tick(r.clock.Now())
	r.logChanges()
}

// logChanges logs a change of the voters or of the leadership.
func (r *Replica) logChanges() {
	var voters []string
	for _, id := range r.core.Voters() {
		voters = append(voters, fmt.Sprintf("%d(%d)", id.Number(), id.Generation()))
	}
	if text := strings.Join(voters, " "); text != r.loggedVoters {
		r.loggedVoters = text
		r.log.WithField("voters", text).Info("consensus voters changed")
	}
	if leader := r.core.IsLeader(); leader != r.loggedLeader {
		r.loggedLeader = leader
		r.log.WithField("leader", leader).Info("consensus leadership changed")
	}
}
