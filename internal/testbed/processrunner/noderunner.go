package processrunner

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/invariants"
	"mintspring/internal/testbed/reservedport"
	"mintspring/internal/testbed/servermodel"
)

const (
	// startTimeout is how long a node may take until it serves.
	startTimeout = 10 * time.Second
	// killMargin is how long after the longest deadline of a request, counted from SIGTERM, the platform kills a process, and
	// maxKillDeadline bounds that deadline.
	killMargin      = 700 * time.Millisecond
	maxKillDeadline = 3 * time.Second
	// truncatedConfigTime is how long a configuration stays cut short.
	truncatedConfigTime = 100 * time.Millisecond
	// pollInterval is the time between two looks at a node that is waited for.
	pollInterval = 5 * time.Millisecond
)

// nodeRunner runs one node: a process of its own, or several that take over from one another.
type nodeRunner struct {
	index        int
	addr         string
	ports        []*reservedport.Port // of its own address and of others that it listens on
	dir          string               // of all nodes
	program      nodeProgram
	logFile      *os.File
	killAfter    time.Duration // from SIGTERM to SIGKILL
	operatorFile string        // "" for none
	env          []string      // added to its environment
	listenSocket *os.File      // shared by all processes of the node; nil: each one listens for itself

	configMu sync.Mutex // guards config, and its file; held while a process starts beside another one
	config   *nodeConfig

	mu           sync.Mutex   // guards the fields below
	current      *nodeProcess // the one that was started last; nil before the first
	serving      *nodeProcess // the one that operators call and signal: a successor counts once it is ready
	servingAdmin string       // its admin address
	downtimes    []invariants.Downtime
	crashes      []string
	holdUps      []holdUp
	crowds       []invariants.ConnectionFlood
	operations   invariants.Operations
}

// reserveAddress reserves an address for the node until it is released: between two of its processes, and before the first, no
// connection of the same machine may go out from it.
func (n *nodeRunner) reserveAddress() (string, error) {
	port, err := reservedport.Reserve()
	if err != nil {
		return "", err
	}
	n.ports = append(n.ports, port)
	return port.Addr(), nil
}

// holdListenSocket opens the node's listening socket for all of its processes, and gives the first one an admin address.
func (n *nodeRunner) holdListenSocket() error {
	listener, err := net.Listen("tcp4", n.addr)
	if err != nil {
		return fmt.Errorf("opening the listening socket of node %d: %w", n.index, err)
	}
	n.listenSocket, err = listener.(*net.TCPListener).File()
	if err = errors.Join(err, listener.Close()); err != nil {
		return fmt.Errorf("opening the listening socket of node %d: %w", n.index, err)
	}
	n.servingAdmin, err = n.newAdminAddress()
	return err
}

// newAdminAddress gives the next process an admin address of its own. Called with the mutex of the configuration held, or before the node
// is started.
func (n *nodeRunner) newAdminAddress() (addr string, err error) {
	if addr, err = n.reserveAddress(); err != nil {
		return "", err
	}
	n.config.Admin = addr
	return addr, os.MkdirAll(n.dataDir(), 0o755)
}

// dataDir returns the node's data directory, which MINTSPRING_NODE_DIR names to it.
func (n *nodeRunner) dataDir() string { return filepath.Join(n.dir, fmt.Sprintf("node-%d", n.index)) }

// clearDataDir removes the node's data directory.
func (n *nodeRunner) clearDataDir() error {
	if err := os.RemoveAll(n.dataDir()); err != nil {
		return fmt.Errorf("removing the data directory of node %d: %w", n.index, err)
	}
	return nil
}

// configFile returns where the node's configuration is.
func (n *nodeRunner) configFile() string {
	return filepath.Join(n.dir, fmt.Sprintf("node-%d.json", n.index))
}

