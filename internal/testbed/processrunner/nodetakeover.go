package processrunner

import (
	"fmt"
	"syscall"
	"time"

	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/invariants"
	"mintspring/internal/testbed/servermodel"
)

// hotRestartTimeout is how long a successor may take until it says that it serves.
const hotRestartTimeout = 6 * time.Second

// hotRestart starts another process beside the one that runs, and ends that one once its successor says that it serves.
func (n *nodeRunner) hotRestart() error {
	predecessor, err := n.startSuccessor()
	if err != nil {
		return err
	}
	predecessor.signal(syscall.SIGTERM)
	if !predecessor.waitExited(n.killAfter) {
		predecessor.signal(syscall.SIGKILL)
		return fmt.Errorf("node %d does not end once its successor serves", n.index)
	}
	return nil
}

// startSuccessor starts another process beside the one that runs, waits until it says that it serves, and returns the one before.
func (n *nodeRunner) startSuccessor() (predecessor *nodeProcess, err error) {
	n.configMu.Lock()
	defer n.configMu.Unlock()
	from := fakes.NowMs()
	admin, err := n.newAdminAddress()
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	predecessor = n.current
	n.mu.Unlock()
	if err := n.start(); err != nil {
		return nil, err
	}
	if err := n.waitForAdmin(admin, hotRestartTimeout); err != nil {
		return nil, fmt.Errorf("the successor of node %d: %w", n.index, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	predecessor.expectedUp = false
	n.serving, n.servingAdmin = n.current, admin
	n.operations.Takeovers = append(n.operations.Takeovers, invariants.Takeover{Node: servermodel.NodeID(n.index), From: from, Ready: fakes.NowMs()})
	return predecessor, nil
}

// waitForAdmin waits until a process says on its admin address that it is ready.
func (n *nodeRunner) waitForAdmin(addr string, timeout time.Duration) (err error) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if _, err = n.callAdmin(addr, "status"); err == nil {
			return nil
		}
	}
	return err
}
