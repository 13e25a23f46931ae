package processrunner

import (
	"fmt"
	"strings"
	"time"

	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/servermodel"
)

// What operators do to a node: it is put on standby, told to leave out a server, and given other settings. Each is recorded for the checks.

// unlistedAnswer begins the answer to a call about a server that the node has never been told of.
const unlistedAnswer = "ERR no cache server "

const (
	// standbyLimit is how long after the call a node on standby may serve, and activeLimit how long it may take to serve again.
	standbyLimit = 4 * time.Second
	activeLimit  = 2 * time.Second
)

// setStandby puts the node on standby, or has it serve again, and checks later that it does so.
func (n *nodeRunner) setStandby(standby bool) error {
	line, limit := "active", activeLimit
	if standby {
		line, limit = "standby", standbyLimit
	}
	calledMs := fakes.NowMs()
	if _, err := n.adminCall(line); err != nil {
		return err
	}
	n.mu.Lock()
	n.operations.SetStandby(servermodel.NodeID(n.index), standby, calledMs, float64(limit/time.Millisecond))
	call := n.operations.StandbyCalls()
	n.mu.Unlock()
	time.AfterFunc(limit, func() { n.checkStandby(call, standby) })
	return nil
}

// checkStandby checks that the node does as the last call says, unless there was another one since.
func (n *nodeRunner) checkStandby(call int, standby bool) {
	n.mu.Lock()
	superseded := call != n.operations.StandbyCalls() || !n.serving.expectedUp
	n.mu.Unlock()
	if !superseded && isServing(n.addr) == standby {
		n.recordCrash(fmt.Sprintf("node %d, standby: %v, does otherwise at its limit", n.index, standby))
	}
}

// exclude has the node leave out a server, or use it again.
func (n *nodeRunner) exclude(server servermodel.ServerID, id string, excluded bool) error {
	line := "maint-off "
	if excluded {
		line = "maint-on "
	}
	n.mu.Lock()
	if excludedID, ok := n.operations.ExcludedID(servermodel.NodeID(n.index), server); ok {
		id = excludedID // a machine that replaces it has another one
	}
	n.mu.Unlock()
	if !excluded { // from the call on it may be used
		n.recordExclusion(server, id, excluded)
	}
	answer, err := n.adminCall(line + id)
	if strings.HasPrefix(answer, unlistedAnswer) {
		return nil // discovery has not told the node of it yet
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

// retune gives the node other settings.
func (n *nodeRunner) retune(settings []byte, stricter bool) error {
	if err := n.changeConfig(func(c *nodeConfig) { c.Settings = settings }); err != nil {
		return err
	}
	n.mu.Lock()
	n.operations.SetStricterSettings(servermodel.NodeID(n.index), stricter, fakes.NowMs())
	n.mu.Unlock()
	n.reload()
	return nil
}
