package clients

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"mintspring/internal/node/exchange"
)

// fakeStream is a large value whose chunks come from the test.
type fakeStream struct {
	size   int64
	chunks chan string // closed: Next returns err
	err    error
	closed chan struct{}
	once   sync.Once
}

func newFakeStream(size int, err error, chunks ...string) *fakeStream {
	f := &fakeStream{size: int64(size), chunks: make(chan string, 100), err: err, closed: make(chan struct{})}
	for _, s := range chunks {
		f.chunks <- s
	}
	return f
}

func (f *fakeStream) Size() int64 { return f.size }
func (f *fakeStream) Close()      { f.once.Do(func() { close(f.closed) }) }
func (f *fakeStream) Next() ([]byte, error) {
	select {
	case s, more := <-f.chunks:
		if !more {
			return nil, f.err
		}
		return []byte(s), nil
	case <-f.closed:
		return nil, net.ErrClosed
	}
}

func (f *fakeStream) expectClosed(t *testing.T) {
	t.Helper()
	select {
	case <-f.closed:
	case <-time.After(5 * time.Second):
		t.Error("the stream is not closed")
	}
}

// Each chunk of a large value is written as it arrives. The value keeps its place in the order of the replies.
func TestStreamedReply(t *testing.T) {
	h := newHarness(t)
	c := h.dial()
	c.send(command("KV.GET", "k", "1", testExtra) + command("PING"))
	stream := newFakeStream(6, io.EOF, "abc")
	h.nextRequest().Respond(exchange.Response{Stream: stream})
	c.expect("$6\r\nabc") // before the rest arrives
	stream.chunks <- "def"
	close(stream.chunks)
	c.expect("def\r\n+PONG\r\n")
	stream.expectClosed(t)
}

// If a value breaks off before its first byte, the client gets an error reply. If it breaks off later, the connection is closed, so that
// the client detects the incomplete value.
func TestTruncatedStream(t *testing.T) {
	h := newHarness(t)
	c := h.dial()
	c.send(command("KV.GET", "k", "1", testExtra))
	stream := newFakeStream(6, net.ErrClosed)
	close(stream.chunks)
	h.nextRequest().Respond(exchange.Response{Stream: stream})
	c.expect("-ERR the value broke off\r\n")
	stream.expectClosed(t)
	c.send(command("KV.GET", "k", "2", testExtra))
	stream = newFakeStream(6, net.ErrClosed, "abc")
	close(stream.chunks)
	h.nextRequest().Respond(exchange.Response{Stream: stream})
	c.expect("$6\r\nabc")
	c.expectEnd()
	stream.expectClosed(t)
}

// A client that disconnects leaves no stream open: neither one that is being written, nor one that waits behind another reply, nor one
// whose response comes later.
func TestStreamsOfDisconnectedClients(t *testing.T) {
	h := newHarness(t)
	c := h.dial()
	c.send(command("KV.GET", "k", "1", testExtra) + command("KV.GET", "k", "2", testExtra) + command("KV.GET", "k", "3", testExtra))
	first, second, third := h.nextRequest(), h.nextRequest(), h.nextRequest()
	written, waiting, late := newFakeStream(6, io.EOF, "abc"), newFakeStream(6, io.EOF, "abc"), newFakeStream(6, io.EOF, "abc")
	second.Respond(exchange.Response{Stream: waiting})
	first.Respond(exchange.Response{Stream: written})
	c.expect("$6\r\nabc")
	c.disconnect()
	if x := <-h.disconnected; x != third {
		t.Error("another request was reported")
	}
	third.Respond(exchange.Response{Stream: late})
	for _, stream := range []*fakeStream{written, waiting, late} {
		stream.expectClosed(t)
	}
}

// A client that reads slowly but steadily gets its value, even if that takes far longer than the write timeout of a small reply. Each
// write blocks for long, because the kernel lets it continue only when much of its buffer is free.
func TestSlowReaderKeepsStream(t *testing.T) {
	h := newHarness(t, func(s *Server) { s.Config().WriteTimeout = 100 })
	c := h.dial()
	if err := c.Conn.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		t.Fatal(err)
	}
	c.send(command("KV.GET", "k", "1", testExtra))
	const chunkCount = 150
	chunk := strings.Repeat("x", 32<<10)
	stream := newFakeStream(chunkCount*len(chunk), io.EOF)
	h.nextRequest().Respond(exchange.Response{Stream: stream})
	go func() {
		for range chunkCount {
			stream.chunks <- chunk
		}
		close(stream.chunks)
	}()
	c.expect("$4915200\r\n")
	b := make([]byte, 64<<10)
	for received, start := 0, time.Now(); received < chunkCount*len(chunk); {
		n, err := c.reader.Read(b[:min(len(b), chunkCount*len(chunk)-received)])
		if err != nil {
			t.Fatalf("after %d bytes: %v", received, err)
		}
		if received += n; time.Since(start) < time.Second {
			time.Sleep(20 * time.Millisecond)
		}
	}
	c.expect("\r\n")
}

// A client that sends many reads at once and takes the replies slowly, but without a pause, gets all of them. Its connection was closed in
// the middle of a reply, since the kernel let the write of that reply continue only after the write timeout.
func TestSlowReaderKeepsReplies(t *testing.T) {
	const requests = 80
	h := newHarness(t, func(s *Server) { s.Config().WriteTimeout = 200 })
	c := h.dial()
	if err := c.Conn.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		t.Fatal(err)
	}
	value := make([]byte, 60_000)
	go func() {
		for range requests {
			(<-h.requests).Respond(exchange.Response{Value: value})
		}
	}()
	for i := range requests {
		c.send(command("KV.GET", "k", fmt.Sprint(i), testExtra))
	}
	reply := len("$60000\r\n") + len(value) + len("\r\n")
	b := make([]byte, 32<<10)
	for received, start := 0, time.Now(); received < requests*reply; {
		n, err := c.reader.Read(b[:min(len(b), requests*reply-received)])
		if err != nil {
			t.Fatalf("after %d of %d bytes: %v", received, requests*reply, err)
		}
		if received += n; time.Since(start) < 2*time.Second {
			time.Sleep(20 * time.Millisecond)
		}
	}
}
