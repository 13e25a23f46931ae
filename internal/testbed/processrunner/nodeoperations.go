package processrunner

import (
	"fmt"
	"strings"
	"time"

	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/servermodel"
)

// The functions below perform operators' actions on a node: standby, server exclusion and changes of settings. Each action is recorded for
// the invariant checks.

// unknownServerPrefix is the start of the answer to an admin command about a server that has never been in the node's endpoint list.
const unknownServerPrefix = "ERR no cache server "

const (
	// standbyLimit is how long a node may keep serving after it was put on standby.
	standbyLimit = 4 * time.Second
	// activeLimit is how long a node may take to serve again after it was made active.
	activeLimit = 2 * time.Second
)

// setStandby puts the node on standby or makes it active again, and schedules a check that it has complied within the limit.
func (n *nodeRunner) setStandby(standby bool) error {
	command, limit := "active", activeLimit
	if standby {
		command, limit = "standby", standbyLimit
	}
	calledMs := fakes.NowMs()
	if _, err := n.callServingAdmin(command); err != nil {
		return err
	}
	n.mu.Lock()
	n.operations.SetStandby(servermodel.NodeID(n.index), standby, calledMs, float64(limit/time.Millisecond))
	call := n.operations.StandbyCalls()
	n.mu.Unlock()
	time.AfterFunc(limit, func() { n.checkStandby(call, standby) })
	return nil
}

// checkStandby records a crash if the node has not complied with a standby call. A call that was followed by another one is not checked.
func (n *nodeRunner) checkStandby(call int, standby bool) {
	n.mu.Lock()
	superseded := call != n.operations.StandbyCalls() || !n.serving.expectedUp
	n.mu.Unlock()
	if !superseded && isServing(n.addr) == standby {
		n.recordCrash(fmt.Sprintf("node %d did not change to standby=%v within the limit", n.index, standby))
	}
}

// exclude excludes a server on the node, or readmits it.
func (n *nodeRunner) exclude(server servermodel.ServerID, id string, excluded bool) error {
	command := "maint-off "
	if excluded {
		command = "maint-on "
	}
	n.mu.Lock()
	if excludedID, ok := n.operations.ExcludedID(servermodel.NodeID(n.index), server); ok {
		id = excludedID // a machine that replaced the excluded one has another ID
	}
	n.mu.Unlock()
	if !excluded { // the node may use the server as soon as it receives the command
		n.recordExclusion(server, id, excluded)
	}
	answer, err := n.callServingAdmin(command + id)
	if strings.HasPrefix(answer, unknownServerPrefix) {
		return nil // discovery has not listed the server to the node yet
	}
	if excluded {
		n.recordExclusion(server, id, excluded)
	}
	return err
}

func (n *nodeRunner) recordExclusion(server servermodel.ServerID, id string, excluded bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.operations.SetExcluded(servermodel.NodeID(n.index), server, id, excluded, fakes.NowMs())
}

// applySettings writes new settings to the node's configuration and makes the node reload it.
func (n *nodeRunner) applySettings(settings []byte, stricter bool) error {
	if err := n.changeConfig(func(c *nodeConfig) { c.Settings = settings }); err != nil {
		return err
	}
	n.mu.Lock()
	n.operations.SetStricterSettings(servermodel.NodeID(n.index), stricter, fakes.NowMs())
	n.mu.Unlock()
	n.reload()
	return nil
}
