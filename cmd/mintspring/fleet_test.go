package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"mintspring/internal/cluster/gossip"
	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/processrunner"
	"mintspring/internal/testbed/reservedport"
)

// fleetExperiment runs six nodes with traffic in the ratio 1:5:20. Their connections are reset every 500 ms, while the quota of each of
// two servers is 20 new connections a second. The events of a case are appended.
const fleetExperiment = `name = "six"
seed = 3
settle = "2500ms"
length = "6s"
[fleet]
zones = ["a"]
[[fleet.boxes]]
count = 2
cores = 8
connections = 400
handshake = "100us"
start_capacity = 0.1
warm_within = "4s"
fall_after = "1s"
[fleet.origin]
cores = 8
[nodes]
count = 6
traffic = [1, 5, 20]
sockets = 4096
operator = %q
[load]
rate = 300
keys = 300
retries = 1
warm = true
[[workloads]]
name = "read"
share = 1.0
slo = "300ms"
timeout = "1s"
box_work = "6ms"
[[at]]
time = "500ms"
do = "reset"
share = 1.0
every = "500ms"
times = 11
[[expect]]
what = "opens_per_s"
at_most = 31
[[expect]]
what = "breaches"
at_most = 0
%s`

// sharedQuotaEvents has the events of each case of TestSixProcessesShareQuota, by the name of the case.
var sharedQuotaEvents = map[string]string{
	"partitions": `
[[at]]
time = "0s"
do = "injure_peers"
lose = 0.1
spread = "200ms"
again = 2
after = "900ms"
spoil = 0.02
short = 0.02
[[at]]
time = "500ms"
do = "cut_peers"
nodes = [0, 1, 2]
others = [3, 4, 5]
for = "700ms"
every = "1500ms"
times = 3
[[at]]
time = "4s"
do = "cut_peers"
for = "1s"
`, "processes": `
[[at]]
time = "500ms"
do = "freeze_node"
node = 2
for = "2500ms"
[[at]]
time = "1s"
do = "kill_node"
node = 1
for = "300ms"
[[at]]
time = "2s"
do = "wipe_node"
node = 4
[[at]]
time = "4s"
do = "wipe_node"
node = 5
`, "cold servers": `
[[expect]]
what = "boxes_fallen"
at_most = 0
[[at]]
time = "300ms"
do = "kill"
box = "box-0"
for = "300ms"
[[at]]
time = "700ms"
do = "injure_peers"
late = "300ms"
spread = "500ms"
again = 2
after = "800ms"
[[at]]
time = "1500ms"
do = "freeze_node"
node = 4
for = "1s"
[[at]]
time = "2s"
do = "cut_peers"
nodes = [0, 1, 5]
others = [2, 3, 4]
for = "1s"
[[at]]
time = "3s"
do = "kill"
box = "box-1"
for = "300ms"
[[at]]
time = "3400ms"
do = "kill"
box = "box-2"
for = "300ms"
[[at]]
time = "4s"
do = "kill_node"
node = 5
for = "300ms"
`,
}

// coldServersReplacer changes fleetExperiment so that cold servers can be overloaded: the load is about half the capacity of warm
// servers. Connections stay open, so that no request waits for one until its deadline.
var coldServersReplacer = strings.NewReplacer("count = 2\ncores = 8", "count = 6\ncores = 1", "rate = 300", "rate = 450",
	`zones = ["a"]`, `zones = ["a", "b", "c"]`, "times = 11", "times = 1")

// TestSixProcessesShareQuota checks that six processes share a quota of 20 new connections per second to a server. Meanwhile links between
// them are cut or faulty for a time, one process is frozen with borrowed quota, one is killed, and one loses its machine with its memory.
// In the case "cold servers" they share the capacity of a restarted server, while their messages are late and duplicated, one process is
// frozen, and one half of the nodes receives nothing from the other. The servers' records must show that no warming server is overloaded,
// that no rule is broken, and that all nodes together open at most 31 connections in any second: the quota of 20, the 5 of another quarter
// of a second, and one per node.
func TestSixProcessesShareQuota(t *testing.T) {
	for name, events := range sharedQuotaEvents {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			operator := filepath.Join(t.TempDir(), "op.toml")
			writeFile(t, operator, "[connections]\nopens_per_second = 20\n[fleet]\nname = \"six\"\nprobe_interval = \"200ms\"\nlease = \"1s\"\n")
			text := fmt.Sprintf(fleetExperiment, operator, events)
			if name == "cold servers" {
				text = coldServersReplacer.Replace(text)
			}
			dir := t.TempDir()
			runExperiment(t, name, text, dir)
			logs := ""
			for i := range 6 {
				b, err := os.ReadFile(filepath.Join(dir, fmt.Sprintf("node-%d.log", i)))
				if err != nil {
					t.Fatal(err)
				}
				logs += string(b)
			}
			if n := len(regexp.MustCompile(`peer state changed.*new_state=alive`).FindAllString(logs, -1)); n < 30 {
				t.Errorf("peers became alive %d times, want at least 30: each of six nodes finds five", n)
			}
		})
	}
}

