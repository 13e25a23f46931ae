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
func (r *harness) expectMemoryFree() {
	r.t.Helper()
	for deadline := time.Now().Add(2 * time.Second); r.server.Memory.Used() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			r.t.Fatalf("%d bytes of memory are reserved", r.server.Memory.Used())
		}
	}
}

// A panic of the handler at a large write gives the memory reserved for that back once.
func TestPanicAtLargeWriteReleasesMemoryOnce(t *testing.T) {
	panics := make(chan any, 1)
	r := newHarness(t, func(s *Server) {
		s.Memory = memlimit.New(1_000_000)
		s.Handler = panickingHandler{s.Handler}
		s.OnPanic = func(p any) { panics <- p }
	})
	c := r.dial()
	c.send(command("KV.SET", "k", "1", "c=put,d=400,k=m", strings.Repeat("v", 100_000)))
	c.expectEnd()
	if p := <-panics; p != "bad" {
		t.Errorf("panic %v", p)
	}
	if used := r.server.Memory.Used(); used != 0 {
		t.Errorf("%d bytes of memory are reserved", used)
	}
}

// panickingStream is a large value that panics at its first piece.
type panickingStream struct{}

func (panickingStream) Size() int64           { return 1 }
func (panickingStream) Next() ([]byte, error) { panic("bad piece") }
func (panickingStream) Close()                {}

// A panic while the reply to a large write is written gives the memory reserved for the write back.
func TestPanicInWriterReleasesMemory(t *testing.T) {
	panics := make(chan any, 1)
	r := newHarness(t, func(s *Server) {
		s.Memory = memlimit.New(1_000_000)
		s.OnPanic = func(p any) { panics <- p }
	})
	c := r.dial()
	c.send(command("KV.SET", "k", "1", "c=put,d=400,k=m", strings.Repeat("v", 100_000)))
	r.nextRequest().Respond(exchange.Response{Stream: panickingStream{}})
	c.expectEnd()
	if p := <-panics; p != "bad piece" {
		t.Errorf("panic %v", p)
	}
	if used, buffered := r.server.Memory.Used(), r.server.buffered.Load(); used != 0 || buffered != 0 {
		t.Errorf("%d bytes are reserved and %d buffered", used, buffered)
	}
}

// A large write, in any pieces, becomes one request with its bytes; memory is reserved for it until its reply is written,
// whoever disconnects first.
func TestBufferedLargeWrites(t *testing.T) {
	r := newHarness(t, func(s *Server) { s.Memory = memlimit.New(1_000_000); s.Config().WriteTimeout = 100 })
	value := strings.Repeat("0123456789abcdef", 30_000) // 480 kB
	text := command("KV.SET", "k", "1", "c=put,d=400,k=m", value) + command("PING")
	for _, piece := range []int{len(text), 50_000, 7_001} {
		c := r.dial()
		go c.writePieces(piece, text)
		x := r.nextRequest()
		if string(x.Value) != value || !x.Write || !x.IsLarge() || string(x.Key) != "k" {
			t.Fatalf("pieces of %d: %d bytes for %q", piece, len(x.Value), x.Key)
		}
		if r.server.Memory.Used() < int64(len(value)) {
			t.Error("no memory is reserved for it")
		}
		x.Respond(exchange.Response{Value: []byte("done")})
		c.expect("$4\r\ndone\r\n+PONG\r\n")
		r.expectMemoryFree()
	}
	// Half a value and a disconnect, a request in flight at a disconnect, and an unknown class.
	c := r.dial()
	c.send(text[:200_000])
	time.Sleep(20 * time.Millisecond)
	c.disconnect()
	r.expectMemoryFree()
	c = r.dial()
	go c.send(text)
	x := r.nextRequest()
	c.disconnect()
	<-r.gone
	x.Respond(exchange.Response{Value: []byte("late")})
	r.expectMemoryFree()
	c = r.dial()
	go c.send(command("KV.SET", "k", "2", "c=none,d=400", value) + command("PING"))
	c.expect("-ERR class 'none' is not known\r\n+PONG\r\n")
	r.expectMemoryFree()
}

