package clients

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"mintspring/internal/node/exchange"
	"mintspring/internal/node/memlimit"
)

// expectMemoryFree waits until no memory is reserved.
func (h *harness) expectMemoryFree() {
	h.t.Helper()
	for deadline := time.Now().Add(2 * time.Second); h.server.Memory.Used() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			h.t.Fatalf("%d bytes of memory are reserved", h.server.Memory.Used())
		}
	}
}

// If the handler panics at a large write, the memory reserved for the write is released exactly once.
func TestPanicAtLargeWriteReleasesMemoryOnce(t *testing.T) {
	panics := make(chan any, 1)
	h := newHarness(t, func(s *Server) {
		s.Memory = memlimit.New(1_000_000)
		s.Handler = panickingHandler{s.Handler}
		s.OnPanic = func(p any) { panics <- p }
	})
	c := h.dial()
	c.send(command("KV.SET", "k", "1", "c=put,d=400,k=m", strings.Repeat("v", 100_000)))
	c.expectEnd()
	if p := <-panics; p != "bad" {
		t.Errorf("panic %v", p)
	}
	if used := h.server.Memory.Used(); used != 0 {
		t.Errorf("%d bytes of memory are reserved", used)
	}
}

// panickingStream is a large value that panics when its first chunk is read.
type panickingStream struct{}

func (panickingStream) Size() int64           { return 1 }
func (panickingStream) Next() ([]byte, error) { panic("bad piece") }
func (panickingStream) Close()                {}

// If writing the reply to a large write panics, the memory reserved for the write is released.
func TestPanicInWriterReleasesMemory(t *testing.T) {
	panics := make(chan any, 1)
	h := newHarness(t, func(s *Server) {
		s.Memory = memlimit.New(1_000_000)
		s.OnPanic = func(p any) { panics <- p }
	})
	c := h.dial()
	c.send(command("KV.SET", "k", "1", "c=put,d=400,k=m", strings.Repeat("v", 100_000)))
	h.nextRequest().Respond(exchange.Response{Stream: panickingStream{}})
	c.expectEnd()
	if p := <-panics; p != "bad piece" {
		t.Errorf("panic %v", p)
	}
	if used, buffered := h.server.Memory.Used(), h.server.buffered.Load(); used != 0 || buffered != 0 {
		t.Errorf("%d bytes are reserved and %d buffered", used, buffered)
	}
}

// A large write becomes one request with all its bytes, in whatever pieces it arrives. Memory is reserved for it until its reply is
// written or its client has disconnected.
func TestBufferedLargeWrites(t *testing.T) {
	h := newHarness(t, func(s *Server) { s.Memory = memlimit.New(1_000_000); s.Config().WriteTimeout = 100 })
	value := strings.Repeat("0123456789abcdef", 30_000) // 480 kB
	text := command("KV.SET", "k", "1", "c=put,d=400,k=m", value) + command("PING")
	for _, chunkSize := range []int{len(text), 50_000, 7_001} {
		c := h.dial()
		go c.sendChunks(chunkSize, text)
		x := h.nextRequest()
		if string(x.Value) != value || !x.Write || !x.IsLarge() || string(x.Key) != "k" {
			t.Fatalf("chunks of %d: %d bytes for %q", chunkSize, len(x.Value), x.Key)
		}
		if h.server.Memory.Used() < int64(len(value)) {
			t.Error("no memory is reserved for the write")
		}
		x.Respond(exchange.Response{Value: []byte("done")})
		c.expect("$4\r\ndone\r\n+PONG\r\n")
		h.expectMemoryFree()
	}
	// Memory is also released if the client disconnects within the value or with the request in flight, and if the class is unknown.
	c := h.dial()
	c.send(text[:200_000])
	time.Sleep(20 * time.Millisecond)
	c.disconnect()
	h.expectMemoryFree()
	c = h.dial()
	go c.send(text)
	x := h.nextRequest()
	c.disconnect()
	<-h.disconnected
	x.Respond(exchange.Response{Value: []byte("late")})
	h.expectMemoryFree()
	c = h.dial()
	go c.send(command("KV.SET", "k", "2", "c=none,d=400", value) + command("PING"))
	c.expect("-ERR class 'none' is not known\r\n+PONG\r\n")
	h.expectMemoryFree()
}

