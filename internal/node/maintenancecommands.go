package node

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"mintspring/internal/cluster/consensus"
	"mintspring/internal/cluster/lease"
	"mintspring/internal/cluster/rollingrestart"
)

const (
	// consensusAttempts is how many times a command is sent, each time to another member, before the call fails.
	consensusAttempts = 4
	// consensusReplyTimeout is how long each of these attempts waits for a result.
	consensusReplyTimeout = 150 * time.Millisecond
)

// Replies on the admin port. Operators' scripts match these texts, which use the words of the admin commands.
var (
	errNoConsensus          = errors.New("this node has no council: its operator's file has no [council]")
	errConsensusUnavailable = errors.New("the council does not answer: most of its members are not there")
	errPlanChanged          = errors.New("the plan has changed meanwhile; look and call again")
	errNoPlan               = errors.New("no roll goes on")
	errRollUsage            = errors.New("a roll has show, start MOST ID,ID..., pause, go-on and stop")
	errUnknownMembership    = errors.New("no such call of the council; there are council-take-in, council-add and council-drop")
)

// RollingRestart executes a command on the rolling restart plan: show, start MOST ID,ID..., pause, go-on or stop. It returns the plan as
// text.
func (n *Node) RollingRestart(args []string) (string, error) {
	read, err := n.callConsensus(func(*maintenanceTask) lease.Command {
		return lease.Command{Kind: lease.KindRead, Name: rollingrestart.LeaseName}
	})
	if err != nil {
		return "", err
	}
	plan, err := rollingrestart.DecodePlan(read.Progress)
	if err != nil {
		return "", err
	}
	if len(args) == 0 || args[0] == "show" {
		return plan.String() + holderText(&read), nil
	}
	plan, err = editPlan(plan, args)
	if err != nil {
		return "", err
	}
	written, err := n.callConsensus(func(t *maintenanceTask) lease.Command {
		return lease.Command{
			Kind:      lease.KindOverrideProgress,
			Name:      rollingrestart.LeaseName,
			TTLMillis: t.lease.TTLMillis,
			Revision:  read.Revision,
			Progress:  plan.Encode(),
		}
	})
	if err != nil {
		return "", err
	}
	if !written.OK {
		return "", errPlanChanged
	}
	return plan.String(), nil
}

func holderText(read *lease.Result) string {
	if !read.Held {
		return "; nobody holds the lease"
	}
	return fmt.Sprintf("; node %d takes its steps under token %d", read.Holder.Node, read.Token)
}

// editPlan returns the plan as changed by an operator's command. plan is nil if there is none.
func editPlan(plan *rollingrestart.Plan, args []string) (*rollingrestart.Plan, error) {
	command := args[0]
	finished := plan == nil || plan.Finished()
	switch {
	case command == "start" && len(args) == 3:
		if !finished {
			return nil, fmt.Errorf("a roll goes on: %s", plan)
		}
		return startPlan(args[1], args[2])
	case finished:
		return nil, errNoPlan
	case command == "pause" && len(args) == 1:
		plan.Paused = true
	case command == "go-on" && len(args) == 1:
		plan.Paused = false
	case command == "stop" && len(args) == 1:
		plan.Abort()
	default:
		return nil, errRollUsage
	}
	return plan, nil
}

func startPlan(maxExcluded, serverIDs string) (*rollingrestart.Plan, error) {
	limit, err := strconv.Atoi(maxExcluded)
	if err != nil {
		return nil, fmt.Errorf("%q is no number of servers", maxExcluded)
	}
	return rollingrestart.NewPlan(strings.Split(serverIDs, ","), limit)
}

// membershipChange is a command that changes the members of the consensus group.
type membershipChange struct {
	command    string // take-in, add or drop
	member     int    // number of the member, from 1
	generation int    // generation of the member's data directory; unused by drop
}

// ChangeMembership asks the leader of the consensus group to replace a member that has lost its data directory, or to add or remove one.
func (n *Node) ChangeMembership(command string, args []string) (string, error) {
	change, err := parseMembershipChange(command, args)
	if err != nil {
		return "", err
	}
	return onLoop(n, func(float64) (string, error) {
		if n.maintenance == nil {
			return "", errNoConsensus
		}
		const answer = "asked of whoever leads; its log says what became of it"
		client := n.maintenance.client
		switch change.command {
		case "add":
			return answer, client.AddReplica(change.member, change.generation)
		case "drop":
			return answer, client.RemoveReplica(change.member)
		default:
			return answer, client.ReplaceReplica(change.member, change.generation)
		}
	})
}

func parseMembershipChange(command string, args []string) (membershipChange, error) {
	hasGeneration, minGeneration := true, 0
	switch command {
	case "take-in":
		minGeneration = 1
	case "add":
	case "drop":
		hasGeneration = false
	default:
		return membershipChange{}, errUnknownMembership
	}
	switch {
	case hasGeneration && len(args) != 2:
		return membershipChange{}, fmt.Errorf("council-%s takes a member's number and its generation", command)
	case !hasGeneration && len(args) != 1:
		return membershipChange{}, fmt.Errorf("council-%s takes a member's number", command)
	}
	change := membershipChange{command: command}
	var numberErr, generationErr error
	change.member, numberErr = strconv.Atoi(args[0])
	if hasGeneration {
		change.generation, generationErr = strconv.Atoi(args[1])
	}
	if numberErr != nil || generationErr != nil || change.member < 1 || change.generation < minGeneration {
		return membershipChange{}, fmt.Errorf("%q are no member's number and generation", args)
	}
	if err := consensus.CheckReplicaNumber(change.member); err != nil {
		return membershipChange{}, err
	}
	return change, nil
}

// callConsensus sends a command to the consensus group and waits for its result. If a member does not answer, it sends the command to the
// next one. A result that arrives after the call has ended is dropped.
func (n *Node) callConsensus(newCommand func(t *maintenanceTask) lease.Command) (lease.Result, error) {
	if n.maintenance == nil {
		return lease.Result{}, errNoConsensus
	}
	results := make(chan lease.Result, 1)
	defer n.inbox.post(loopCall(func(float64) { n.maintenance.dropPendingCalls(results) }))
	for range consensusAttempts {
		if err := n.runOnLoop(func(float64) {
			t := n.maintenance
			callID := t.nextCallID()
			t.pendingCalls[callID] = results
			command := newCommand(t)
			command.Process = t.lease.Process // the incarnation in it distinguishes results for this process from those for an earlier process
			t.send(callID, command)
		}); err != nil {
			return lease.Result{}, err
		}
		select {
		case result := <-results:
			return result, nil
		case <-time.After(consensusReplyTimeout):
		}
	}
	return lease.Result{}, errConsensusUnavailable
}
