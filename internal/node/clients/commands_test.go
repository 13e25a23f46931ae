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
	r := newHarness(t)
	c := r.dial()
	c.send(command("KV.GET", "7f3a9c21e0b4d655", "9b1f", testExtra))
	x := r.nextRequest()
	if string(x.Key) != "7f3a9c21e0b4d655" || string(x.ID) != "9b1f" || string(x.Extra) != testExtra || x.Value != nil || x.Write {
		t.Errorf("parsed as %+v", x)
	}
	if x.KeyHash != 0x7f3a9c21e0b4d655 || x.Tenant != 1 || x.Work != 2.5 || x.ValueSize != 70 || x.Deadline-x.ArrivedAt != 475 {
		t.Errorf("parsed as %+v", x)
	}
	c.send(command("kv.set", "any key", "9b20", "c=put,d=9000,k=5c", ""))
	if y := r.nextRequest(); !y.Write || y.Value == nil || len(y.Value) != 0 || y.Deadline-y.ArrivedAt != 495 || y.KeyHash == 0 {
		t.Errorf("parsed as %+v", y)
	}
}

// Replies come in the order of the commands, each once and completely, in whatever order the answers are given.
func TestRepliesKeepOrder(t *testing.T) {
	r := newHarness(t)
	c := r.dial()
	all := ""
	for i := range 3 {
		all += command("KV.GET", "a", fmt.Sprint(i), testExtra)
	}
	for _, part := range strings.SplitAfter(all+command("PING")+command("PING", "hi"), "\n") {
		c.send(part) // in pieces
	}
	a, b, d := r.nextRequest(), r.nextRequest(), r.nextRequest()
	d.Respond(exchange.Response{Kind: exchange.Aborted, Reason: "unknown"})
	b.Respond(exchange.Response{Kind: exchange.Rejected, RetryAfter: 12.7})
	if !a.Respond(exchange.Response{Value: []byte(strings.Repeat("v", 60000))}) || a.Respond(exchange.Response{Kind: exchange.Rejected}) {
		t.Error("a second answer counted")
	}
	c.expect("$60000\r\n" + strings.Repeat("v", 60000) + "\r\n-BUSY 12\r\n-ERR unknown\r\n+PONG\r\n$2\r\nhi\r\n")
}

// Commands that cannot be accepted get an error reply; the connection stays unless it is out of step.
func TestMalformedCommandsAreReplied(t *testing.T) {
	r := newHarness(t)
	c := r.dial()
	for _, words := range [][]string{
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
		c.send(command(words...))
		line, err := c.r.ReadString('\n')
		if err != nil || !strings.HasPrefix(line, "-ERR ") || !strings.HasSuffix(line, "\r\n") {
			t.Errorf("%q: reply %q, %v", words, line, err)
		}
	}
	c.send(command("PING")) // the connection is open
	c.expect("+PONG\r\n")
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "*2\r\n:1\r\n", "*x\r\n", "*99\r\n", "*1\r\n$-5\r\n", "*1\r\n$3\r\nabcd\r\n", "$3\r\nabc\r\n", "*1\r\n\nabc"} {
		c := r.dial()
		c.send(command("PING") + text)
		c.expect("+PONG\r\n-ERR ")
		if line, _ := c.r.ReadString('\n'); !strings.HasSuffix(line, "\r\n") {
			t.Errorf("%q: the reply is cut at %q", text, line)
		}
		c.expectEnd()
	}
	if len(r.taken) > 0 {
		t.Error("something was taken for a request")
	}
}

// Commands before a malformed one are still replied to, however long that takes.
func TestRepliesBeforeMalformedCommand(t *testing.T) {
	r := newHarness(t, func(s *Server) { s.Config().WriteTimeout = 200 })
	c := r.dial()
	c.send(command("KV.GET", "k", "1", testExtra) + "nonsense\r\n")
	x := r.nextRequest()
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
	r := newHarness(t, func(s *Server) {
		s.OnPanic = func(p any) { panics <- p }
		s.Handler = panickingHandler{s.Handler}
	})
	other, c := r.dial(), r.dial()
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
	r := newHarness(t, func(s *Server) { s.Lifecycle = &lifecycle.State{} })
	c := r.dial()
	c.send(command("PING"))
	c.expect("-LOADING ")
}

// Cache servers tell requests apart by their ids: one that is in flight already is refused, and is free again once that
// request is answered or its client has disconnected.
func TestDuplicateRequestID(t *testing.T) {
	r := newHarness(t)
	first, second := r.dial(), r.dial()
	request := command("KV.GET", "k", "1", testExtra)
	first.send(request)
	x := r.nextRequest()
	second.send(request)
	second.expect("-ERR another query in hand has this id\r\n")
	x.Respond(exchange.Response{Value: []byte("v")})
	second.send(request)
	r.nextRequest()
	second.disconnect()
	<-r.gone
	first.send(request)
	r.nextRequest()
}
