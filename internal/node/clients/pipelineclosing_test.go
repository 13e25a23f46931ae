package clients

import (
	"fmt"
	"io"
	"testing"
	"time"

	"mintspring/internal/node/exchange"
	"mintspring/internal/node/sockstate"
)

// pipeline returns commands whose requests have consecutive IDs.
func pipeline(count int) (text string) {
	for i := range count {
		text += command("KV.GET", fmt.Sprintf("%016x", i), fmt.Sprintf("%016d", i), "c=read,d=400")
	}
	return text
}

// fullPipeline is a number of commands that do not fit into the ring buffer of a connection, so that some stay in the system's receive
// buffer.
const fullPipeline = 2000

// sendFullPipeline sends a full pipeline on a new connection, and returns the requests that are handed to the Handler at once.
func (h *harness) sendFullPipeline() (c *client, inFlight []*exchange.Exchange) {
	h.t.Helper()
	c = h.dial()
	c.send(pipeline(fullPipeline))
	for range maxPipelined {
		inFlight = append(inFlight, h.nextRequest())
	}
	return c, inFlight
}

// expectFullPipeline responds to the requests in flight, and expects a reply to each command and an orderly end.
func (c *client) expectFullPipeline(inFlight []*exchange.Exchange) {
	c.t.Helper()
	for _, x := range inFlight {
		x.Respond(exchange.Response{Value: []byte("v")})
	}
	if replies, err := c.readReplies(); err != nil || len(replies) != fullPipeline {
		c.t.Errorf("%d of %d commands have a reply, %v", len(replies), fullPipeline, err)
	}
}

// At the end of a stop, commands that have arrived and do not fit into the ring buffer are answered. The node once dropped them.
func TestStopAnswersUnreadCommands(t *testing.T) {
	h := newHarness(t)
	c, inFlight := h.sendFullPipeline()
	h.server.Lifecycle.BeginStop()
	h.server.Lifecycle.FinishStop()
	h.server.DrainConns()
	h.answerAll()
	c.expectFullPipeline(inFlight)
}

// Commands behind a request that has its response only when the stop cannot wait any longer are answered too. They were once dropped: seed 406
// of the soak.
func TestStopAnswersCommandsBehindLateResponse(t *testing.T) {
	h := newHarness(t)
	c, inFlight := h.sendFullPipeline()
	for _, advance := range []func(){h.server.Lifecycle.FinishStop, h.server.Lifecycle.EndInput} {
		advance()
		h.server.DrainConns()
		time.Sleep(5 * time.Millisecond)
	}
	c.expectFullPipeline(inFlight)
}