// changeConfig changes the node's configuration and writes it.
func (n *nodeRunner) changeConfig(change func(*nodeConfig)) error {
	n.configMu.Lock()
	defer n.configMu.Unlock()
	change(n.config)
	return n.writeConfig()
}

// writeConfig replaces the node's configuration in one step: a process may be reading it. Called with its mutex held, or before the node is
// started.
func (n *nodeRunner) writeConfig() error {
	text, err := json.MarshalIndent(n.config, "", " ")
	temp := n.configFile() + ".new"
	if err == nil {
		err = os.WriteFile(temp, text, 0o644)
	}
	if err == nil {
		err = os.Rename(temp, n.configFile())
	}
	if err != nil {
		return fmt.Errorf("writing the configuration of node %d: %w", n.index, err)
	}
	return nil
}

// createLog creates the file that the node's processes log to.
func (n *nodeRunner) createLog() error {
	file, err := os.Create(filepath.Join(n.dir, fmt.Sprintf("node-%d.log", n.index)))
	if err != nil {
		return fmt.Errorf("creating the log of node %d: %w", n.index, err)
	}
	n.logFile = file
	return nil
}

// lastLogLine returns the last line of the node's log.
func (n *nodeRunner) lastLogLine() string {
	text, err := os.ReadFile(n.logFile.Name())
	if err != nil {
		return "no log"
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// waitReady waits until the node serves.
func (n *nodeRunner) waitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		n.mu.Lock()
		crashes := n.crashes
		n.mu.Unlock()
		if len(crashes) > 0 {
			return errors.New(crashes[0])
		}
		if isServing(n.addr) {
			return nil
		}
	}
	return fmt.Errorf("node %d does not serve within %v: %s", n.index, timeout, n.lastLogLine())
}

// restart starts a node that was ended, and ends its downtime once it serves.
func (n *nodeRunner) restart() error {
	n.configMu.Lock()
	err := n.start()
	n.configMu.Unlock()
	if err != nil {
		return err
	}
	err = n.waitReady(startTimeout)
	n.mu.Lock()
	n.endDowntimeLocked()
	n.mu.Unlock()
	return err
}

// beginDowntimeLocked begins a downtime now and returns its place. Called with the mutex held.
func (n *nodeRunner) beginDowntimeLocked() int {
	n.downtimes = append(n.downtimes, invariants.OpenDowntime(servermodel.NodeID(n.index), fakes.NowMs()))
	return len(n.downtimes) - 1
}

// endDowntimeLocked ends the last downtime now. Called with the mutex held.
func (n *nodeRunner) endDowntimeLocked() {
	if last := len(n.downtimes) - 1; last >= 0 {
		n.downtimes[last].To = fakes.NowMs()
	}
}

// recordCrash records that the node crashed.
func (n *nodeRunner) recordCrash(description string) {
	n.mu.Lock()
	n.crashes = append(n.crashes, description)
	n.mu.Unlock()
}

// replaceMachine ends the node and begins another one under its name without a disk.
func (n *nodeRunner) replaceMachine() error {
	n.terminate(syscall.SIGKILL)
	if err := n.clearDataDir(); err != nil {
		return err
	}
	return n.restart()
}

// setFrozen stops the process where it stands, or has it go on. A frozen node counts as down.
func (n *nodeRunner) setFrozen(frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current == nil || !n.current.expectedUp || n.current.cmd == nil {
		return
	}
	if frozen {
		n.current.signal(syscall.SIGSTOP)
		n.beginDowntimeLocked()
		return
	}
	n.current.signal(syscall.SIGCONT)
	n.endDowntimeLocked()
}

