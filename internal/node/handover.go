package node

import (
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/clock"
	"mintspring/internal/node/hotrestart"
	"mintspring/internal/node/lifecycle"
)

// handoverPhase is what this process is to the other process of the node during a hot restart.
type handoverPhase uint8

const (
	noHandover       handoverPhase = iota // there is no other process
	successorJoined                       // this is the predecessor; its successor has the state and does not serve yet
	successorServing                      // this is the predecessor; its successor serves
	joining                               // this is the successor; it does not serve yet
	takenOver                             // this is the successor; it serves, and the predecessor still has clients
)

// isSuccessor reports whether the other process is the older one.
func (p handoverPhase) isSuccessor() bool { return p == joining || p == takenOver }

// successorAccepts reports whether new clients reach another process. Stop then gives them no grace period here.
func (p handoverPhase) successorAccepts() bool { return p == successorServing }

// handover is the relation to the other process of the node, while one takes over from the other. Both together keep to the limits of
// one node.
type handover struct {
	dir       *hotrestart.Dir // nil: there is no hot restart. Set before Serve
	takenOver chan struct{}   // closed once this process has taken over

	mu      sync.Mutex          // guards channel and phase; held while descriptors are lent, so that none are lent to a lost process
	channel *hotrestart.Channel // nil: there is no other process
	phase   handoverPhase

	saveSequence uint64 // of the exclusions saved last; owned by the loop
}

// nextSaveSequence numbers the exclusions to save, so that an older save never replaces a newer one. The loop calls it.
func (h *handover) nextSaveSequence() uint64 {
	h.saveSequence++
	return h.saveSequence
}

// set begins a phase with the process at the other end of a channel.
func (h *handover) set(channel *hotrestart.Channel, phase handoverPhase) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.channel, h.phase = channel, phase
}

// other returns the channel to the other process, nil for none, and the phase.
func (h *handover) other() (*hotrestart.Channel, handoverPhase) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.channel, h.phase
}

// markServing says that the successor of the two serves, whichever of them this process is. It changes nothing where the other one was
// lost before that.
func (h *handover) markServing() {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch h.phase {
	case successorJoined:
		h.phase = successorServing
	case joining:
		h.phase = takenOver
	}
}

const (
	// descriptorReportInterval is the time between two messages to the other process about the descriptors held here.
	descriptorReportInterval = 20 * time.Millisecond
	// successorDivisor gives the successor 1/successorDivisor of the descriptors until it serves.
	successorDivisor = 4
	// descriptorSlack is by how many descriptors the two processes may be wrong about each other while messages are on their way.
	descriptorSlack = 8
	// listenRetryInterval is the time between two attempts to listen for a successor.
	listenRetryInterval = 50 * time.Millisecond
	// readyPollInterval is the time between two looks at whether a successor can serve.
	readyPollInterval = 5 * time.Millisecond
)

// SetMemoryLimit sets the soft limit of the Go runtime for a process that is one of several of its node. A quarter of the node's
// limit is left for what the runtime does not count.
func SetMemoryLimit(mb, processes int) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * 3 / 4 / int64(processes))
	}
}

// StartHandover takes over from the predecessor, where join is not nil, and then listens for a successor. It is called before Serve.
// Without a directory there is no hot restart.
func (n *Node) StartHandover(dir *hotrestart.Dir, join *hotrestart.Handover) {
	if dir == nil {
		return
	}
	n.handover.dir = dir
	if join == nil {
		n.startAlone(dir)
		return
	}
	n.life.SetPredecessor(true)
	n.shareLimits(n.descriptors.Limit() * (successorDivisor - 1) / successorDivisor)
	n.restoreTransfer(n.clock.Now(), &join.State)
	// Set before the channel is read: if the other process is gone already, PeerLost has to know what to undo.
	channel := join.Channel()
	n.handover.set(channel, joining)
	join.Start(n)
	go n.reportDescriptors(channel)
	go n.becomeReady(channel, join.State.Descriptors)
}

func (n *Node) startAlone(dir *hotrestart.Dir) {
	excluded, err := dir.LoadExclusions()
	if err != nil {
		n.log.WithError(err).Warn("cannot load the saved exclusions; no cache server is excluded by them")
	}
	excluded.RebaseStored(n.clock.Now())
	n.exclusions.Import(excluded)
	n.reapplyExclusions(n.clock.Now())
	n.listenForSuccessor()
}

// becomeReady waits until this process can serve, and announces it to the predecessor. It ends then, or with the node.
func (n *Node) becomeReady(channel *hotrestart.Channel, held int) {
	for !n.life.CanServe() {
		select {
		case <-n.quit:
			return
		case <-time.After(readyPollInterval):
		}
	}
	n.handover.markServing()
	n.lendDescriptors(channel, held+descriptorSlack) // from the announcement on the predecessor takes no more than it has
	if err := channel.AnnounceReady(); err != nil {
		n.log.WithError(err).Warn("cannot announce readiness to the predecessor")
	}
	n.listenForSuccessor() // before operators are told that this process is ready: they may start the next one then
	n.life.SetPredecessor(false)
	n.frontend.ResumeAccept()
	n.log.Info("took over from the predecessor")
	close(n.handover.takenOver)
}

// TakenOver returns a channel that is closed once this process has taken over from another one. For a process that has started alone it never is.
func (n *Node) TakenOver() <-chan struct{} { return n.handover.takenOver }

