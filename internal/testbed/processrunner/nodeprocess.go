package processrunner

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"slices"
	"syscall"
	"time"

	"mintspring/internal/testbed/fakes"
)

// nodeProgram is how nodes are started.
type nodeProgram struct {
	Name           string    // how reports call it
	Command        []string  // the program and its arguments
	InProcess      ServeFunc // in place of a program
	NoOperatorFile bool
}

// ServeFunc runs a node within this process, for tests: it serves clients on the listener until the function that it returns is called.
// The file is the node's configuration.
type ServeFunc func(file string, listener net.Listener) (stop func(), err error)

// nodeProcess is one process of a node.
type nodeProcess struct {
	cmd        *exec.Cmd     // nil for a node within this process
	stop       func()        // of a node within this process
	exited     chan struct{} // closed once it has ended
	expectedUp bool          // it is to run; guarded by the runner's mutex
}

// signal sends a signal.
func (p *nodeProcess) signal(sig syscall.Signal) {
	_ = p.cmd.Process.Signal(sig) // fails only if the process has ended, which its waiter notices
}

// waitExited waits until the process has ended; false: it takes too long.
func (p *nodeProcess) waitExited(timeout time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// start starts a process of the node. Called with the mutex of the configuration held, or before the node serves.
func (n *nodeRunner) start() error {
	if err := n.writeConfig(); err != nil {
		return err
	}
	if n.program.InProcess != nil {
		return n.startInProcess()
	}
	cmd := n.command()
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting node %d: %w", n.index, err)
	}
	p := &nodeProcess{cmd: cmd, exited: make(chan struct{}), expectedUp: true}
	n.setCurrent(p)
	go n.waitForExit(p) // ends with the process
	return nil
}

// command returns how a process of the node is started.
func (n *nodeRunner) command() *exec.Cmd {
	argv := n.program.Command
	if n.operatorFile != "" && !n.program.NoOperatorFile {
		argv = append(slices.Clip(argv), "run", "--operator", n.operatorFile)
	}
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+n.configFile(), "MINTSPRING_NODE_DIR="+n.dataDir())
	cmd.Env = append(cmd.Env, n.env...)
	if n.listenSocket != nil {
		cmd.ExtraFiles = []*os.File{n.listenSocket} // descriptor 3 of the process
		cmd.Env = append(cmd.Env, "LB_SOCKET_FD=3", "TMPDIR="+n.dataDir())
	}
	cmd.Stdout, cmd.Stderr = n.logFile, n.logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // nothing is left running when the bench is killed
	return cmd
}

// waitForExit waits for the end of a process. One that was to run has crashed.
func (n *nodeRunner) waitForExit(p *nodeProcess) {
	err := p.cmd.Wait()
	n.mu.Lock()
	if p.expectedUp {
		p.expectedUp = false
		n.crashes = append(n.crashes, fmt.Sprintf("node %d: %v: %s", n.index, err, n.lastLogLine()))
		n.beginDowntimeLocked()
	}
	n.mu.Unlock()
	close(p.exited)
}

// startInProcess runs the node within this process.
func (n *nodeRunner) startInProcess() error {
	listener, err := net.Listen("tcp4", n.addr)
	if err != nil {
		return fmt.Errorf("starting node %d: %w", n.index, err)
	}
	stop, err := n.program.InProcess(n.configFile(), listener)
	if err != nil {
		return fmt.Errorf("starting node %d: %w", n.index, err)
	}
	n.setCurrent(&nodeProcess{stop: stop, exited: make(chan struct{}), expectedUp: true})
	return nil
}

// setCurrent records a process that was started. It serves unless there is one that does: then it is a successor.
func (n *nodeRunner) setCurrent(p *nodeProcess) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.current = p
	if n.serving == nil || !n.serving.expectedUp {
		n.serving = p
	}
}

// terminate ends the node's process: at once with SIGKILL, or with SIGTERM and time to answer what it has. It returns when the process
// has ended.
func (n *nodeRunner) terminate(sig syscall.Signal) {
	n.mu.Lock()
	p := n.current
	if p == nil || !p.expectedUp {
		n.mu.Unlock()
		return
	}
	p.expectedUp = false
	downtime := n.beginDowntimeLocked()
	if sig == syscall.SIGTERM {
		n.downtimes[downtime].Stopped, n.downtimes[downtime].StopRequestedAt = true, fakes.NowMs()
		n.downtimes[downtime].From = n.downtimes[downtime].To // what it has taken has to be answered still
	}
	n.mu.Unlock()
	if p.cmd == nil {
		p.stop()
		close(p.exited)
		return
	}
	p.signal(sig)
	if !p.waitExited(n.killAfter) {
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	if sig == syscall.SIGTERM {
		n.mu.Lock()
		n.downtimes[downtime].From = fakes.NowMs()
		n.mu.Unlock()
	}
}

// waitExited waits until the last process of the node has ended.
func (n *nodeRunner) waitExited() {
	n.mu.Lock()
	exited := n.current.exited
	n.mu.Unlock()
	<-exited
}
