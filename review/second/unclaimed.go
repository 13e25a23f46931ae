//go:build review

package main

import (
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// unclaimedSale: three nodes keep replicated idempotency records. A client sends many commands at once, a sale the last of them. The node is
// given a configuration without the class of the sale before it has read that. The client leaves, and retries the sale at another node
// later than the servers remember it. The sale may be carried out once at the most.
func unclaimedSale(w *world) verdict {
	const nodes, ahead, spanMs, mark = 3, 96, 12000, "5c0f6e1a2b3d4c59"
	b := w.newBox("s-1")
	b.delay = 450 * time.Millisecond
	o := w.newOrigin()
	o.span = spanMs * time.Millisecond
	members := []object{b.entry("in_service"), o.entry()}
	d := w.newDiscovery(12, members...)
	read, sale := class{"balance-read", "pure", 600, 1200, 0}, class{"credit-sale", "token", 800, 2500, spanMs}
	var fleet []*node
	var processes []*process
	var addrs []string
	for range nodes {
		addrs = append(addrs, fmt.Sprintf("%q", freeUDPAddr()))
	}
	for i := range nodes {
		n := w.newNode(i, d.addr, list(12, members...), settings(i, nodes, read, sale))
		n.operator = w.writeFile(n.name+".toml", fmt.Sprintf("[idempotency]\nname = \"north\"\nmembers = [%s]\nmember = %d\ndata_dir = %q\n",
			strings.Join(addrs, ", "), i+1, filepath.Join(w.dir, n.name+"-records")))
		_, err := w.command("idempotency", "init", "--operator", n.operator)
		cannotRunIf(err)
		fleet, processes = append(fleet, n), append(processes, n.startProcess())
	}
	for _, n := range fleet {
		n.awaitReady()
	}
	time.Sleep(2 * time.Second)
	probe, err := dialClient(fleet[0].listen)
	cannotRunIf(err)
	defer probe.close()
	reply, err := probe.call(3*time.Second, "KV.SET", "0000000000000001", "first", "c=credit-sale,t=t1,d=2500,k=first", "v")
	if err != nil || !strings.HasPrefix(reply, "$") {
		cannotRunIf(fmt.Errorf("a first sale is answered %q, %v", reply, err))
	}
	c, err := dialClient(fleet[0].listen)
	cannotRunIf(err)
	var text strings.Builder
	for i := range ahead {
		text.WriteString(encode("KV.GET", fmt.Sprintf("%016x", i), fmt.Sprintf("ahead-%d", i), "c=balance-read,t=t1,d=1200"))
	}
	text.WriteString(encode("KV.SET", "00000000000000aa", "sale-1", "c=credit-sale,t=t1,d=2500,k="+mark, "v"))
	_, err = io.WriteString(c.net, text.String())
	cannotRunIf(err)
	w.logf("client: %d reads and the sale are written", ahead)
	time.Sleep(100 * time.Millisecond)
	if w.trouble { // a class is dropped
		fleet[0].config["settings"] = settings(0, nodes, read)
		fleet[0].writeConfig()
		processes[0].signal(syscall.SIGHUP)
	}
	carriedOut := await(5*time.Second, func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return len(o.effects[mark]) > 0
	})
	c.close()
	w.logf("client leaves; its sale was carried out: %v", carriedOut)
	time.Sleep((spanMs + 1000) * time.Millisecond)
	for try := range 3 {
		c, err := dialClient(fleet[1].listen)
		cannotRunIf(err)
		reply, err := c.call(4*time.Second, "KV.SET", "00000000000000aa", fmt.Sprintf("sale-%d", try+2), "c=credit-sale,t=t1,d=2500,k="+mark, "v")
		c.close()
		w.logf("client: the sale at another node answered %q, %v", reply, err)
		if err == nil && strings.HasPrefix(reply, "$") {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	o.mu.Lock()
	defer o.mu.Unlock()
	return verdict{len(o.effects[mark]) > 1, fmt.Sprintf("the sale was carried out %d times, at %.0f ms", len(o.effects[mark]), o.effects[mark])}
}