// hold stops the process for a moment, and its successor if one starts beside it. They count as running all the while, as processes do
// that the system does not schedule.
func (n *nodeRunner) hold(duration time.Duration) {
	n.mu.Lock()
	processes := []*nodeProcess{n.current}
	if n.serving != n.current {
		processes = append(processes, n.serving)
	}
	n.mu.Unlock()
	if slices.ContainsFunc(processes, func(p *nodeProcess) bool { return p == nil || p.cmd == nil }) {
		return
	}
	from := fakes.NowMs()
	for _, p := range processes {
		p.signal(syscall.SIGSTOP)
	}
	time.Sleep(duration)
	for _, p := range processes {
		p.signal(syscall.SIGCONT)
	}
	n.mu.Lock()
	n.holdUps = append(n.holdUps, holdUp{from, fakes.NowMs()})
	n.mu.Unlock()
}

// holdUp is a time, in Unix ms, in which a node's process stood still and counted as running.
type holdUp struct{ from, to float64 }

// heldUpBetween returns for how many ms of a span the node stood still.
func (n *nodeRunner) heldUpBetween(from, to float64) (ms float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.holdUps {
		ms += max(0, min(to, h.to)-max(from, h.from))
	}
	return ms
}

// reloadTruncated makes the process read a configuration that is cut short, and then the right one: settings that were given just before may
// have been turned down with the bad file.
func (n *nodeRunner) reloadTruncated() {
	n.configMu.Lock()
	defer n.configMu.Unlock()
	text, err := os.ReadFile(n.configFile())
	if err != nil || os.WriteFile(n.configFile(), text[:len(text)/2], 0o644) != nil {
		return
	}
	n.reload()
	time.Sleep(truncatedConfigTime)
	if os.WriteFile(n.configFile(), text, 0o644) != nil {
		return // a node that starts without it shows by its crash
	}
	n.reload()
}

// crowd opens connections on which nothing is sent, and closes them after some time.
func (n *nodeRunner) crowd(connections int, duration time.Duration) {
	from := fakes.NowMs()
	var all []*client
	for range connections {
		if c, err := dial(n.addr); err == nil {
			all = append(all, c)
		}
	}
	time.Sleep(duration)
	for _, c := range all {
		c.close()
	}
	n.mu.Lock()
	n.crowds = append(n.crowds, invariants.ConnectionFlood{Node: servermodel.NodeID(n.index), From: from, To: fakes.NowMs()})
	n.mu.Unlock()
}

// reload makes the process read its configuration again.
func (n *nodeRunner) reload() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.serving.expectedUp && n.serving.cmd != nil {
		n.serving.signal(syscall.SIGHUP)
	}
}

// release gives back what the node holds, once its processes have ended.
func (n *nodeRunner) release() {
	if n.logFile != nil {
		_ = n.logFile.Close() // whatever its processes logged has been written by them
	}
	if n.listenSocket != nil {
		_ = n.listenSocket.Close() // nothing listens any more
	}
	for _, port := range n.ports {
		_ = port.Close() // a reservation that is given up cannot be of use to anybody
	}
}

// resourceUsage is what a process uses.
type resourceUsage struct {
	memoryMB    float64 // resident; 0 where it cannot be read
	descriptors int     // open
}

// resourceUsage returns what the node's process uses.
func (n *nodeRunner) resourceUsage() (usage resourceUsage) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current == nil || !n.current.expectedUp || n.current.cmd == nil {
		return usage
	}
	dir := filepath.Join("/proc", strconv.Itoa(n.current.cmd.Process.Pid))
	if status, err := os.ReadFile(filepath.Join(dir, "status")); err == nil {
		usage.memoryMB = residentMB(string(status))
	}
	if descriptors, err := os.ReadDir(filepath.Join(dir, "fd")); err == nil {
		usage.descriptors = len(descriptors)
	}
	return usage
}

// residentMB reads the resident memory out of a process's status; 0 where it is not there.
func residentMB(status string) float64 {
	const kbPerMB = 1024
	_, rest, found := strings.Cut(status, "VmRSS:")
	fields := strings.Fields(rest)
	if !found || len(fields) == 0 {
		return 0
	}
	kb, err := strconv.ParseFloat(fields[0], 64)
	if err != nil {
		return 0
	}
	return kb / kbPerMB
}