// A client that never pauses is rejected at the end of a stop, and its connection ends between two replies when the stop cannot wait any
// longer. How much it sends after that does not matter: the node once reset the connection after 256 KiB.
func TestConnectionOfBusyClientEndsInOrder(t *testing.T) {
	h := newHarness(t)
	h.answerAll()
	c := h.dial()
	go func() {
		for text := pipeline(100); ; {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}()
	c.expect("$1")
	c.skipLine()
	c.skipLine()
	h.server.Lifecycle.FinishStop()
	h.server.DrainConns()
	time.AfterFunc(100*time.Millisecond, func() {
		h.server.Lifecycle.EndInput()
		h.server.DrainConns()
	})
	replies, err := c.readReplies()
	if err != nil || len(replies) < maxPipelined {
		t.Errorf("%d replies, and the connection ends with %v", len(replies), err)
	}
	c.disconnect()
}

// On standby, the connection of a client that never pauses is closed 4,000 ms after the call at the latest, and every command that it has
// sent until shortly before has a reply. The connection was once kept for as long as the client sent.
func TestStandbyClosesConnectionOfBusyClient(t *testing.T) {
	h := newHarness(t)
	h.answerAll()
	c := h.dial()
	const interval = 2 * time.Millisecond
	go func() {
		for i := 0; ; i++ {
			text := command("KV.GET", "k", fmt.Sprint(i), "c=read,d=400") + command("KV.GET", "k", fmt.Sprint(i, "b"), "c=read,d=400")[:30]
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
			time.Sleep(interval)
			_, _ = io.WriteString(c, command("KV.GET", "k", fmt.Sprint(i, "b"), "c=read,d=400")[30:])
		}
	}()
	const standbyFor = 2500 // ms
	h.server.Lifecycle.EnterStandby(h.server.Clock.Now() - standbyFor)
	stopSweeps := make(chan struct{})
	defer close(stopSweeps)
	go func() {
		for {
			select {
			case <-stopSweeps:
				return
			case <-time.After(50 * time.Millisecond):
				h.server.DrainConns()
			}
		}
	}()
	start := time.Now()
	_, err := c.readReplies()
	if took := time.Since(start); err != nil || took > (4000-standbyFor)*time.Millisecond {
		t.Errorf("the connection ends with %v, %v after the call", err, took+standbyFor*time.Millisecond)
	}
}

// If the node is called back from standby, clients that never pause are served again.
func TestActiveEndsRejections(t *testing.T) {
	h := newHarness(t)
	h.answerAll()
	c := h.dial()
	state := h.server.Lifecycle
	c.send(pipeline(1) + "*1\r\n")
	c.expect("$17\r\nv0000000000000000\r\n")
	state.EnterStandby(h.server.Clock.Now() - 2500)
	c.send("$4\r\nPING\r\n" + pipeline(2) + "*1\r\n")
	c.expect("-LOADING the node is on standby\r\n")
	state.LeaveStandby()
	time.Sleep(5 * time.Millisecond)
	c.send("$4\r\nPING\r\n" + pipeline(1))
	for want := []string{"+PONG", "v0000000000000000"}; len(want) > 0; {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if len(line) > 2 && line[:len(line)-2] == want[0] {
			want = want[1:]
		}
	}
}

// A command that has arrived in time is served although the process did not read it before its deadline, for instance because it was not
// scheduled. The connection was once closed over the unread command.
func TestCommandUnreadAtItsDeadlineIsServed(t *testing.T) {
	h := newHarness(t)
	c, clientEnd := unreadConn(h)
	c.state.usage = usageUnused
	if _, err := io.WriteString(clientEnd, command("KV.GET", "k", "1", testExtra)[1:]); err != nil {
		t.Fatal(err)
	}
	go c.writeLoop()
	r := newCommandReader(c)
	r.deadline = time.Now().Add(-time.Millisecond)
	go func() {
		for r.readAndProcess() {
		}
	}()
	h.nextRequest().Respond(exchange.Response{Value: []byte("v")})
	b := make([]byte, len("$1\r\nv\r\n"))
	if _, err := io.ReadFull(clientEnd, b); err != nil || string(b) != "$1\r\nv\r\n" {
		t.Errorf("reply %q, %v", b, err)
	}
}

// An error reply to bad input on a connection with requests in flight comes after their replies, and the connection ends in order although
// the client goes on sending. The node once reset the connection after 256 KiB.
func TestBadInputBehindRequestsEndsInOrder(t *testing.T) {
	for _, badInput := range []string{"no command\r\n", "*5\r\n$6\r\nKV.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$6\r\nc=read\r\n$60000000\r\n"} {
		h := newHarness(t)
		c := h.dial()
		c.send(pipeline(10) + badInput)
		go func() {
			for piece := string(make([]byte, 64<<10)); ; {
				if _, err := io.WriteString(c, piece); err != nil {
					return
				}
			}
		}()
		for range 10 {
			h.nextRequest().Respond(exchange.Response{Value: []byte("v")})
		}
		replies, err := c.readReplies()
		if err != nil || len(replies) != 11 {
			t.Errorf("%q: %d replies, and the connection ends with %v", badInput, len(replies), err)
		}
		c.disconnect()
	}
}

// A request that is read only after its client has left is not handled. It was once forwarded: accepts had failed for a while, and the connection had
// waited in the backlog.
func TestRequestOfClientThatHasLeftIsNotHandled(t *testing.T) {
	h := newHarness(t)
	c, clientEnd := unreadConn(h)
	if _, err := io.WriteString(clientEnd, command("KV.GET", "k", "1", testExtra)[1:]); err != nil {
		t.Fatal(err)
	}
	if err := clientEnd.Close(); err != nil {
		t.Fatal(err)
	}
	for !sockstate.EndedByPeer(c.net) {
		time.Sleep(time.Millisecond)
	}
	r := newCommandReader(c)
	for r.readAndProcess() {
	}
	if handled := len(h.requests); handled > 0 || c.state.phase != phaseClosed {
		t.Errorf("%d requests were handled, the connection is in phase %d", handled, c.state.phase)
	}
}
