package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Class is a class of requests in a node's settings.
type Class struct {
	Name       string
	Effect     string // pure, token or side_effect
	ObjectiveS float64
	DeadlineS  float64
	WindowS    float64
}

// NodeOptions are what a case chooses of a node's configuration.
type NodeOptions struct {
	Name      string
	Discovery string // address
	Known     []Member
	Classes   []Class
	MemoryMB  int
	Sockets   int
	QuantumMs float64
	Zones     []string
}

// Node is a node of the project: one process that the deploy file's command has started.
type Node struct {
	Addr string // where clients connect
	run  *Run
	cmd  *exec.Cmd
	done chan struct{}
	over atomic.Bool // the run has ended the process
}

// FreeAddr returns a loopback address that nobody listens on.
func (r *Run) FreeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Check(err)
	defer l.Close() //nolint:errcheck // nothing was accepted
	return l.Addr().String()
}

// config returns the object of the platform's file.
func (o *NodeOptions) config(listen string) map[string]any {
	const us = 1_000_000
	var classes []map[string]any
	for _, c := range o.Classes {
		classes = append(classes, map[string]any{
			"Name": c.Name, "Effect": c.Effect, "DedupScope": "all", "SloTime": c.ObjectiveS * us, "StatementTimeout": c.DeadlineS * us,
			"MemorySpan": c.WindowS * us, "Importance": 1.0, "TardyImportance": 0.5, "Stream": false,
		})
	}
	return map[string]any{
		"name": o.Name, "listen": listen, "discovery": o.Discovery, "seed": "00000000000004d2",
		"limits": map[string]any{"cores": 1.0, "memory_mb": o.MemoryMB, "sockets": o.Sockets},
		"known":  map[string]any{"revision": 1, "complete": true, "members": o.Known},
		"settings": map[string]any{
			"NInstances": 1, "SelfIndex": 0, "Workloads": classes, "Discovery": "subscribe", "Family": "cache",
			"Tenants":    []map[string]any{{"Name": "one", "QuotaRps": 500.0, "Share": 1.0}},
			"FamilyInfo": map[string]any{"Mode": "aside", "OriginKind": 1, "OriginFall": 3 * us, "OriginFallMultiple": 2.5},
			"PolicyLimits": map[string]any{
				"MaxExecutions": 4, "OpenCap": 20000, "SecondCopies": false, "Cancelling": true, "RetryAfter": true,
				"MaxRetryAfter": 1.2 * us, "ConnectTimeout": 0.25 * us, "ConnIdle": 60 * us, "Peers": false, "Probes": false, "StreamsPerConn": 100,
			},
			"Guarantees": map[string]any{
				"AnswerSlack": 5000, "MustAskIn": 10 * us, "StopSendingWithin": 0.5 * us, "StartCapacity": 0.13, "WarmWithin": 24 * us,
				"FallMultiple": 4.0, "TipAfter": 3 * us,
			},
			"Locality": 0, "FailureDomains": o.Zones, "Kinds": []string{CacheKind, OriginKind}, "Penalties": map[string]any{"Waste": 0.15},
			"Quantum": o.QuantumMs * 1000, "Stats": map[string]any{"How": "answers", "Fields": []string{"cpu", "waiting", "x0"}},
		},
	}
}

// StartNode starts a node by the run command of the deploy file and waits until it answers PING.
func (r *Run) StartNode(o NodeOptions) *Node {
	command, err := r.deployCommand("run")
	r.Check(err)
	n := &Node{Addr: r.FreeAddr(), run: r, done: make(chan struct{})}
	text, err := json.MarshalIndent(o.config(n.Addr), "", " ")
	r.Check(err)
	file, temp := filepath.Join(r.Dir, o.Name+".json"), filepath.Join(r.Dir, o.Name+".tmp")
	r.Check(os.WriteFile(file, text, 0o600))
	r.Check(os.MkdirAll(temp, 0o700))
	log, err := os.Create(filepath.Join(r.Dir, o.Name+".log"))
	r.Check(err)
	n.cmd = exec.Command("/bin/sh", "-c", command)
	n.cmd.Dir, n.cmd.Stdout, n.cmd.Stderr = r.Root, log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "TMPDIR=" + temp, "LB_NAME=" + o.Name, "LB_LISTEN=" + n.Addr,
		"LB_DISCOVERY=" + o.Discovery, "LB_CONFIG=" + file,
	}
	r.Check(n.cmd.Start())
	r.mu.Lock()
	r.nodes = append(r.nodes, n)
	r.mu.Unlock()
	r.Logf("run: %s (LB_LISTEN=%s, %d MB, %d sockets), process %d", command, n.Addr, o.MemoryMB, o.Sockets, n.cmd.Process.Pid)
	go n.wait(log)
	n.waitReady()
	return n
}

// wait waits for the end of the process. One that the run has not ended has crashed.
func (n *Node) wait(log *os.File) {
	err := n.cmd.Wait()
	_ = log.Close() // the process has ended
	if !n.over.Load() {
		n.run.Break("the node ended by itself: %v", err)
	}
	close(n.done)
}

// waitReady waits until the node answers PING.
func (n *Node) waitReady() {
	for range 600 {
		if c, err := net.Dial("tcp", n.Addr); err == nil {
			_, _ = io.WriteString(c, "*1\r\n$4\r\nPING\r\n") // an error shows in the read
			b := make([]byte, 64)
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			k, _ := c.Read(b)
			_ = c.Close()
			if strings.HasPrefix(string(b[:k]), "+PONG") {
				n.run.Logf("the node is ready")
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	n.run.Fatal("the node does not become ready")
}

// Signal sends a signal to the process that the deploy file's command has started.
func (n *Node) Signal(s syscall.Signal) {
	n.run.Logf("signal to the node: %v", s)
	_ = n.cmd.Process.Signal(s) // it may have ended
}

// ExpectEnd says that the process may end from now on.
func (n *Node) ExpectEnd() { n.over.Store(true) }

// Kill ends the process.
func (n *Node) Kill() {
	n.ExpectEnd()
	_ = n.cmd.Process.Kill() // it may have ended
	<-n.done
}

// MemoryMB returns the memory of the node's process that no file backs, in MB.
func (n *Node) MemoryMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			var kb float64
			if _, err := fmt.Sscanf(rest, "%f", &kb); err == nil {
				return kb / 1024
			}
		}
	}
	return 0
}
