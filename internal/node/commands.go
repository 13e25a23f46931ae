package node

import (
	"errors"
	"fmt"
	"strings"

	"mintspring/internal/fleet"
	"mintspring/internal/node/exclusion"
)

// Names of commands on the admin port that concern both processes of a hot restart. They are sent from one to the other.
const (
	commandExclude = "maint-on"
	commandReadmit = "maint-off"
	commandStandby = "standby"
	commandActive  = "active"
)

// Status returns the phase of the node if it is ready to serve, and else the phase as an error. It implements admin.Handler, as the
// methods below do.
func (n *Node) Status() (string, error) {
	phase := n.life.Phase().String()
	if n.life.ReadyForOperators() {
		return phase, nil
	}
	if n.life.ReadyForClients() {
		phase = "taking over"
	}
	return "", errors.New(phase)
}

// ExcludeServer excludes a cache server until ReadmitServer, whatever the endpoint list says of it.
func (n *Node) ExcludeServer(id string) (string, error) {
	return n.executeEverywhere(commandExclude, id)
}

// ReadmitServer ends the exclusion of a cache server, which is then treated as one that has just started.
func (n *Node) ReadmitServer(id string) (string, error) {
	return n.executeEverywhere(commandReadmit, id)
}

// EnterStandby takes the node out of service: PING fails, and client connections are closed over some seconds.
func (n *Node) EnterStandby() (string, error) { return n.executeEverywhere(commandStandby, "") }

// LeaveStandby puts the node back into service.
func (n *Node) LeaveStandby() (string, error) { return n.executeEverywhere(commandActive, "") }

// executeEverywhere executes a command here and, during a hot restart, in the other process.
func (n *Node) executeEverywhere(command, serverID string) (string, error) {
	answer, err := n.execute(command, serverID)
	if channel, _ := n.handover.other(); channel != nil && (err == nil || errors.Is(err, errNotSaved)) {
		channel.ForwardCommand(command, serverID)
	}
	return answer, err
}

// errNotSaved says that a command is in force, and that the next process does not learn of it by the file of exclusions.
var errNotSaved = errors.New("it holds, but not beyond this process")

// executed is the result of a command on the loop.
type executed struct {
	answer       string
	exclusions   exclusion.State // to be saved
	saveSequence uint64          // 0: nothing is to be saved
}

// execute executes a command in this process. Exclusions are saved for the next process before the command is answered.
func (n *Node) execute(command, serverID string) (string, error) {
	done, err := onLoop(n, func(now float64) (executed, error) { return n.executeOnLoop(now, command, serverID) })
	if err != nil || done.saveSequence == 0 || n.handover.dir == nil {
		return done.answer, err
	}
	if err := n.handover.dir.SaveExclusions(done.exclusions, done.saveSequence); err != nil {
		return done.answer, fmt.Errorf("%w: %w", errNotSaved, err)
	}
	return done.answer, nil
}

func (n *Node) executeOnLoop(now float64, command, serverID string) (executed, error) {
	switch command {
	case commandExclude:
		changed, err := n.exclusions.Exclude(serverID, now)
		return n.excluded(now, serverID, changed, serverID+" is left out", err)
	case commandReadmit:
		changed, err := n.exclusions.Readmit(serverID, now)
		return n.excluded(now, serverID, changed, serverID+" is used as the list has it", err)
	case commandStandby:
		if n.life.EnterStandby(now) {
			n.log.Info("standby started")
		}
	case commandActive:
		if n.life.LeaveStandby() {
			n.log.Info("standby ended")
		}
	}
	return executed{answer: n.life.Phase().String()}, nil
}

// excluded applies a change of the exclusions. They are saved also when nothing has changed: what could not be saved before may be now.
func (n *Node) excluded(now float64, serverID string, changed bool, answer string, err error) (executed, error) {
	if changed {
		n.exclusionChanged(now, serverID)
	}
	if err != nil {
		return executed{answer: answer}, err
	}
	return executed{answer, n.exclusions.Export(false), n.handover.nextSaveSequence()}, nil
}

// exclusionChanged gives the policy a server whose exclusion has changed.
func (n *Node) exclusionChanged(now float64, serverID string) {
	n.log.WithField("server", serverID).WithField("excluded", strings.Join(n.exclusions.ExcludedIDs(), ",")).Info("maintenance exclusions changed")
	if id, listed := n.serverTable.SlotByID[serverID]; listed {
		n.inflight.Policy.UpdateEndpoints(now, fleet.ListLocal, []fleet.Endpoint{n.effectiveEndpoint(now, id)})
	}
}
