package clients

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// socketReader reads from the client's connection, and sets readInProgress in the same critical section of the connection's mutex. An
// eviction therefore finds either the bytes still unread or the connection in use. Only the reader goroutine uses it.
type socketReader struct {
	conn *conn
	raw  syscall.RawConn                      // nil: the connection is not a socket
	read func(descriptor uintptr) (done bool) // the method value of tryRead, allocated once

	buf []byte // buffer of the current Read; n and err are the result of that Read
	n   int
	err error
}

func newSocketReader(c *conn) *socketReader {
	r := &socketReader{conn: c}
	r.read = r.tryRead
	if socket, ok := c.net.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			r.raw = raw
		}
	}
	return r
}

// Read implements io.Reader, with the errors and deadlines of the connection.
func (r *socketReader) Read(b []byte) (int, error) {
	if r.raw == nil {
		n, err := r.conn.net.Read(b)
		r.conn.markReadInProgress(n)
		return n, err
	}
	r.buf, r.n, r.err = b, 0, nil
	if err := r.raw.Read(r.read); err != nil {
		return 0, err
	}
	return r.n, r.err
}

// tryRead reads what has arrived without blocking, and reports false if nothing has.
func (r *socketReader) tryRead(descriptor uintptr) (done bool) {
	c := r.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.phase == phaseClosed {
		r.err = net.ErrClosed
		return true
	}
	n, err := syscall.Read(int(descriptor), r.buf)
	for errors.Is(err, syscall.EINTR) {
		n, err = syscall.Read(int(descriptor), r.buf)
	}
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return false
	case err != nil:
		r.err = os.NewSyscallError("read", err)
	case n == 0:
		r.err = io.EOF
	default:
		r.n, c.state.readInProgress = n, true
		c.state.recordArrival(c.server.Clock.Now(), n == len(r.buf))
	}
	return true
}

// markReadInProgress records a read of n bytes that recordRead has not recorded yet.
func (c *conn) markReadInProgress(n int) {
	if n <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.readInProgress = true
}
