package upstream

import (
	"fmt"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"mintspring/internal/node/exchange"
)

// crossingServer responds to each request with its text, except those that begin with "miss", which it misses. It sends a second copy of an
// earlier response when the next request has arrived, and the response to that request some time later.
type crossingServer struct {
	back      int           // which response is sent again: 1 is the one before
	copyDelay time.Duration // from a request to the second copy that crosses it
	work      time.Duration // from the second copy to the response
	together  bool          // the copy and the response are sent in one segment
}

func (s *crossingServer) serve(c net.Conn) {
	var sent []string
	for request := read(c); request != ""; request = read(c) {
		second := ""
		if len(sent) >= s.back {
			second = sent[len(sent)-s.back]
			time.Sleep(s.copyDelay)
		}
		response := request
		if strings.HasPrefix(request, "miss") {
			response = "miss\n"
		}
		if !s.together {
			write(c, second)
			second = ""
			time.Sleep(s.work)
		}
		write(c, second+response)
		sent = append(sent, response)
	}
}

// expectOwnValue waits for the next completion, and checks that it has the value made for the request with the given key.
func (h *harness) expectOwnValue(key string) {
	h.t.Helper()
	completion := h.nextCompletion()
	if got := string(completion.Response.Value); got != key || completion.Failure != nil {
		h.t.Errorf("%s: response %q, %v", key, got, completion.Failure)
	}
}

// sendWrite starts an attempt of a write with an effect.
func (h *harness) sendWrite(key string) {
	h.endpoint.Send(&exchange.Exchange{Key: []byte(key), Write: true, ExecuteOnce: true}, 0, 2000, math.Inf(1))
}

// Guards against a write that is answered with the value of the read before it on its connection: the second copy of that value crossed the
// write, and was not compared because the receipts of writes are not.
func TestDuplicateOfValueIsNotReceiptOfWrite(t *testing.T) {
	server := &crossingServer{back: 1, work: 5 * time.Millisecond}
	h := newDuplicateHarness(t, server.serve)
	for i := range 5 {
		read, write := fmt.Sprintf("value of the read %04d", i), fmt.Sprintf("receipt of the write %04d", i)
		h.send(read, 2000)
		h.expectOwnValue(read)
		h.sendWrite(write)
		h.expectOwnValue(write)
	}
}

// Guards against a response that is a second copy of one before the last one: a copy that is some milliseconds late may come after another
// request was answered on its connection.
func TestDuplicateOfEarlierResponseIsRecognized(t *testing.T) {
	for _, back := range []int{2, 3, 5} {
		server := &crossingServer{back: back, work: 5 * time.Millisecond}
		h := newDuplicateHarness(t, server.serve)
		for i := range 10 {
			key := fmt.Sprintf("value of the key %04d", i)
			h.send(key, 2000)
			h.expectOwnValue(key)
		}
	}
}

// Guards against a request that is answered only when it times out: its response had been read together with the second copy of another one,
// and was not looked at until more bytes came.
func TestResponseBehindDuplicateInOneRead(t *testing.T) {
	server := &crossingServer{back: 1, copyDelay: time.Millisecond, together: true}
	h := newDuplicateHarness(t, server.serve)
	for i := range 5 {
		key := fmt.Sprintf("value of the key %04d", i)
		h.send(key, 300)
		h.expectOwnValue(key)
	}
}
