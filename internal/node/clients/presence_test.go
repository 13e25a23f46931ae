package clients

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mintspring/internal/node/exchange"
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

// CloseWrite closes the sending side of the connection.
func (c *client) CloseWrite() error {
	return c.Conn.(interface{ CloseWrite() error }).CloseWrite()
}
