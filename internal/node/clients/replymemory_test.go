package clients

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"mintspring/internal/node/exchange"
	"mintspring/internal/node/lifecycle"
)

// Clients send many reads of large values at once. The node had all of them executed at once and held more than its memory limit. Now no
// more of them are handed to the Handler than there is memory for, and each is served, in order. A client that leaves gives its memory
// back.
func TestPipelinesWaitForReplyMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pipelines, requests, replies = 3, 20, 4
		state := &lifecycle.State{}
		state.MarkEndpointsKnown()
		h := newPipeHarness(t, state)
		h.server.ReplyMemory = NewReplyMemory(replies * replySize)
		var all []*client
		for i := range pipelines + 1 {
			c := h.dial()
			for k := range requests {
				c.send(command("KV.GET", "k", fmt.Sprintf("%d-%d", i, k), testExtra))
			}
			synctest.Wait()
			all = append(all, c)
		}
		if n := len(h.requests); n != pipelines+1+replies {
			t.Errorf("%d requests are executed at once, want the first of each client and %d more", n, replies)
		}
		all[pipelines].disconnect()
		h.serveAll(all[:pipelines], requests)
		synctest.Wait()
		if free := h.server.ReplyMemory.free; free != replies*replySize || h.server.buffered.Load() != 0 {
			t.Errorf("%d bytes are free of %d, and %d buffered", free, replies*replySize, h.server.buffered.Load())
		}
	})
}

// serveAll responds to all requests with the largest value, and checks that each client gets so many of them.
func (h *harness) serveAll(all []*client, requests int) {
	value := strings.Repeat("v", exchange.MaxBufferedValue)
	served := make(chan bool)
	for _, c := range all {
		go func() {
			c.expect(strings.Repeat("$65536\r\n"+value+"\r\n", requests))
			served <- true
		}()
	}
	for done := 0; done < len(all); {
		select {
		case x := <-h.requests:
			x.Respond(exchange.Response{Value: []byte(value)})
		case <-served:
			done++
		}
	}
}

// A small reply gives its memory back at once, so that pipelines of small values are as deep as without a limit. Two processes of a node
// share the limit.
func TestReplyMemoryOfSmallRepliesAndTwoProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := &lifecycle.State{}
		state.MarkEndpointsKnown()
		h := newPipeHarness(t, state)
		memory := NewReplyMemory(4 * replySize)
		h.server.ReplyMemory = memory
		c := h.dial()
		for k := range 20 {
			c.send(command("KV.GET", "k", fmt.Sprint(k), testExtra))
		}
		synctest.Wait()
		first := <-h.requests
		for range 4 {
			(<-h.requests).Respond(exchange.Response{Value: []byte("small")})
		}
		synctest.Wait() // the first reply holds up the others
		if n := len(h.requests); n != 4 {
			t.Errorf("%d further requests are executed, want 4", n)
		}
		memory.SetProcesses(2)
		for range 4 {
			(<-h.requests).Respond(exchange.Response{Value: []byte("small")})
		}
		synctest.Wait()
		if n := len(h.requests); n != 2 {
			t.Errorf("%d further requests are executed by one of two processes, want 2", n)
		}
		memory.SetProcesses(1)
		synctest.Wait()
		if n := len(h.requests); n != 4 {
			t.Errorf("%d further requests are executed by the only process, want 4", n)
		}
		first.Respond(exchange.Response{Value: []byte("first")})
		c.expect("$5\r\nfirst\r\n$5\r\nsmall\r\n")
	})
}

// The reader of a paused connection is woken to resume, and by then the connection is at its limit again, because another large response
// has arrived. The reader took that for a command that did not come in time, and the connection ended with 62 requests unanswered.
func TestReaderWokenAtLimitReadsOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = maxPipelined + 6
		state := &lifecycle.State{}
		state.MarkEndpointsKnown()
		h := newPipeHarness(t, state)
		c := h.dial()
		for k := range requests {
			c.send(command("KV.GET", "k", fmt.Sprint(k), testExtra))
		}
		synctest.Wait()
		for paused := range h.server.conns {
			paused.setReadDeadline(expiredDeadline)
		}
		synctest.Wait()
		h.serveAll([]*client{c}, requests)
	})
}
