//go:build review

package main

import (
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// freeUDPAddr returns a loopback address with a free UDP port.
func freeUDPAddr() string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	cannotRunIf(err)
	defer c.Close()
	return c.LocalAddr().String()
}

// command runs one of the operators' commands and returns its output.
func (w *world) command(args ...string) (string, error) {
	out, err := exec.Command("bin/mintspring", args...).CombinedOutput()
	w.logf("bin/mintspring %s: %q, %v", strings.Join(args, " "), out, err)
	return string(out), err
}

// replaceProcess replaces the process of a node as the operators do: a new process beside the old one, with a new second address, up to 6 s
// for its yes, then SIGTERM to the old one, and SIGKILL when the longest deadline and 0.7 s have passed.
func (n *node) replaceProcess(old *process, longest time.Duration) *process {
	n.admin = freeAddr()
	n.config["admin"] = n.admin
	n.writeConfig()
	p := n.startProcess()
	if !await(6*time.Second, func() bool {
		reply, err := n.w.adminCall(n.admin, "status")
		return err == nil && strings.HasPrefix(reply, "OK")
	}) {
		cannotRunIf(fmt.Errorf("the new process of %s is not ready", n.name))
	}
	old.signal(syscall.SIGTERM)
	select {
	case <-old.ended:
	case <-time.After(longest + 700*time.Millisecond):
		old.signal(syscall.SIGKILL)
	}
	return p
}

// forgottenPlan: three nodes form a consensus group, and a rolling restart has taken a cache server out. The processes of all nodes are
// replaced, one after the other, as for an upgrade. Nothing new may go to that server.
func forgottenPlan(w *world) verdict {
	const nodes, graceMs, slackMs = 3, 500, 50
	boxes := []*box{w.newBox("s-1"), w.newBox("s-2"), w.newBox("s-3"), w.newBox("s-4")}
	o := w.newOrigin()
	var members []object
	for _, b := range boxes {
		members = append(members, b.entry("in_service"))
	}
	members = append(members, o.entry())
	d := w.newDiscovery(12, members...)
	var fleet []*node
	var processes []*process
	var addrs []string
	for range nodes {
		addrs = append(addrs, fmt.Sprintf("%q", freeUDPAddr()))
	}
	for i := range nodes {
		n := w.newNode(i, d.addr, list(12, members...), settings(i, nodes, class{"balance-read", "pure", 600, 1200, 0}))
		n.holdSocket()
		n.operator = w.writeFile(n.name+".toml", fmt.Sprintf("[consensus]\nname = \"north\"\nmembers = [%s]\nmember = %d\ndata_dir = %q\n",
			strings.Join(addrs, ", "), i+1, filepath.Join(w.dir, n.name+"-council")))
		_, err := w.command("consensus", "init", "--operator", n.operator)
		cannotRunIf(err)
		fleet, processes = append(fleet, n), append(processes, n.startProcess())
	}
	var loads []*readLoad
	for _, n := range fleet {
		n.awaitReady()
		loads = append(loads, w.startReads(n.listen, "balance-read", 4, 20*time.Millisecond))
	}
	if !await(15*time.Second, func() bool {
		_, err := w.command("rolling-restart", "start", fleet[0].admin, "--servers", "s-4", "--max-unavailable", "1")
		return err == nil
	}) {
		cannotRunIf(fmt.Errorf("the rolling restart does not start"))
	}
	// Each node says that s-4 is out, and nothing has gone there for a second.
	if !await(15*time.Second, func() bool {
		for _, n := range fleet {
			if reply, err := w.adminCall(n.admin, "roll show"); err != nil || !strings.Contains(reply, "out s-4") {
				return false
			}
		}
		time.Sleep(1000 * time.Millisecond)
		return len(boxes[3].after(w.since()-1000)) == 0
	}) {
		cannotRunIf(fmt.Errorf("s-4 is not out"))
	}
	out := w.since()
	w.logf("s-4 is out at all nodes")
	if w.trouble {
		for i := range nodes {
			time.Sleep(time.Second)
			processes[i] = fleet[i].replaceProcess(processes[i], 1200*time.Millisecond)
		}
	}
	time.Sleep(10 * time.Second)
	for _, n := range fleet {
		_, _ = w.adminCall(n.admin, "roll show")
		_, _ = w.adminCall(n.admin, "status")
	}
	for _, l := range loads {
		l.end()
	}
	late := boxes[3].after(out)
	summary := fmt.Sprintf("s-4 out at %.0f ms; %d requests sent to it since then", out, len(late))
	if len(late) > 0 {
		summary += fmt.Sprintf(", from %.0f to %.0f ms", late[0].atMs, late[len(late)-1].atMs)
	}
	for i, l := range loads {
		summary += fmt.Sprintf("; n%d: %d served, others %v", i, l.served, l.others)
	}
	// Nothing at all may go there: the grace ended before s-4 counted as out.
	return verdict{len(late) > 0 && late[len(late)-1].atMs > out+graceMs+slackMs, summary}
}
