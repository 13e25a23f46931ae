package upstream

import (
	"errors"
	"io"
	"sync"

	"mintspring/internal/node/exchange"
	"mintspring/internal/node/ringbuf"
)

var errStreamClosed = errors.New("stream closed before its end")

// stream is a large value on its way from a connection to its user, an exchange.Stream. The user reads from the connection
// itself, as fast as it passes the pieces on, while the connection's reader waits: nothing is buffered but what is in the ring.
type stream struct {
	conn *conn
	head Response
	done chan struct{} // closed when the connection's reader may go on; err and tail are final then

	mu        sync.Mutex    // held during Next and Close; guards the fields below
	in        *ringbuf.Ring // the connection's
	handed    int           // bytes at the head of the ring that Next returned last
	remaining int64         // bytes of the value not returned yet
	ended     bool
	err       error // why the connection cannot be used further
	tail      Response
}

func newStream(c *conn, in *ringbuf.Ring, head Response) *stream {
	return &stream{conn: c, in: in, head: head, remaining: head.LargeSize, done: make(chan struct{})}
}

// Size implements exchange.Stream.
func (s *stream) Size() int64 { return s.head.LargeSize }

// Next implements exchange.Stream. The last byte of the value is returned only once the value is seen to end where it
// should, since a value of another length than announced must not pass for complete.
func (s *stream) Next() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.in.Discard(s.handed)
		s.handed = 0
	}
	for !s.ended {
		b := s.in.Peek()
		if s.remaining == 0 {
			s.readTail(b)
			continue
		}
		n, err := s.available(b)
		switch {
		case err != nil:
			s.finish(err)
		case n > 0:
			s.handed, s.remaining = n, s.remaining-int64(n)
			return b[:n], nil
		default:
			s.fill()
		}
	}
	if s.err != nil {
		return nil, s.err
	}
	return nil, io.EOF
}

// available returns how many bytes of the value at the head of b may be returned now.
func (s *stream) available(b []byte) (int, error) {
	n := int(min(int64(len(b)), s.remaining))
	if int64(n) < s.remaining {
		return n, nil
	}
	tail, err := s.conn.endpoint.protocol.ParseTail(b[n:], s.head)
	if err != nil {
		return 0, err
	}
	if !tail.Sound {
		n--
	}
	return n, nil
}

// fill waits for more bytes. A value that keeps arriving is never cut off, however slowly; one that stalls is.
func (s *stream) fill() {
	if timeout := s.conn.endpoint.group.StreamStallTimeout; timeout > 0 {
		s.conn.setReadTimeout(timeout)
	}
	s.in.Grow(exchange.StreamBufferSize)
	_, err := s.in.ReadOnce(s.conn.net)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF // the connection's end must not pass for the end of the value
	}
	if err != nil {
		s.finish(err)
	}
}

// readTail parses what follows the value, so that the connection can be reused.
func (s *stream) readTail(b []byte) {
	tail, err := s.conn.endpoint.protocol.ParseTail(b, s.head)
	switch {
	case err != nil:
		s.finish(err)
	case tail.Complete:
		s.in.Discard(tail.Length)
		s.tail = tail.Response
		s.finish(nil)
	default:
		s.fill()
	}
}

// finish lets the connection's reader go on. Called with the mutex held.
func (s *stream) finish(err error) {
	if !s.ended {
		s.ended, s.err = true, err
		close(s.done)
	}
}

// Close implements exchange.Stream. A concurrent Next returns because its connection is closed.
func (s *stream) Close() {
	if !s.mu.TryLock() {
		_ = s.conn.net.Close() // which makes Next return
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	s.finish(errStreamClosed)
}
