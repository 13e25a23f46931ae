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

// handoverPhase is the role of this process, and its progress, in a hot restart with another process of the node.
type handoverPhase uint8

const (
	noHandover       handoverPhase = iota // there is no other process
	successorJoined                       // this is the predecessor; its successor has received the state and does not serve yet
	successorServing                      // this is the predecessor; its successor serves
	joining                               // this is the successor; it does not serve yet
	takenOver                             // this is the successor; it serves, and the predecessor still has connections of clients
)

// isSuccessor reports whether this process is the successor.
func (p handoverPhase) isSuccessor() bool { return p == joining || p == takenOver }

// successorAccepts reports whether new clients connect to the successor. Stop then needs no grace period for them.
func (p handoverPhase) successorAccepts() bool { return p == successorServing }

// handover is the state of a hot restart, in which a process of the node takes over from another one. Together the two keep to the limits
// of one node.
type handover struct {
	dir       *hotrestart.Dir // nil: hot restart is disabled. Set before Serve
	takenOver chan struct{}   // closed once this process has taken over

	mu      sync.Mutex          // guards channel and phase; held while descriptors are lent, so that none are lent to a process that is gone
	channel *hotrestart.Channel // nil: there is no other process
	phase   handoverPhase

	saveSequence uint64 // sequence number of the last saved exclusions; owned by the loop
}

// nextSaveSequence numbers the exclusions to save, so that an older save never replaces a newer one. The loop calls it.
func (h *handover) nextSaveSequence() uint64 {
	h.saveSequence++
	return h.saveSequence
}

// begin sets the channel to the other process, and the phase.
func (h *handover) begin(channel *hotrestart.Channel, phase handoverPhase) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.channel, h.phase = channel, phase
}

// otherProcess returns the channel to the other process, or nil if there is none, and the phase.
func (h *handover) otherProcess() (*hotrestart.Channel, handoverPhase) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.channel, h.phase
}

// markSuccessorServing records that the successor serves, whichever of the two processes this is. It changes nothing if the connection to
// the other process was lost before.
func (h *handover) markSuccessorServing() {
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
	// descriptorReportInterval is the time between two messages to the other process about the descriptors that this process holds.
	descriptorReportInterval = 20 * time.Millisecond
	// successorDivisor gives the successor 1/successorDivisor of the descriptors until it serves. From then on the predecessor keeps at most
	// as many for the connections that its remaining requests need.
	successorDivisor = 4
	// descriptorSlack is the number of descriptors by which the counts of the two processes may differ while reports are on their way.
	descriptorSlack = 8
	// listenRetryInterval is the time between two attempts to listen for a successor.
	listenRetryInterval = 50 * time.Millisecond
	// readyPollInterval is the interval at which a successor checks whether it can serve.
	readyPollInterval = 5 * time.Millisecond
)

// SetMemoryLimit sets the soft memory limit of the Go runtime in one of the processes of a node. A quarter of the node's limit is left for
// memory that the runtime does not count.
func SetMemoryLimit(mb, processes int) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * 3 / 4 / int64(processes))
	}
}

// StartHandover takes over from a predecessor, or starts alone if predecessor is nil, and then listens for a successor. It is called before
// Serve. If dir is nil, hot restart is disabled.
func (n *Node) StartHandover(dir *hotrestart.Dir, predecessor *hotrestart.Handover) {
	if dir == nil {
		return
	}
	n.handover.dir = dir
	if predecessor == nil {
		n.startAlone(dir)
		return
	}
	n.lifecycle.SetPredecessor(true)
	n.shareLimits(n.descriptors.Limit() * (successorDivisor - 1) / successorDivisor)
	n.restoreTransfer(n.clock.Now(), &predecessor.State)
	// The phase is set before the channel is read: if the predecessor is gone already, PeerLost needs the phase to undo the handover.
	channel := predecessor.Channel()
	n.handover.begin(channel, joining)
	predecessor.Start(n)
	go n.reportDescriptors(channel)
	go n.becomeReady(channel, predecessor.State.Descriptors)
}

