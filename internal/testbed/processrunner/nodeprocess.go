package processrunner

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"slices"
	"syscall"
	"time"

	"mintspring/internal/testbed/coreshare"
	"mintspring/internal/testbed/fakes"
)

// nodeProgram says how nodes are started.
type nodeProgram struct {
	Name           string    // its name in reports
	Command        []string  // the program and its arguments
	InProcess      ServeFunc // if set, runs nodes within this process instead of Command
	NoOperatorFile bool      // start nodes without the experiment's operator's file
}

// ServeFunc runs a node within this process, for tests. The file is the node's configuration. The node serves clients on the listener until
// the returned function is called.
type ServeFunc func(file string, listener net.Listener) (stop func(), err error)

// nodeProcess is one process of a node.
type nodeProcess struct {
	cmd        *exec.Cmd     // nil for a node within this process
	stop       func()        // stops a node within this process
	exited     chan struct{} // closed once the process has ended
	expectedUp bool          // an exit now is a crash; guarded by the runner's mutex

	limiter *coreshare.Limiter // nil: the process gets as much of a core as there is
}

// signal sends a signal to the process.
func (p *nodeProcess) signal(sig syscall.Signal) {
	_ = p.cmd.Process.Signal(sig) // fails only if the process has ended, which waitForExit notices
}

// hold suspends the process for a duration.
func (p *nodeProcess) hold(duration time.Duration) {
	if p.limiter != nil {
		p.limiter.Hold(duration)
		return
	}
	p.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	p.signal(syscall.SIGCONT)
}

// waitExited waits until the process has ended, and returns false on timeout.
func (p *nodeProcess) waitExited(timeout time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// start starts a process of the node. Called with configMu held, or before the node serves.
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
	if n.coreShare > 0 {
		p.limiter = coreshare.Limit(cmd.Process, n.coreShare)
	}
	n.setCurrent(p)
	go n.waitForExit(p) // ends with the process
	return nil
}

// command returns the command that starts a process of the node.
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
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives a killed bench
	return cmd
}

// waitForExit waits until a process exits, and records a crash if it was expected to be up.
func (n *nodeRunner) waitForExit(p *nodeProcess) {
	err := p.cmd.Wait()
	n.mu.Lock()
	n.endedCPU += p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
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

// setCurrent records a process that was started. The process becomes the serving one, or a successor if the serving process is still up.
func (n *nodeRunner) setCurrent(p *nodeProcess) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.current = p
	if n.serving == nil || !n.serving.expectedUp {
		n.serving = p
	}
}

// terminate ends the node's process and returns once it has exited. SIGKILL ends it at once; SIGTERM leaves it time to answer the requests
// that it has accepted.
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
	if !p.waitExited(n.killTimeout) {
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	if sig == syscall.SIGTERM {
		n.mu.Lock()
		n.downtimes[downtime].From = fakes.NowMs()
		n.mu.Unlock()
	}
}

// waitExited waits until the most recently started process of the node has ended.
func (n *nodeRunner) waitExited() {
	n.mu.Lock()
	exited := n.current.exited
	n.mu.Unlock()
	<-exited
}
