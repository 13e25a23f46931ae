package node

import (
	"errors"
	"fmt"
	"strings"

	"mintspring/internal/fleet"
	"mintspring/internal/node/exclusion"
)

// Commands of the admin port that are executed by both processes during a hot restart. The process that receives a command forwards it to
// the other.
const (
	commandExclude = "maint-on"
	commandReadmit = "maint-off"
	commandStandby = "standby"
	commandActive  = "active"
)

// Status returns the phase of the node if it is ready to serve, and the phase as an error otherwise. It implements admin.Handler, as the
// methods below do.
func (n *Node) Status() (string, error) {
	phase := n.lifecycle.Phase().String()
	if n.lifecycle.ReadyForOperators() {
		return phase, nil
	}
	if n.lifecycle.ReadyForClients() {
		phase = "taking over"
	}
	return "", errors.New(phase)
}

// ExcludeServer excludes a cache server until ReadmitServer, regardless of its state in the endpoint list.
func (n *Node) ExcludeServer(id string) (string, error) {
	return n.executeInBothProcesses(commandExclude, id)
}

// ReadmitServer ends the exclusion of a cache server. The server is then treated as just started.
func (n *Node) ReadmitServer(id string) (string, error) {
	return n.executeInBothProcesses(commandReadmit, id)
}

// EnterStandby takes the node out of service: PING fails, and client connections are closed over some seconds.
func (n *Node) EnterStandby() (string, error) { return n.executeInBothProcesses(commandStandby, "") }

// LeaveStandby puts the node back into service.
func (n *Node) LeaveStandby() (string, error) { return n.executeInBothProcesses(commandActive, "") }

// executeInBothProcesses executes a command here and, during a hot restart, in the other process.
func (n *Node) executeInBothProcesses(command, serverID string) (string, error) {
	answer, err := n.execute(command, serverID)
	if channel, _ := n.handover.otherProcess(); channel != nil && (err == nil || errors.Is(err, errNotSaved)) {
		channel.ForwardCommand(command, serverID)
	}
	return answer, err
}

// errNotSaved reports that a command is in force, but that the exclusions could not be saved for the next process.
var errNotSaved = errors.New("it holds, but not beyond this process")

// commandResult is the result of a command on the loop.
type commandResult struct {
	answer       string
	exclusions   exclusion.State // to be saved
	saveSequence uint64          // 0: nothing is to be saved
}

// execute executes a command in this process. Exclusions are saved for the next process before the command is answered.
func (n *Node) execute(command, serverID string) (string, error) {
	result, err := onLoop(n, func(now float64) (commandResult, error) { return n.executeOnLoop(now, command, serverID) })
	if err != nil || result.saveSequence == 0 || n.handover.dir == nil {
		return result.answer, err
	}
	if err := n.handover.dir.SaveExclusions(result.exclusions, result.saveSequence); err != nil {
		return result.answer, fmt.Errorf("%w: %w", errNotSaved, err)
	}
	return result.answer, nil
}

func (n *Node) executeOnLoop(now float64, command, serverID string) (commandResult, error) {
	switch command {
	case commandExclude:
		changed, err := n.exclusions.Exclude(serverID, now)
		return n.exclusionResult(now, serverID, changed, serverID+" is left out", err)
	case commandReadmit:
		changed, err := n.exclusions.Readmit(serverID, now)
		return n.exclusionResult(now, serverID, changed, serverID+" is used as the list has it", err)
	case commandStandby:
		if n.lifecycle.EnterStandby(now) {
			n.log.Info("standby started")
		}
	case commandActive:
		if n.lifecycle.LeaveStandby() {
			n.log.Info("standby ended")
		}
	}
	return commandResult{answer: n.lifecycle.Phase().String()}, nil
}

// exclusionResult applies a change of the exclusions and returns the result of the command. The exclusions are saved even if nothing has
// changed: an earlier save may have failed.
func (n *Node) exclusionResult(now float64, serverID string, changed bool, answer string, err error) (commandResult, error) {
	if changed {
		n.exclusionChanged(now, serverID)
	}
	if err != nil {
		return commandResult{answer: answer}, err
	}
	return commandResult{answer, n.exclusions.Export(false), n.handover.nextSaveSequence()}, nil
}

// exclusionChanged logs the exclusions and passes the server whose exclusion has changed to the policy.
func (n *Node) exclusionChanged(now float64, serverID string) {
	n.log.WithField("server", serverID).WithField("excluded", strings.Join(n.exclusions.ExcludedIDs(), ",")).Info("maintenance exclusions changed")
	if id, listed := n.serverTable.SlotByID[serverID]; listed {
		n.inflight.Policy.UpdateEndpoints(now, fleet.ListLocal, []fleet.Endpoint{n.effectiveEndpoint(now, id)})
	}
}