func (n *Node) startAlone(dir *hotrestart.Dir) {
	saved, err := dir.LoadExclusions()
	if err != nil {
		n.log.WithError(err).Warn("cannot load the saved exclusions; no cache server is excluded by them")
	}
	saved.RebaseStored(n.clock.Now())
	n.exclusions.Import(saved)
	n.reapplyEndpoints(n.clock.Now())
	n.listenForSuccessor()
}

// becomeReady waits until this process can serve, and announces that to the predecessor. It returns after the takeover, or when the node
// stops.
func (n *Node) becomeReady(channel *hotrestart.Channel, held int) {
	for !n.lifecycle.CanServe() {
		select {
		case <-n.quit:
			return
		case <-time.After(readyPollInterval):
		}
	}
	n.handover.markSuccessorServing()
	n.lendDescriptors(channel, held+descriptorSlack+n.retirementReserve()) // until the predecessor reports what it needs
	if err := channel.AnnounceReady(); err != nil {
		n.log.WithError(err).Warn("cannot announce readiness to the predecessor")
	}
	n.listenForSuccessor() // before this process reports ready to operators, who may then start the next successor
	n.lifecycle.SetPredecessor(false)
	n.frontend.ResumeAccept()
	n.log.Info("took over from the predecessor")
	close(n.handover.takenOver)
}

// TakenOver returns a channel that is closed once this process has taken over from a predecessor. The channel of a process without a
// predecessor is never closed.
func (n *Node) TakenOver() <-chan struct{} { return n.handover.takenOver }

