package clients

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mintspring/internal/node/exchange"
	"mintspring/internal/node/memlimit"
)

// The commands of a client that has closed its connection, behind more bytes than fit into the sockets, are not handed on: nothing shows the close
// until a reply is written. Once they were, when memory for their replies was free again.
func TestCommandsOfUnconfirmedClientWait(t *testing.T) {
	h := newHarness(t, func(s *Server) { s.ReplyMemory = NewReplyMemory(2 * replySize) })
	holder := h.dial()
	holder.send(pipeline(3))
	var held []*exchange.Exchange
	for range 3 {
		held = append(held, h.nextRequest()) // the second and the third hold all the memory
	}
	leaving := h.dial()
	text := ""
	for i := range 300 {
		text += command("KV.SET", "k", fmt.Sprint("w", i), "c=pay,d=400", strings.Repeat("v", 5000))
	}
	go leaving.send(text)
	first := h.nextRequest()
	time.Sleep(50 * time.Millisecond) // the sockets are full
	if err := leaving.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * maxUnconfirmed * time.Millisecond)
	for _, x := range held {
		x.Respond(exchange.Response{Value: []byte("v")})
	}
	select {
	case x := <-h.requests:
		t.Errorf("request %s of a client that may have left is handed on", x.ID)
	case <-time.After(200 * time.Millisecond):
	}
	first.Respond(exchange.Response{Value: []byte("v")})
	h.nextRequest() // a client that is still connected gets its replies
}

// A large write behind another one that takes long is handed on as soon as it has arrived: it once waited for the reply to that one, and its time
// ran from then, so that its answer came after its time.
func TestLargeWriteBehindAnotherIsNotHeldBack(t *testing.T) {
	h := newHarness(t, func(s *Server) { s.Memory = memlimit.New(8 << 20) })
	c := h.dial()
	write := func(id string) { c.send(command("KV.SET", "k", id, "c=pay,d=400", strings.Repeat("v", 1<<20))) }
	go write("slow")
	slow := h.nextRequest()
	time.Sleep(2 * maxUnconfirmed * time.Millisecond)
	go write("large")
	select {
	case large := <-h.requests:
		large.Respond(exchange.Response{Value: []byte("v")})
	case <-time.After(200 * time.Millisecond):
		t.Error("the large write waits for the reply to the request before it")
	}
	slow.Respond(exchange.Response{Value: []byte("v")})
}

// CloseWrite closes the sending side of the connection.
func (c *client) CloseWrite() error {
	return c.Conn.(interface{ CloseWrite() error }).CloseWrite()
}

// The id of a request with an effect is not accepted again while a server may execute the request of a client that has left: it was executed twice.
// It is accepted when the longest timeout is over, and that of a read at once.
func TestIDOfDepartedClient(t *testing.T) {
	h := newHarness(t, func(s *Server) { s.Config().LongestTimeout = 300 })
	send := func(id, class string) *client {
		c := h.dial()
		c.send(command("KV.SET", "k", id, class, "v"))
		return c
	}
	for _, id := range []string{"effect", "none"} {
		class := map[string]string{"effect": "c=pay,d=400", "none": "c=read,d=400"}[id]
		c := send(id, class)
		h.nextRequest()
		c.disconnect()
		<-h.disconnected
	}
	send("none", "c=read,d=400")
	h.nextRequest()
	send("effect", "c=pay,d=400").expect("-ERR another query in hand has this id\r\n")
	time.Sleep(350 * time.Millisecond)
	send("effect", "c=pay,d=400")
	h.nextRequest()
	var ids departedIDs
	for i := range 2 * maxDepartedIDs {
		ids.add(0, 1, fmt.Sprint(i))
	}
	if len(ids.until) != maxDepartedIDs || len(ids.order) != maxDepartedIDs || !ids.contains(0.5, []byte(fmt.Sprint(maxDepartedIDs))) || ids.contains(2, nil) || ids.until[""] > 0 || len(ids.until) > 0 {
		t.Errorf("%d ids are remembered", len(ids.until))
	}
}
