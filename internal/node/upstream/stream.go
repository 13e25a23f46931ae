package upstream

import (
	"errors"
	"io"
	"sync"

	"mintspring/internal/node/exchange"
	"mintspring/internal/node/ringbuf"
)

var errStreamClosed = errors.New("stream closed before its end")

// stream implements exchange.Stream for a large value in a response. Its consumer reads from the connection at its own pace, while
// the connection's reader waits, so that only the contents of the ring are buffered.
type stream struct {
	conn *conn
	head Response
	done chan struct{} // closed when the connection's reader may continue; err does not change after that

	mu        sync.Mutex    // held during Next and Close; guards the fields below
	in        *ringbuf.Ring // the ring of the connection's reader
	returned  int           // bytes at the beginning of the ring that the last call of Next returned
	remaining int64         // bytes of the value that Next has not returned yet
	ended     bool
	err       error // why the value broke off; the connection cannot be reused then

	request     *exchange.Exchange
	startedAt   float64
	longestRead float64 // ms
}

func newStream(c *conn, in *ringbuf.Ring, head Response, request *exchange.Exchange, at float64) *stream {
	return &stream{
		conn: c, in: in, head: head, remaining: head.LargeValueSize, done: make(chan struct{}),
		request: request, startedAt: at,
	}
}

// Size implements exchange.Stream.
func (s *stream) Size() int64 { return s.head.LargeValueSize }

// Next implements exchange.Stream. It returns the last byte of the value only after the value's terminator has arrived: a value
// whose length differs from the announced one must not be passed on as complete. What follows the terminator is left to the connection's
// reader, so that a server which pauses there does not hold up the client.
func (s *stream) Next() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.in.Discard(s.returned)
		s.returned = 0
	}
	for !s.ended {
		if s.remaining == 0 {
			s.finish(nil)
			break
		}
		b := s.in.Peek()
		n, err := s.available(b)
		switch {
		case err != nil:
			s.finish(err)
		case n > 0:
			s.returned, s.remaining = n, s.remaining-int64(n)
			return b[:n], nil
		default:
			s.readMore()
		}
	}
	if s.err != nil {
		return nil, s.err
	}
	return nil, io.EOF
}

// available returns how many bytes of the value at the beginning of b may be returned now.
func (s *stream) available(b []byte) (int, error) {
	n := int(min(int64(len(b)), s.remaining))
	if int64(n) < s.remaining {
		return n, nil
	}
	tail, err := s.conn.endpoint.protocol.ParseTail(b[n:], s.head)
	if err != nil {
		return 0, err
	}
	if !tail.ValueEnded {
		n--
	}
	return n, nil
}

// readMore reads more bytes into the ring. It fails a value that stalls, but not one that keeps arriving slowly.
func (s *stream) readMore() {
	s.conn.setStreamReadTimeout()
	s.in.Grow(exchange.StreamBufferSize)
	clock := s.conn.endpoint.group.Clock
	begunAt := clock.Now()
	_, err := s.in.ReadOnce(s.conn.net)
	s.longestRead = max(s.longestRead, clock.Now()-begunAt)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF // Next returns io.EOF only for a complete value
	}
	if err != nil {
		s.finish(err)
	}
}

// finish ends the stream and lets the connection's reader continue. Called with the mutex held.
func (s *stream) finish(err error) {
	if s.ended {
		return
	}
	s.ended, s.err = true, err
	close(s.done)
	if group := s.conn.endpoint.group; group.OnStreamEnd != nil {
		group.OnStreamEnd(s.trace(group.Clock.Now()))
	}
}

// trace returns the trace of a stream that ends now. Called with the mutex held.
func (s *stream) trace(now float64) StreamTrace {
	return StreamTrace{
		Request: s.request, Conn: s.conn.number, Size: s.head.LargeValueSize, Received: s.head.LargeValueSize - s.remaining,
		Took: now - s.startedAt, LongestRead: s.longestRead, Failure: s.err,
	}
}

// Close implements exchange.Stream. It closes the connection if a concurrent Next is waiting for bytes.
func (s *stream) Close() {
	if !s.mu.TryLock() {
		_ = s.conn.net.Close() // makes Next return and unlock the mutex
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	s.finish(errStreamClosed)
}
