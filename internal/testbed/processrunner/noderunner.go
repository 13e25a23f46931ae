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
	// startTimeout is how long a node may take to start serving.
	startTimeout = 10 * time.Second
	// killGrace is the time between the longest deadline of a request, counted from SIGTERM, and SIGKILL by the platform.
	killGrace = 700 * time.Millisecond
	// maxRequestDeadline bounds the request deadline that counts for SIGKILL.
	maxRequestDeadline = 3 * time.Second
	// truncatedConfigDuration is how long a configuration stays truncated.
	truncatedConfigDuration = 100 * time.Millisecond
	// pollInterval is the time between two polls of a node that is being waited for.
	pollInterval = 5 * time.Millisecond
)

// nodeRunner runs one node, as one process or as several that take over from one another by hot restart.
type nodeRunner struct {
	index        int
	addr         string
	ports        []*reservedport.Port // for all addresses that the node listens on
	dir          string               // shared by all nodes
	program      nodeProgram
	logFile      *os.File
	coreShare    float64       // of each process; 0: no limit
	killTimeout  time.Duration // from SIGTERM to SIGKILL
	operatorFile string        // "" for none
	env          []string      // added to the environment of its processes
	listenSocket *os.File      // shared by all processes of the node; nil if each opens its own

	configMu sync.Mutex // guards config and its file; held while a successor starts
	config   *nodeConfig

	pausing sync.Mutex // held during a pause and for as long after it

	mu           sync.Mutex   // guards the fields below
	current      *nodeProcess // the process started last; nil before the first
	serving      *nodeProcess // the process that operators call and signal; a successor takes this place once it is ready
	servingAdmin string       // admin address of the serving process
	downtimes    []invariants.Downtime
	crashes      []string
	pauses       []pause
	crowds       []invariants.ConnectionFlood
	operations   invariants.Operations
	endedCPU     time.Duration // processor time of the processes that have ended
}

// reserveAddress reserves an address until the node is released. While no process of the node listens on it, no outgoing connection of
// this machine can take its port.
func (n *nodeRunner) reserveAddress() (string, error) {
	port, err := reservedport.Reserve()
	if err != nil {
		return "", err
	}
	n.ports = append(n.ports, port)
	return port.Addr(), nil
}

// openListenSocket opens the node's listening socket for all of its processes, and gives the first one an admin address.
func (n *nodeRunner) openListenSocket() error {
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

// newAdminAddress gives the next process its own admin address. Called with configMu held, or before the node is started.
func (n *nodeRunner) newAdminAddress() (addr string, err error) {
	if addr, err = n.reserveAddress(); err != nil {
		return "", err
	}
	n.config.Admin = addr
	return addr, os.MkdirAll(n.dataDir(), 0o755)
}

// dataDir returns the node's data directory, which is passed to its processes as MINTSPRING_NODE_DIR.
func (n *nodeRunner) dataDir() string { return filepath.Join(n.dir, fmt.Sprintf("node-%d", n.index)) }

// clearDataDir removes the node's data directory.
func (n *nodeRunner) clearDataDir() error {
	if err := os.RemoveAll(n.dataDir()); err != nil {
		return fmt.Errorf("removing the data directory of node %d: %w", n.index, err)
	}
	return nil
}

// configFile returns the path of the node's configuration.
func (n *nodeRunner) configFile() string {
	return filepath.Join(n.dir, fmt.Sprintf("node-%d.json", n.index))
}

// changeConfig changes the node's configuration and writes it to its file.
func (n *nodeRunner) changeConfig(change func(*nodeConfig)) error {
	n.configMu.Lock()
	defer n.configMu.Unlock()
	change(n.config)
	return n.writeConfig()
}

// writeConfig replaces the node's configuration file atomically, because a process may be reading it. Called with configMu held, or before
// the node is started.
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

// createLog creates the log file of the node's processes.
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
	return fmt.Errorf("node %d is not serving after %v: %s", n.index, timeout, n.lastLogLine())
}

// restart starts a node that has ended, and closes its downtime once it accepts connections.
func (n *nodeRunner) restart() error {
	n.configMu.Lock()
	err := n.start()
	n.configMu.Unlock()
	if err != nil {
		return err
	}
	err = n.waitAccepting(startTimeout)
	n.mu.Lock()
	n.endDowntimeLocked()
	n.mu.Unlock()
	if err != nil {
		return err
	}
	return n.waitReady(startTimeout)
}

