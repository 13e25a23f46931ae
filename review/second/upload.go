//go:build review

package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// writeResult is what a client saw of its write.
type writeResult struct {
	sentMs, answeredMs float64 // when its last byte was written, and when the answer was complete; 0: never
	reply              string
}

// largeWrite sends one write of a value of size bytes, at full speed, and waits for its answer until patience is over.
func (w *world) largeWrite(addr, id string, size, deadlineMs int, patience time.Duration) (result writeResult) {
	c, err := dialClient(addr)
	cannotRunIf(err)
	defer c.close()
	extra := fmt.Sprintf("c=credit-sale,t=t1,d=%d,k=%s", deadlineMs, id)
	command := encode("KV.SET", "00000000"+id[:8], id, extra, strings.Repeat("v", size))
	_ = c.net.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(c.net, command); err != nil {
		w.logf("client %s: cannot write: %v", id, err)
		return result
	}
	result.sentMs = w.since()
	w.logf("client %s: last byte written", id)
	result.reply, err = c.read()
	if err == nil {
		result.answeredMs = w.since()
	}
	w.logf("client %s: answered %.60q, %v, %.0f ms after its last byte", id, result.reply, err, w.since()-result.sentMs)
	return result
}

// unansweredUpload: the origin stops for some seconds, while clients write large values, together far over the memory of the node. Each
// write has to get its final answer by half a second after its time.
func unansweredUpload(w *world) verdict {
	const size, deadlineMs, clients = 4<<20 - 4096, 2500, 12
	const lostAfterMs = deadlineMs + 500 + 50
	const stop = 6 * time.Second
	b := w.newBox("s-1")
	o := w.newOrigin()
	members := []object{b.entry("in_service"), o.entry()}
	d := w.newDiscovery(12, members...)
	n := w.newNode(0, d.addr, list(12, members...), settings(0, 1,
		class{"balance-read", "pure", 600, 1200, 0}, class{"credit-sale", "token", 800, deadlineMs, 12000}))
	n.config["limits"] = object{"cores": 1.0, "memory_mb": 32, "sockets": 512}
	n.writeConfig()
	n.startProcess()
	n.awaitReady()
	time.Sleep(2 * time.Second)
	if w.trouble {
		o.stopFor(stop)
		time.Sleep(200 * time.Millisecond)
	}
	results := make([]writeResult, clients)
	var done sync.WaitGroup
	for i := range clients {
		done.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			results[i] = w.largeWrite(n.listen, fmt.Sprintf("%08x%08x", i+1, 77), size, deadlineMs, 40*time.Second)
		})
	}
	done.Wait()
	lost, unsent, latest := 0, 0, 0.0
	for _, r := range results {
		switch took := r.answeredMs - r.sentMs; {
		case r.sentMs == 0:
			unsent++
		case r.answeredMs == 0:
			lost++
		case took > lostAfterMs:
			lost++
			latest = max(latest, took)
		}
	}
	return verdict{lost > 0, fmt.Sprintf("%d writes of %d bytes with d=%d; %d of them answered later than %d ms after their last byte or never, the latest answer after %.0f ms; %d could not be written whole",
		clients, size, deadlineMs, lost, lostAfterMs, latest, unsent)}
}
