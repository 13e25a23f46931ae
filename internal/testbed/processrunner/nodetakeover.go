package processrunner

import (
	"fmt"
	"syscall"
	"time"

	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/invariants"
	"mintspring/internal/testbed/servermodel"
)

// hotRestartTimeout is how long a successor may take to report that it is ready.
const hotRestartTimeout = 6 * time.Second

// hotRestart starts a successor of the running process, and ends the predecessor once the successor reports that it is ready.
func (n *nodeRunner) hotRestart() error {
	predecessor, err := n.startSuccessor()
	if err != nil {
		return err
	}
	predecessor.signal(syscall.SIGTERM)
	if !predecessor.waitExited(n.killTimeout) {
		predecessor.signal(syscall.SIGKILL)
		return fmt.Errorf("the predecessor on node %d is still running %v after SIGTERM", n.index, n.killTimeout)
	}
	return nil
}

// startSuccessor starts a successor of the running process, waits until it reports that it is ready, and returns the predecessor.
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
		return nil, fmt.Errorf("waiting for the successor on node %d: %w", n.index, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	predecessor.expectedUp = false
	n.serving, n.servingAdmin = n.current, admin
	n.operations.Takeovers = append(n.operations.Takeovers, invariants.Takeover{Node: servermodel.NodeID(n.index), From: from, Ready: fakes.NowMs()})
	return predecessor, nil
}

// waitForAdmin waits until a process answers the status command on its admin address.
func (n *nodeRunner) waitForAdmin(addr string, timeout time.Duration) (err error) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if _, err = n.callAdmin(addr, "status"); err == nil {
			return nil
		}
	}
	return err
}