// waitAccepting waits until the node's machine accepts connections: from then on the node has to answer what is sent to it. With a socket that
// outlives the processes, which always accepts, it waits until the node serves.
func (n *nodeRunner) waitAccepting(timeout time.Duration) error {
	if n.listenSocket != nil {
		return n.waitReady(timeout)
	}
	for deadline := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		conn, err := net.DialTimeout("tcp4", n.addr, pingDialTimeout)
		if err == nil {
			return conn.Close()
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("node %d accepts no connections after %v: %s", n.index, timeout, n.lastLogLine())
		}
	}
}

// beginDowntimeLocked begins a downtime now and returns its index. Called with the mutex held.
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

// recordCrash records a crash of the node, or another failure that invalidates the run.
func (n *nodeRunner) recordCrash(description string) {
	n.mu.Lock()
	n.crashes = append(n.crashes, description)
	n.mu.Unlock()
}

// replaceMachine kills the node and starts it again with an empty data directory, as on a new machine.
func (n *nodeRunner) replaceMachine() error {
	n.terminate(syscall.SIGKILL)
	if err := n.clearDataDir(); err != nil {
		return err
	}
	return n.restart()
}

// setFrozen suspends the node's process, or resumes it. A frozen node counts as down.
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

// pauseProcesses suspends the node's processes for the duration, a starting successor included. They count as running meanwhile, as do
// processes that the kernel does not schedule. Between two pauses the processes run for at least the duration, also if the timeline is late: two
// pauses right behind one another would be one that is longer than the protocol allows.
func (n *nodeRunner) pauseProcesses(duration time.Duration) {
	n.pausing.Lock()
	defer n.pausing.Unlock()
	defer time.Sleep(duration)
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
	var holds sync.WaitGroup
	for _, p := range processes {
		holds.Go(func() { p.hold(duration) })
	}
	holds.Wait()
	n.mu.Lock()
	n.pauses = append(n.pauses, pause{from, fakes.NowMs()})
	n.mu.Unlock()
}

// pause is a period, in Unix ms, in which a node's processes were suspended but counted as running.
type pause struct{ from, to float64 }

// pausedMsBetween returns how many ms of a period the node was paused.
func (n *nodeRunner) pausedMsBetween(from, to float64) (ms float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.pauses {
		ms += max(0, min(to, p.to)-max(from, p.from))
	}
	return ms
}

// reloadTruncated makes the process read a truncated configuration and then the complete one. The second reload also applies settings that
// were written just before and may have been rejected along with the truncated file.
func (n *nodeRunner) reloadTruncated() {
	n.configMu.Lock()
	defer n.configMu.Unlock()
	text, err := os.ReadFile(n.configFile())
	if err != nil || os.WriteFile(n.configFile(), text[:len(text)/2], 0o644) != nil {
		return
	}
	n.reload()
	time.Sleep(truncatedConfigDuration)
	if os.WriteFile(n.configFile(), text, 0o644) != nil {
		return // a node started with the truncated file crashes, which is recorded
	}
	n.reload()
}

// openIdleConnections opens connections on which nothing is sent, and closes them after the duration.
func (n *nodeRunner) openIdleConnections(count int, duration time.Duration) {
	from := fakes.NowMs()
	var opened []*client
	for range count {
		if c, err := dial(n.addr); err == nil {
			opened = append(opened, c)
		}
	}
	time.Sleep(duration)
	for _, c := range opened {
		c.close()
	}
	n.mu.Lock()
	n.crowds = append(n.crowds, invariants.ConnectionFlood{Node: servermodel.NodeID(n.index), From: from, To: fakes.NowMs()})
	n.mu.Unlock()
}

// reload makes the serving process reload its configuration.
func (n *nodeRunner) reload() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.serving.expectedUp && n.serving.cmd != nil {
		n.serving.signal(syscall.SIGHUP)
	}
}

// release closes the node's log, listening socket and port reservations. Called once its processes have ended.
func (n *nodeRunner) release() {
	if n.logFile != nil {
		_ = n.logFile.Close() // the node's processes have written to it themselves
	}
	if n.listenSocket != nil {
		_ = n.listenSocket.Close() // no process listens on it any more
	}
	for _, port := range n.ports {
		_ = port.Close() // the address is not used again
	}
}

// resourceUsage holds the resources that a process uses.
type resourceUsage struct {
	memoryMB    float64 // resident memory; 0 if it cannot be read
	descriptors int     // open
}

// resourceUsage returns the resources that the node's current process uses.
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

// residentMB parses the resident memory from the content of /proc/PID/status, and returns 0 if it is missing.
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
