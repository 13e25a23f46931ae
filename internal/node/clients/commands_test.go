package clients

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mintspring/internal/node/exchange"
	"mintspring/internal/node/lifecycle"
)

// A request is parsed with all its fields.
func TestParseRequest(t *testing.T) {
	h := newHarness(t)
	c := h.dial()
	c.send(command("KV.GET", "7f3a9c21e0b4d655", "9b1f", testExtra))
	x := h.nextRequest()
	if string(x.Key) != "7f3a9c21e0b4d655" || string(x.ID) != "9b1f" || string(x.Extra) != testExtra || x.Value != nil || x.Write {
		t.Errorf("parsed as %+v", x)
	}
	if x.KeyHash != 0x7f3a9c21e0b4d655 || x.Tenant != 1 || x.Work != 2.5 || x.ValueSize != 70 || x.Deadline-x.ArrivedAt != 475 {
		t.Errorf("parsed as %+v", x)
	}
	c.send(command("kv.set", "any key", "9b20", "c=put,d=9000,k=5c", ""))
	if y := h.nextRequest(); !y.Write || y.Value == nil || len(y.Value) != 0 || y.Deadline-y.ArrivedAt != 495 || y.KeyHash == 0 {
		t.Errorf("parsed as %+v", y)
	}
}

// Replies come in the order of the commands, each once and completely, in whatever order the responses are given.
func TestRepliesKeepOrder(t *testing.T) {
	h := newHarness(t)
	c := h.dial()
	commands := ""
	for i := range 3 {
		commands += command("KV.GET", "a", fmt.Sprint(i), testExtra)
	}
	for _, part := range strings.SplitAfter(commands+command("PING")+command("PING", "hi"), "\n") {
		c.send(part) // in pieces
	}
	first, second, third := h.nextRequest(), h.nextRequest(), h.nextRequest()
	third.Respond(exchange.Response{Kind: exchange.Aborted, Reason: "unknown"})
	second.Respond(exchange.Response{Kind: exchange.Rejected, RetryAfter: 12.7})
	if !first.Respond(exchange.Response{Value: []byte(strings.Repeat("v", 60000))}) || first.Respond(exchange.Response{Kind: exchange.Rejected}) {
		t.Error("a second response was accepted")
	}
	c.expect("$60000\r\n" + strings.Repeat("v", 60000) + "\r\n-BUSY 12\r\n-ERR unknown\r\n+PONG\r\n$2\r\nhi\r\n")
}

// Commands that cannot be accepted get an error reply. The connection stays open unless the end of the command is unknown.
func TestMalformedCommandsAreReplied(t *testing.T) {
	h := newHarness(t)
	c := h.dial()
	for _, args := range [][]string{
		{"NOPE"},
		{"KV.GET", "k", "i"},
		{"KV.GET", "k", "i", testExtra, "more"},
		{"KV.SET", "k", "i", testExtra},
		{"KV.GET", "k", "i", "c=none,d=5"},
		{"KV.GET", "k", "i", "d=5"},
		{"KV.GET", "k", "i", "c=read,d=soon"},
		{"KV.GET", "k", "i", "c=read,d=-1"},
		{"KV.GET", "k", "i", "c=read,d=NaN"},
		{"KV.GET", "k\r\nReq-Id: 2", "i", testExtra},
		{"KV.GET", "", "i", testExtra},
		{"KV.GET", "k", "i", "word"},
		{"KV.SET", "k", "i", "c=put,d=5", "no mark"},
		{"HELLO", "3"},
		{"a\r\nb"},
		{"PING", "a", "b"},
	} {
		c.send(command(args...))
		line, err := c.reader.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, "-ERR ") || !strings.HasSuffix(line, "\r\n") {
			t.Errorf("%q: reply %q, %v", args, line, err)
		}
	}
	c.send(command("PING")) // the connection is open
	c.expect("+PONG\r\n")
	for _, input := range []string{
		"GET / HTTP/1.1\r\n\r\n", "*2\r\n:1\r\n", "*x\r\n", "*99\r\n", "*1\r\n$-5\r\n", "*1\r\n$3\r\nabcd\r\n",
		"$3\r\nabc\r\n", "*1\r\n\nabc",
	} {
		c := h.dial()
		c.send(command("PING") + input)
		c.expect("+PONG\r\n-ERR ")
		if line, _ := c.reader.ReadString('\n'); !strings.HasSuffix(line, "\r\n") {
			t.Errorf("%q: the reply is cut at %q", input, line)
		}
		c.expectEnd()
	}
	if len(h.requests) > 0 {
		t.Error("a malformed command was handled as a request")
	}
}

// Commands before a malformed one are still replied to, even if that takes longer than the write timeout.
func TestRepliesBeforeMalformedCommand(t *testing.T) {
	h := newHarness(t, func(s *Server) { s.Config().WriteTimeout = 200 })
	c := h.dial()
	c.send(command("KV.GET", "k", "1", testExtra) + "nonsense\r\n")
	x := h.nextRequest()
	time.Sleep(300 * time.Millisecond)
	x.Respond(exchange.Response{Value: []byte("v")})
	c.expect("$1\r\nv\r\n-ERR ")
	c.skipLine()
	c.expectEnd()
}

// panickingHandler panics at each request.
type panickingHandler struct{ Handler }

func (panickingHandler) HandleRequest(*exchange.Exchange) { panic("bad") }

// A panic in a connection's goroutine closes that connection and no other.
func TestPanicClosesOneConnection(t *testing.T) {
	panics := make(chan any, 1)
	h := newHarness(t, func(s *Server) {
		s.OnPanic = func(p any) { panics <- p }
		s.Handler = panickingHandler{s.Handler}
	})
	other, c := h.dial(), h.dial()
	c.send(command("KV.GET", "k", "1", testExtra))
	c.expectEnd()
	if p := <-panics; p == nil {
		t.Error("no panic was reported")
	}
	other.send(command("PING"))
	other.expect("+PONG\r\n")
}

// PING is refused until the node is ready.
func TestPingBeforeReady(t *testing.T) {
	h := newHarness(t, func(s *Server) { s.Lifecycle = &lifecycle.State{} })
	c := h.dial()
	c.send(command("PING"))
	c.expect("-LOADING ")
}

// Cache servers tell requests apart by their IDs. A request with the ID of one in flight is rejected; the ID is free again once that
// request is answered or its client has disconnected.
func TestDuplicateRequestID(t *testing.T) {
	h := newHarness(t)
	first, second := h.dial(), h.dial()
	request := command("KV.GET", "k", "1", testExtra)
	first.send(request)
	x := h.nextRequest()
	second.send(request)
	second.expect("-ERR another query in hand has this id\r\n")
	x.Respond(exchange.Response{Value: []byte("v")})
	second.send(request)
	h.nextRequest()
	second.disconnect()
	<-h.disconnected
	first.send(request)
	h.nextRequest()
}