// If there is memory for two large writes, a third is streamed. If that one is rejected, it blocks nothing.
func TestLargeWritesBeyondMemory(t *testing.T) {
	h := newHarness(t, func(s *Server) { s.Memory = memlimit.New(1_000_000); s.Config().WriteTimeout = 100 })
	value := strings.Repeat("0123456789abcdef", 30_000) // 480 kB
	var buffered []*exchange.Exchange
	for i := range 2 {
		go h.dial().send(command("KV.SET", "k", fmt.Sprint("a", i), "c=put,d=400,k=m", value))
		buffered = append(buffered, h.nextRequest())
	}
	c := h.dial()
	go c.send(command("KV.SET", "k", "3", "c=put,d=400,k=m", value) + command("PING"))
	x := h.nextRequest()
	if x.Body == nil {
		t.Error("a write is buffered without memory for it")
	}
	x.Respond(exchange.Response{Kind: exchange.Rejected, RetryAfter: 70})
	c.expect("-BUSY 70\r\n+PONG\r\n")
	buffered[0].Respond(exchange.Response{Value: []byte("v")})
	go c.send(command("KV.SET", "k", "4", "c=put,d=400,k=m", value))
	h.nextRequest().Respond(exchange.Response{Value: []byte("w")})
	c.expect("$1\r\nw\r\n")
	buffered[1].Respond(exchange.Response{Value: []byte("v")})
	h.expectMemoryFree()
	// A value over 4 MiB is rejected.
	c = h.dial()
	go c.send(command("KV.SET", "k", "5", "c=put,d=400,k=m", strings.Repeat("x", 5<<20)))
	c.expect("-ERR a part larger than any may be")
}

// A large write for which there is no memory is handed to the handler before its value. The value is forwarded as it arrives and is
// read, but its last byte only once the end of the command has arrived. The time limit starts with the last byte.
func TestStreamedLargeWrites(t *testing.T) {
	h := newHarness(t, func(s *Server) { s.Memory = memlimit.New(1) })
	value := strings.Repeat("0123456789abcdef", 30_000)
	text := command("KV.SET", "k", "1", "c=put,d=400,k=m", value) + command("PING")
	for _, chunkSize := range []int{len(text), 50_000, 7_001} {
		c := h.dial()
		go c.sendChunks(chunkSize, text)
		x := h.nextRequest()
		if x.Body == nil || x.Body.Size != int64(len(value)) || x.Timeout < 300 || x.Deadline-x.ArrivedAt < 20_000 || x.Body.Consumed() {
			t.Fatalf("chunks of %d: %+v", chunkSize, x)
		}
		b := make([]byte, len(value))
		if _, err := io.ReadFull(x.Body, b[:len(b)-1]); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(x.Body, b[len(b)-1:]); err != nil || string(b) != value || h.nextBody() != x {
			t.Fatalf("chunks of %d: the value is another one, or not reported as complete: %v", chunkSize, err)
		}
		x.Respond(exchange.Response{Value: []byte("done")})
		c.expect("$4\r\ndone\r\n+PONG\r\n")
	}
	// If the client disconnects within the value, or the command does not end behind it, the last byte is never forwarded.
	for i, end := range []string{"", "xx" + command("PING")} {
		c := h.dial()
		go func() {
			c.send(strings.TrimSuffix(text, "\r\n"+command("PING"))[:len(text)-60])
			if i == 1 {
				c.send(strings.TrimSuffix(text, "\r\n"+command("PING"))[len(text)-60:] + end)
			} else {
				c.disconnect()
			}
		}()
		x := h.nextRequest()
		b, err := io.ReadAll(x.Body)
		if err == nil || len(b) >= len(value) {
			t.Errorf("%d of %d bytes arrived, %v", len(b), len(value), err)
		}
		x.Respond(exchange.Response{Kind: exchange.Aborted})
	}
	// If the request is answered before any of its value was read, the value is skipped.
	c := h.dial()
	go c.send(text)
	h.nextRequest().Respond(exchange.Response{Kind: exchange.Rejected, RetryAfter: 70})
	c.expect("-BUSY 70\r\n+PONG\r\n")
	if len(h.bodies) > 0 {
		t.Error("an incomplete body is reported as complete")
	}
}

func (h *harness) nextBody() *exchange.Exchange {
	select {
	case x := <-h.bodies:
		return x
	case <-time.After(5 * time.Second):
		return nil
	}
}

// A large write that stalls ends its connection, but earlier requests get their replies first.
func TestRepliesBeforeStalledUpload(t *testing.T) {
	for _, memory := range []int64{1_000_000, 1} { // the write is buffered, or forwarded as it arrives
		h := newHarness(t, func(s *Server) { s.CommandTimeout, s.Memory = 60, memlimit.New(memory) })
		c := h.dial()
		write := command("KV.SET", "k", "2", "c=put,d=400,k=m", strings.Repeat("v", 100_000))
		c.send(command("KV.GET", "k", "1", "c=read,d=400") + write[:50_000])
		x := h.nextRequest()
		if memory == 1 {
			stalled := h.nextRequest()
			go func() {
				for {
					if _, err := stalled.Body.Read(make([]byte, 1<<16)); err != nil {
						stalled.Respond(exchange.Response{Kind: exchange.Aborted, Reason: err.Error()})
						return
					}
				}
			}()
		}
		time.Sleep(3 * 60 * time.Millisecond)
		x.Respond(exchange.Response{Value: []byte("v")})
		if replies, err := c.readReplies(); err != nil || len(replies) < 2 || replies[0] != "v" || !strings.HasPrefix(replies[1], "-ERR") {
			t.Errorf("memory for %d bytes: replies %q, %v", memory, replies, err)
		}
	}
}