// listenForSuccessor listens for a successor, and retries in the background if that fails.
func (n *Node) listenForSuccessor() {
	err := n.handover.dir.Listen(n)
	if err == nil {
		return
	}
	n.log.WithError(err).Warn("cannot listen for a successor; retrying")
	go func() { // ends with the first success, or when the node stops
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

// shareLimits lends descriptors to the other process, and half of the memory.
func (n *Node) shareLimits(lentDescriptors int) {
	n.descriptors.Lend(lentDescriptors)
	n.setProcesses(2)
}

// reclaimLimits takes back the descriptors and the memory that were lent to the other process.
func (n *Node) reclaimLimits() {
	n.descriptors.Lend(0)
	n.setProcesses(1)
}

// setProcesses divides the memory among the processes of the node.
func (n *Node) setProcesses(processes int) {
	SetMemoryLimit(n.memoryMB, processes)
	n.frontend.ReplyMemory.SetProcesses(processes)
}

// lendDescriptors lends descriptors to the process at the other end of a channel, unless the channel has been lost: descriptors
// lent after that would never be returned.
func (n *Node) lendDescriptors(channel *hotrestart.Channel, count int) {
	n.handover.mu.Lock()
	defer n.handover.mu.Unlock()
	if channel != nil && n.handover.channel == channel {
		n.descriptors.Lend(count)
	}
}

// reportDescriptors sends the number of descriptors that this process holds or may still acquire beside a successor that serves, every
// descriptorReportInterval, until the channel is lost.
func (n *Node) reportDescriptors(channel *hotrestart.Channel) {
	for ; ; time.Sleep(descriptorReportInterval) {
		usable := n.retireDescriptors(channel)
		if current, _ := n.handover.otherProcess(); current != channel {
			return
		}
		if channel.ReportDescriptors(usable) != nil {
			return
		}
	}
}

// retireDescriptors leaves to a successor that serves the descriptors that this process does not need. It returns how many this process
// holds or may still acquire.
func (n *Node) retireDescriptors(channel *hotrestart.Channel) (usable int) {
	if current, phase := n.handover.otherProcess(); current != channel || phase != successorServing {
		return n.descriptors.Held()
	}
	pending := n.frontend.PendingCommands()
	if pending == 0 {
		n.upstreams.CloseUnused()
	}
	n.handover.mu.Lock()
	defer n.handover.mu.Unlock()
	if n.handover.channel != channel { // it was lost meanwhile
		return n.descriptors.Held()
	}
	return n.descriptors.Retire(min(pending, n.retirementReserve()))
}

// retirementReserve returns how many descriptors a predecessor may keep for connections to servers that it has not opened yet. Requests of
// clients that are never between two stay with it, and need connections for attempts, retries and the origin.
func (n *Node) retirementReserve() int { return n.descriptors.Limit() / successorDivisor }

// SuccessorJoined returns the state for a successor that has connected. If the state cannot be exported in time, the successor is refused,
// because without the state it would serve with neither exclusions nor servers. While the predecessor of this process is still running,
// SuccessorJoined returns ErrBusy, which tells the successor to wait: three processes could not keep to the limits of one node, and not all
// of them would receive operators' commands. SuccessorJoined implements hotrestart.Handler, as the methods below do.
func (n *Node) SuccessorJoined(channel *hotrestart.Channel) (hotrestart.State, error) {
	if _, phase := n.handover.otherProcess(); phase.isSuccessor() {
		return hotrestart.State{}, hotrestart.ErrBusy
	}
	type export struct {
		state hotrestart.State
		pause time.Duration // how long the export blocked the loop
	}
	exported, err := onLoopWithin(n, hotrestart.StateTimeout, func(now float64) (export, error) {
		start := time.Now()
		state := n.stateTransfer(now)
		pause := time.Since(start)
		n.handover.begin(channel, successorJoined)
		return export{state, pause}, nil
	})
	if err != nil {
		n.log.WithError(err).Warn("cannot export the state; refusing the successor")
		return hotrestart.State{}, err
	}
	exported.state.Clock, exported.state.Monotonic = n.clock.Now(), clock.Monotonic()
	n.log.WithField("pause", exported.pause).Info("successor connected")
	n.shareLimits(n.descriptors.Limit() / successorDivisor)
	go n.reportDescriptors(channel)
	return exported.state, nil
}

// SuccessorReady passes new clients to the successor, which serves now. Existing clients follow when they have no request in flight.
func (n *Node) SuccessorReady() {
	channel, _ := n.handover.otherProcess()
	n.handover.markSuccessorServing()
	n.lifecycle.SetSuccessor(true)
	n.frontend.SetHandover(channel.PassClient)
	n.frontend.DrainConns()
	n.upstreams.CloseUnused()
	n.log.Info("successor ready, handing over client connections")
	_ = n.runOnLoop(func(float64) {}) // wakes the loop, which passes on the remaining clients; errLoopBusy means that the loop is awake
}

// ApplyCommand executes an admin command that was received by the other process.
func (n *Node) ApplyCommand(command hotrestart.Command) {
	if _, err := n.execute(command.Name, command.ServerID); err != nil {
		n.log.WithError(err).WithFields(logrus.Fields{"command": command.Name, "server": command.ServerID}).
			Warn("admin command executed by the other process only")
	}
}

// PeerDescriptorsReported handles a report of the number of descriptors that the other process holds. A predecessor that no longer serves needs
// no further descriptors.
func (n *Node) PeerDescriptorsReported(held int) {
	if channel, phase := n.handover.otherProcess(); phase == takenOver {
		n.lendDescriptors(channel, held+descriptorSlack)
	}
}

// AdoptClient serves a client connection that the predecessor has passed on. hasRequested is true if the client has sent a request.
func (n *Node) AdoptClient(conn net.Conn, hasRequested bool) { n.frontend.Adopt(conn, hasRequested) }

// PeerLost makes this process the only one of the node: the other one is gone, or its messages are malformed.
func (n *Node) PeerLost(cause error) {
	phase := n.handover.end(n.reclaimLimits)
	if phase.isSuccessor() {
		n.lifecycle.SetPredecessor(false)
		n.frontend.ResumeAccept()
		n.log.WithError(cause).Info("predecessor disconnected")
		return
	}
	n.log.WithError(cause).Warn("successor disconnected, this process serves alone")
	n.frontend.SetHandover(nil)
	n.lifecycle.SetSuccessor(false)
	n.frontend.ResumeAccept()
	if phase.successorAccepts() && n.lifecycle.Phase() != lifecycle.Stopping {
		n.listenForSuccessor()
	}
}

// end ends the handover and returns its last phase. It calls reclaim before descriptors can be lent again.
func (h *handover) end(reclaim func()) handoverPhase {
	h.mu.Lock()
	defer h.mu.Unlock()
	lastPhase := h.phase
	h.channel, h.phase = nil, noHandover
	reclaim()
	return lastPhase
}
