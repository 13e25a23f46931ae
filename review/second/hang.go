//go:build review

package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// slowWrite writes the first part of a write in pieces, and leaves in the middle of it.
func (w *world) slowWrite(addr, id string, size, part int, piece int, pause time.Duration) {
	c, err := dialClient(addr)
	cannotRunIf(err)
	defer c.close()
	text := encode("KV.SET", "00000000"+id[:8], id, "c=credit-sale,t=t1,d=2500,k="+id, strings.Repeat("v", size))[:part]
	for len(text) > 0 {
		n := min(len(text), piece)
		_ = c.net.SetWriteDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(c.net, text[:n]); err != nil {
			w.logf("client %s: cannot write on: %v", id, err)
			return
		}
		text = text[n:]
		time.Sleep(pause)
	}
	w.logf("client %s leaves in the middle of its command", id)
}

// hangingNode: the machine of the origin is cut off for some seconds, and the list drops it. While it is gone a cache server is switched on,
// and clients leave in the middle of large writes. The node has to answer what comes then.
func hangingNode(w *world) verdict {
	const cutOff = 12 * time.Second
	boxes := []*box{w.newBox("s-1"), w.newBox("s-2"), w.newBox("s-3")}
	o := w.newOrigin()
	var members []object
	for _, b := range boxes {
		members = append(members, b.entry("in_service"))
	}
	members = append(members, o.entry())
	d := w.newDiscovery(12, members...)
	n := w.newNode(0, d.addr, list(12, members...), settings(0, 1,
		class{"balance-read", "pure", 600, 1200, 0}, class{"credit-sale", "token", 800, 2500, 12000}))
	n.config["limits"] = object{"cores": 1.0, "memory_mb": 32, "sockets": 512}
	n.writeConfig()
	p := n.startProcess()
	n.awaitReady()
	load := w.startReads(n.listen, "balance-read", 4, 15*time.Millisecond)
	time.Sleep(time.Second)
	var done sync.WaitGroup
	// One value takes most of the memory for large values while it is written, so that the others are forwarded as they arrive.
	done.Go(func() { w.slowWrite(n.listen, "0000000100000001", 4<<20-8192, 3<<20, 48<<10, 200*time.Millisecond) })
	time.Sleep(300 * time.Millisecond)
	for i := range 3 {
		done.Go(func() {
			w.slowWrite(n.listen, fmt.Sprintf("%08x%08x", i+2, 1), 1<<20, 600<<10, 12<<10, 230*time.Millisecond)
		})
	}
	time.Sleep(700 * time.Millisecond)
	if w.trouble {
		o.stopFor(cutOff)
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		gone := o.entry()
		gone["phase"] = "terminated"
		d.set(gone)
	}
	time.Sleep(4 * time.Second)
	d.set(w.newBox("s-9").entry("in_service"))
	time.Sleep(3 * time.Second)
	if w.trouble {
		d.set(o.entry())
	}
	done.Wait()
	time.Sleep(2 * time.Second)
	load.end()
	answered, unanswered := 0, 0
	for i := range 12 {
		c, err := dialClient(n.listen)
		cannotRunIf(err)
		id := fmt.Sprintf("last-%d", i)
		reply, err := c.call(1200*time.Millisecond+550*time.Millisecond, "KV.GET", fmt.Sprintf("%02x00000000000000", i*21), id, "c=balance-read,t=t1,d=1200")
		w.logf("client %s: %q, %v", id, reply, err)
		if err != nil {
			unanswered++
		} else {
			answered++
		}
		c.close()
	}
	return verdict{unanswered > 0 || p.hasEnded(), fmt.Sprintf("at the end %d reads with d=1200 were answered and %d were not, 550 ms after their time; process ended: %v; before that %d were served, others %v",
		answered, unanswered, p.hasEnded(), load.served, load.others)}
}