// listenForSuccessor has successors reach this process. Where that is not possible for the moment, it is tried again until it is.
func (n *Node) listenForSuccessor() {
	err := n.handover.dir.Listen(n)
	if err == nil {
		return
	}
	n.log.WithError(err).Warn("cannot listen for a successor; retrying")
	go func() { // ends with the first success, or with the node
		for err != nil {
			select {
			case <-n.quit:
				return
			case <-time.After(listenRetryInterval):
				err = n.handover.dir.Listen(n)
			}
		}
		n.log.Info("listening for a successor")
	}()
}

// shareLimits leaves descriptors to the other process, and half of the memory.
func (n *Node) shareLimits(othersDescriptors int) {
	n.descriptors.Lend(othersDescriptors)
	SetMemoryLimit(n.memoryMB, 2)
}

// reclaimLimits takes back what was left to the other process.
func (n *Node) reclaimLimits() {
	n.descriptors.Lend(0)
	SetMemoryLimit(n.memoryMB, 1)
}

// lendDescriptors leaves descriptors to the process at the other end of a channel, unless that has been lost meanwhile: it would
// keep them for good.
func (n *Node) lendDescriptors(channel *hotrestart.Channel, count int) {
	n.handover.mu.Lock()
	defer n.handover.mu.Unlock()
	if channel != nil && n.handover.channel == channel {
		n.descriptors.Lend(count)
	}
}

// reportDescriptors sends the number of descriptors that this process holds every descriptorReportInterval. It ends with the channel.
func (n *Node) reportDescriptors(channel *hotrestart.Channel) {
	for ; ; time.Sleep(descriptorReportInterval) {
		held := n.descriptors.Held()
		current, phase := n.handover.other()
		if current != channel {
			return
		}
		if phase == successorServing {
			n.lendDescriptors(channel, n.descriptors.Limit()-held) // this process takes no more: what it releases is the successor's
		}
		if channel.ReportDescriptors(held) != nil {
			return
		}
	}
}

// SuccessorJoined returns the state for a successor that has connected. One whose state is not had in time is refused: without any it
// would serve with no exclusions and no servers. While the predecessor of this process has not ended, a successor is told to wait: three
// processes could neither keep to the limits of one node, nor would all learn of operators' commands. It implements hotrestart.Handler,
// as the methods below do.
func (n *Node) SuccessorJoined(channel *hotrestart.Channel) (hotrestart.State, error) {
	if _, phase := n.handover.other(); phase.isSuccessor() {
		return hotrestart.State{}, hotrestart.ErrBusy
	}
	type transfer struct {
		state hotrestart.State
		pause time.Duration // for so long the loop did nothing else
	}
	t, err := onLoopWithin(n, hotrestart.StateTimeout, func(now float64) (transfer, error) {
		start := time.Now()
		state := n.stateTransfer(now)
		pause := time.Since(start)
		n.handover.set(channel, successorJoined)
		return transfer{state, pause}, nil
	})
	if err != nil {
		n.log.WithError(err).Warn("cannot export the state for the successor, which is refused")
		return hotrestart.State{}, err
	}
	t.state.Clock, t.state.Monotonic = n.clock.Now(), clock.Monotonic()
	n.log.WithField("pause", t.pause).Info("successor connected")
	n.shareLimits(n.descriptors.Limit() / successorDivisor)
	go n.reportDescriptors(channel)
	return t.state, nil
}

// SuccessorReady hands new clients to the successor, which serves now, and each client between two of its requests.
func (n *Node) SuccessorReady() {
	channel, _ := n.handover.other()
	n.handover.markServing()
	n.life.SetSuccessor(true)
	n.frontend.SetHandover(channel.PassClient)
	n.frontend.DrainConns()
	n.upstreams.CloseUnused()
	n.log.Info("successor ready, handing over client connections")
	_ = n.runOnLoop(func(float64) {}) // it wakes the loop, which sweeps the clients that are left; a busy one is awake
}

// ApplyCommand executes an admin command that was received by the other process.
func (n *Node) ApplyCommand(command hotrestart.Command) {
	if _, err := n.execute(command.Name, command.ServerID); err != nil {
		n.log.WithError(err).WithFields(logrus.Fields{"command": command.Name, "server": command.ServerID}).
			Warn("admin command executed by the other process only")
	}
}

// PeerDescriptorsReported takes the number of descriptors that the other process holds. A predecessor that no longer serves needs no more.
func (n *Node) PeerDescriptorsReported(held int) {
	if channel, phase := n.handover.other(); phase == takenOver {
		n.lendDescriptors(channel, held+descriptorSlack)
	}
}

// AdoptClient serves a client connection that the predecessor has passed on. hasRequested says whether the client has sent a request.
func (n *Node) AdoptClient(conn net.Conn, hasRequested bool) { n.frontend.Adopt(conn, hasRequested) }

// PeerLost makes this process the only one of the node: the other one is gone or cannot be understood.
func (n *Node) PeerLost(cause error) {
	phase := n.handover.reset(n.reclaimLimits)
	if phase.isSuccessor() {
		n.life.SetPredecessor(false)
		n.frontend.ResumeAccept()
		n.log.WithError(cause).Info("predecessor disconnected")
		return
	}
	n.log.WithError(cause).Warn("successor disconnected, this process serves alone")
	n.frontend.SetHandover(nil)
	n.life.SetSuccessor(false)
	n.frontend.ResumeAccept()
	if phase.successorAccepts() && n.life.Phase() != lifecycle.Stopping {
		n.listenForSuccessor()
	}
}

// reset ends the handover and returns the phase before. It calls reclaim before anything can be lent again.
func (h *handover) reset(reclaim func()) handoverPhase {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.phase
	h.channel, h.phase = nil, noHandover
	reclaim()
	return before
}
