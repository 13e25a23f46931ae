//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// goneServerAfterReload: a node whose known list is older than discovery's learns from the whole list that a cache server has gone. Then
// it gets a new configuration with SIGHUP. Nothing new may go to that server.
func goneServerAfterReload(w *world) verdict {
	const graceMs, slackMs = 500, 50
	boxes := []*box{w.newBox("s-1"), w.newBox("s-2"), w.newBox("s-3"), w.newBox("s-4")}
	o := w.newOrigin()
	var before, now []object
	for i, b := range boxes {
		before = append(before, b.entry("in_service"))
		if i < 3 {
			now = append(now, b.entry("in_service"))
		}
	}
	before, now = append(before, o.entry()), append(now, o.entry())
	d := w.newDiscovery(12, now...)
	read := class{"balance-read", "pure", 600, 1200, 0}
	n := w.newNode(0, d.addr, list(10, before...), settings(0, 1, read))
	p := n.startProcess()
	n.awaitReady()
	load := w.startReads(n.listen, "balance-read", 8, 20*time.Millisecond)
	told := 0.0
	if !await(8*time.Second, func() bool {
		told = d.firstTold(func(text string) bool { return !strings.Contains(text, `"s-4"`) })
		return told > 0
	}) {
		return verdict{false, "discovery was never asked"}
	}
	time.Sleep(4 * time.Second)
	atReload := w.since()
	switch {
	case w.trouble && os.Getenv("VARIANT") == "maint": // the other way to the same fault: operators' calls for that server
		_, _ = w.adminCall(n.admin, "maint-on s-4")
		_, _ = w.adminCall(n.admin, "maint-off s-4")
	case w.trouble: // a class is added
		n.config["settings"] = settings(0, 1, read, class{"contact-update", "pure", 600, 1200, 0})
		n.writeConfig()
		p.signal(syscall.SIGHUP)
	}
	time.Sleep(8 * time.Second)
	load.end()
	late := boxes[3].after(told + graceMs + slackMs)
	beforeReload := 0
	for _, a := range late {
		if a.atMs < atReload {
			beforeReload++
		}
	}
	first, last := 0.0, 0.0
	if len(late) > 0 {
		first, last = late[0].atMs, late[len(late)-1].atMs
	}
	return verdict{len(late) > 0, fmt.Sprintf(
		"told at %.0f ms that s-4 has gone; SIGHUP at %.0f ms; %d requests sent to it after the grace (%d before SIGHUP), from %.0f to %.0f ms; %d served, others %v",
		told, atReload, len(late), beforeReload, first, last, load.served, load.others)}
}
