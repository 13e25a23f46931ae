//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// world is the environment of a case: its temporary folder, its record, and the processes that it has started.
type world struct {
	dir     string // temporary, removed at the end
	trouble bool   // false: the case runs without its disruption
	start   time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
}

// newWorld creates the environment of a case whose record goes into folder.
func newWorld(folder string) *world {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	cannotRunIf(err)
	dir, err := os.MkdirTemp("", "review-2-")
	cannotRunIf(err)
	w := &world{dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}
	w.logf("trouble=%v", w.trouble)
	return w
}

// cannotRun is panicked with if the case cannot run.
type cannotRun struct{ err error }

func cannotRunIf(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

// since returns the time since the start of the case in ms.
func (w *world) since() float64 { return float64(time.Since(w.start)) / float64(time.Millisecond) }

// logf adds a line to the record, with the time in ms since the start.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.1f %s\n", w.since(), fmt.Sprintf(format, args...))
}

// end ends all processes and removes the temporary folder.
func (w *world) end() {
	for _, p := range w.processes {
		p.kill()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// process is a process that the case has started.
type process struct {
	w     *world
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// run starts a command by /bin/sh -c in the root of the repository, as the deploy file is run. Its log goes into a file of the temporary
// folder. files are inherited as descriptors from 3 on.
func (w *world) run(name, command string, env []string, files ...*os.File) *process {
	log, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	cannotRunIf(err)
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = log, log, files
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if the case itself is killed
	cannotRunIf(cmd.Start())
	p := &process{w: w, name: name, cmd: cmd, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		err := cmd.Wait()
		w.logf("process %s ended: %v", name, err)
	}()
	w.processes = append(w.processes, p)
	w.logf("process %s started: %s", name, command)
	return p
}

func (p *process) signal(s syscall.Signal) {
	p.w.logf("%v to %s", s, p.name)
	cannotRunIf(p.cmd.Process.Signal(s))
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// kill kills the process if it runs, and waits for its end.
func (p *process) kill() {
	if !p.hasEnded() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
}

// printLogs copies the logs of the processes into the record.
func (w *world) printLogs() {
	logs, _ := filepath.Glob(filepath.Join(w.dir, "*.log"))
	for _, name := range logs {
		text, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		if len(text) > 64<<10 {
			text = text[len(text)-64<<10:]
		}
		w.mu.Lock()
		fmt.Fprintf(w.record, "\nlog of %s:\n%s", filepath.Base(name), text)
		w.mu.Unlock()
	}
}

// freeAddr returns a loopback address with a free port.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	cannotRunIf(err)
	defer ln.Close()
	return ln.Addr().String()
}

// writeJSON writes a file of the temporary folder and returns its path. An existing file is replaced as a whole.
func (w *world) writeJSON(name string, value any) string {
	text, err := json.MarshalIndent(value, "", " ")
	cannotRunIf(err)
	return w.writeFile(name, string(text))
}

func (w *world) writeFile(name, text string) string {
	file := filepath.Join(w.dir, name)
	cannotRunIf(os.WriteFile(file+".new", []byte(text), 0o600))
	cannotRunIf(os.Rename(file+".new", file))
	return file
}

// object is a JSON object.
type object = map[string]any

// class is a request class of the settings.
type class struct {
	name, effect             string // effect: pure, token or side_effect
	aimMs, timeoutMs, spanMs int
}

// settings returns the settings of a small deployment, in µs: three sites, at most four attempts, never two at once, a grace of 500 ms for
// drains.
func settings(number, nodes int, classes ...class) object {
	var workloads []object
	for _, c := range classes {
		workloads = append(workloads, object{
			"Name": c.name, "Effect": c.effect, "DedupScope": "all", "SloTime": c.aimMs * 1000, "StatementTimeout": c.timeoutMs * 1000,
			"MemorySpan": c.spanMs * 1000, "Importance": 1, "TardyImportance": 0.5, "Stream": false,
		})
	}
	return object{
		"NInstances": nodes, "SelfIndex": number, "Workloads": workloads, "Discovery": "subscribe", "Family": "cache",
		"FamilyInfo":     object{"Mode": "aside", "OriginKind": 1, "OriginFall": 3000000, "OriginFallMultiple": 2.5},
		"FailureDomains": []string{"a"}, "Locality": 0, "Kinds": []string{"box", "origin"}, "Tenants": []object{{"Name": "t1", "Share": 1}},
		"Guarantees": object{
			"AnswerSlack": 20000, "FallMultiple": 4, "MustAskIn": 10000000, "StartCapacity": 0.2, "StopSendingWithin": 500000, "TipAfter": 3000000,
			"WarmWithin": 20000000,
		},
		"PolicyLimits": object{
			"Cancelling": true, "ConnIdle": 60000000, "ConnectTimeout": 250000, "MaxExecutions": 4, "MaxRetryAfter": 1200000, "OpenCap": 20000,
			"Peers": true, "Probes": true, "RetryAfter": true, "SecondCopies": false, "StreamsPerConn": 1,
		},
		"Penalties": object{"Waste": 0.15}, "Stats": object{"Fields": []string{"util", "queue", "x0"}, "How": "answers"}, "Quantum": 5000,
	}
}

// node is one node of the deployment.
type node struct {
	w                   *world
	name, listen, admin string
	config              object
	file, tmp           string
	operator            string   // file; empty: none
	socket              *os.File // the clients' listening socket, if the platform holds it
	processes           int
}

// newNode returns a node that is not started yet, with its configuration written.
func (w *world) newNode(number int, discovery string, known object, settings object) *node {
	n := &node{w: w, name: "n" + strconv.Itoa(number), listen: freeAddr(), admin: freeAddr()}
	n.tmp = filepath.Join(w.dir, n.name+"-tmp")
	cannotRunIf(os.Mkdir(n.tmp, 0o700))
	n.config = object{
		"name": n.name, "listen": n.listen, "admin": n.admin, "discovery": discovery, "seed": fmt.Sprintf("%016x", 7+number),
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings,
	}
	n.writeConfig()
	return n
}

func (n *node) writeConfig() { n.file = n.w.writeJSON(n.name+".json", n.config) }

// holdSocket makes the platform hold the listening socket of the node, which each of its processes inherits as descriptor 3.
func (n *node) holdSocket() {
	ln, err := net.Listen("tcp", n.listen)
	cannotRunIf(err)
	n.socket, err = ln.(*net.TCPListener).File()
	cannotRunIf(err)
	cannotRunIf(ln.Close())
}

// startProcess starts a process of the node.
func (n *node) startProcess() *process {
	n.processes++
	command := "exec bin/mintspring"
	if n.operator != "" {
		command += " run --operator " + n.operator
	}
	env := []string{"LB_NAME=" + n.name, "LB_LISTEN=" + n.listen, "LB_CONFIG=" + n.file, "TMPDIR=" + n.tmp}
	var files []*os.File
	if n.socket != nil {
		env, files = append(env, "LB_SOCKET_FD=3"), []*os.File{n.socket}
	}
	return n.w.run(fmt.Sprintf("%s-%d", n.name, n.processes), command, env, files...)
}

// await waits until a condition holds, and reports whether it does.
func await(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// awaitReady waits until the node answers PING on its clients' address.
func (n *node) awaitReady() {
	ready := await(10*time.Second, func() bool {
		c, err := dialClient(n.listen)
		if err != nil {
			return false
		}
		defer c.close()
		reply, err := c.call(time.Second, "PING")
		return err == nil && reply == "+PONG"
	})
	if !ready {
		n.w.printLogs()
		cannotRunIf(fmt.Errorf("%s is not ready", n.name))
	}
	n.w.logf("%s is ready", n.name)
}

// adminCall sends one line to an admin address and returns the reply.
func (w *world) adminCall(addr, line string) (string, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c, "%s\n", line); err != nil {
		return "", err
	}
	b := make([]byte, 8192)
	n, err := c.Read(b)
	reply := string(b[:n])
	w.logf("admin %s: %q answered %q, %v", addr, line, reply, err)
	if n > 0 {
		err = nil
	}
	return reply, err
}