// maxInvalidRuns is how often an experiment is run again because its verdict is invalid: the machine was too busy to send requests on time.
const maxInvalidRuns = 2

// runExperiment runs an experiment with the test binary as the program of its nodes, and checks its verdict. A run with an invalid verdict
// says nothing and is repeated; the test fails if there is no valid one.
func runExperiment(t *testing.T, name, text, dir string) {
	t.Helper()
	for range 1 + maxInvalidRuns {
		verdict := playExperiment(t, name, text, dir)
		switch {
		case verdict.IsValid && !verdict.Passed():
			t.Errorf("%s\n%s", verdict.Text(), strings.Join(verdict.Violations, "\n"))
			return
		case verdict.IsValid:
			return
		}
		t.Logf("%s: the bench was %.0f ms late at p99, so the run does not count", name, verdict.LatenessMs)
	}
	t.Errorf("%s: no run of %d counts", name, 1+maxInvalidRuns)
}

// playExperiment runs an experiment once in an empty directory.
func playExperiment(t *testing.T, name, text, dir string) experiment.Verdict {
	t.Helper()
	x, err := experiment.Parse(name, text)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(os.RemoveAll(dir), os.Mkdir(dir, 0o700)); err != nil {
		t.Fatal(err)
	}
	result, err := processrunner.Play(context.Background(), x, processrunner.Options{Program: programName, Command: []string{os.Args[0], programArg}, Dir: dir})
	if err != nil {
		t.Fatal(err)
	}
	return result.Verdict(true)
}

// reserveUDP reserves count UDP addresses until the end of the test.
func reserveUDP(t *testing.T, count int) []string {
	t.Helper()
	var addrs []string
	for range count {
		port, err := reservedport.ReserveUDP()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { closeAll(port) })
		addrs = append(addrs, port.Addr())
	}
	return addrs
}

// writeFleetOperatorFile writes an operator's file that makes the node a member of a fleet of two.
func (n *testNode) writeFleetOperatorFile(listen string, peers []string, number int) {
	n.t.Helper()
	n.writeOperatorFile(fmt.Sprintf("[fleet]\nname = \"two\"\nlisten = %q\npeers = [%q, %q]\nnumber = %d\nprobe_interval = \"100ms\"\n",
		listen, peers[0], peers[1], number))
}

// TestPeersCommand checks that the command peers shows a node's view of its fleet, and that a node whose only peer is killed logs that it
// is isolated.
func TestPeersCommand(t *testing.T) {
	addrs := reserveUDP(t, 3)
	peers := addrs[:2]
	var processes []*nodeProcess
	for i, addr := range peers {
		n := newTestNode(t)
		n.writeFleetOperatorFile(addr, peers, i)
		processes = append(processes, n.start())
	}
	for i, p := range processes {
		p.log.WaitFor(t, "new_state=alive")
		eventually(t, testTimeout, func() error {
			text, err := callAdmin(p.adminAddr, "peers")
			if err == nil && !strings.Contains(text, `"alive":2`) {
				err = fmt.Errorf("node %d knows %s", i, text)
			}
			return err
		})
		if err := (&peersCmd{Address: p.adminAddr}).Run(); err != nil {
			t.Error(err)
		}
	}
	// A second process has the number of node 1, but another address. Node 0 does not attribute the messages of this process to node 1, and
	// the process logs that it receives no datagrams.
	n := newTestNode(t)
	n.writeFleetOperatorFile(addrs[2], peers, 1)
	n.start().log.WaitFor(t, "no datagram from any peer since the start")
	var status gossip.Status
	text, err := callAdmin(processes[0].adminAddr, "peers")
	if err == nil {
		err = json.Unmarshal([]byte(text), &status)
	}
	if err != nil || status.MemberCount != 2 || status.Members[1].Incarnation>>incarnationTimeShift == 0 || status.IDConflicts != 0 {
		t.Errorf("beside a second process of node 1, node 0 knows %s, %v", text, err)
	}
	processes[1].signalAndWait(syscall.SIGKILL, time.Second)
	processes[0].log.WaitFor(t, "no peer reachable, this node is isolated")
}