// Where there is memory for two large writes, a third is streamed; rejected, it blocks nothing.
func TestLargeWritesBeyondMemory(t *testing.T) {
	r := newHarness(t, func(s *Server) { s.Memory = memlimit.New(1_000_000); s.Config().WriteTimeout = 100 })
	value := strings.Repeat("0123456789abcdef", 30_000) // 480 kB
	var xs []*exchange.Exchange
	for i := range 2 {
		go r.dial().send(command("KV.SET", "k", fmt.Sprint("a", i), "c=put,d=400,k=m", value))
		xs = append(xs, r.nextRequest())
	}
	c := r.dial()
	go c.send(command("KV.SET", "k", "3", "c=put,d=400,k=m", value) + command("PING"))
	x := r.nextRequest()
	if x.Body == nil {
		t.Error("more is buffered than there is memory for")
	}
	x.Respond(exchange.Response{Kind: exchange.Rejected, RetryAfter: 70})
	c.expect("-BUSY 70\r\n+PONG\r\n")
	xs[0].Respond(exchange.Response{Value: []byte("v")})
	go c.send(command("KV.SET", "k", "4", "c=put,d=400,k=m", value))
	r.nextRequest().Respond(exchange.Response{Value: []byte("w")})
	c.expect("$1\r\nw\r\n")
	xs[1].Respond(exchange.Response{Value: []byte("v")})
	r.expectMemoryFree()
	// Over 4 MiB nothing is buffered.
	c = r.dial()
	go c.send(command("KV.SET", "k", "5", "c=put,d=400,k=m", strings.Repeat("x", 5<<20)))
	c.expect("-ERR a part larger than any may be")
}

// A large write for which there is no memory is passed on at its head; its value follows as it arrives and is read, the last
// byte only with the end of the command, and its time limit begins there.
func TestStreamedLargeWrites(t *testing.T) {
	r := newHarness(t, func(s *Server) { s.Memory = memlimit.New(1) })
	value := strings.Repeat("0123456789abcdef", 30_000)
	text := command("KV.SET", "k", "1", "c=put,d=400,k=m", value) + command("PING")
	for _, piece := range []int{len(text), 50_000, 7_001} {
		c := r.dial()
		go c.writePieces(piece, text)
		x := r.nextRequest()
		if x.Body == nil || x.Body.Size != int64(len(value)) || x.Timeout < 300 || x.Deadline-x.ArrivedAt < 20_000 || x.Body.Consumed() {
			t.Fatalf("pieces of %d: %+v", piece, x)
		}
		b := make([]byte, len(value))
		if _, err := io.ReadFull(x.Body, b[:len(b)-1]); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(x.Body, b[len(b)-1:]); err != nil || string(b) != value || r.nextComplete() != x {
			t.Fatalf("pieces of %d: another value, or it was not reported as complete: %v", piece, err)
		}
		x.Respond(exchange.Response{Value: []byte("done")})
		c.expect("$4\r\ndone\r\n+PONG\r\n")
	}
	// If the client disconnects within it, or the command does not end where it should, the last byte is never passed on.
	for i, end := range []string{"", "xx" + command("PING")} {
		c := r.dial()
		go func() {
			c.send(strings.TrimSuffix(text, "\r\n"+command("PING"))[:len(text)-60])
			if i == 1 {
				c.send(strings.TrimSuffix(text, "\r\n"+command("PING"))[len(text)-60:] + end)
			} else {
				c.disconnect()
			}
		}()
		x := r.nextRequest()
		b, err := io.ReadAll(x.Body)
		if err == nil || len(b) >= len(value) {
			t.Errorf("%d of %d bytes arrived, %v", len(b), len(value), err)
		}
		x.Respond(exchange.Response{Kind: exchange.Aborted})
	}
	// Answered before any of it was read, the rest is skipped.
	c := r.dial()
	go c.send(text)
	r.nextRequest().Respond(exchange.Response{Kind: exchange.Rejected, RetryAfter: 70})
	c.expect("-BUSY 70\r\n+PONG\r\n")
	if len(r.complete) > 0 {
		t.Error("an incomplete body is reported as complete")
	}
}

func (r *harness) nextComplete() *exchange.Exchange {
	select {
	case x := <-r.complete:
		return x
	case <-time.After(5 * time.Second):
		return nil
	}
}

// A large write that stalls ends its connection, and the requests before it have their answers first.
func TestRepliesBeforeStalledUpload(t *testing.T) {
	for _, memory := range []int64{1_000_000, 1} { // it is buffered, or passed on as it arrives
		r := newHarness(t, func(s *Server) { s.CommandTimeout, s.Memory = 60, memlimit.New(memory) })
		c := r.dial()
		write := command("KV.SET", "k", "2", "c=put,d=400,k=m", strings.Repeat("v", 100_000))
		c.send(command("KV.GET", "k", "1", "c=read,d=400") + write[:50_000])
		x := r.nextRequest()
		if memory == 1 {
			stalled := r.nextRequest()
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
		if got, err := c.readReplies(); err != nil || len(got) < 2 || got[0] != "v" || !strings.HasPrefix(got[1], "-ERR") {
			t.Errorf("memory for %d bytes: replies %q, %v", memory, got, err)
		}
	}
}
