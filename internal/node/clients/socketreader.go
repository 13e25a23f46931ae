package clients

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// socketReader reads from the client's connection, and marks that it has read in the same step, under the connection's mutex: whoever
// closes connections that nobody uses, to free a descriptor, finds either the bytes unread or the connection in use. The reader alone
// uses it.
type socketReader struct {
	conn *conn
	raw  syscall.RawConn                      // nil: the connection is no socket
	read func(descriptor uintptr) (done bool) // readNow, bound once

	buf []byte // of the read under way
	n   int
	err error
}

func newSocketReader(c *conn) *socketReader {
	r := &socketReader{conn: c}
	r.read = r.readNow
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
		r.conn.markRead(n)
		return n, err
	}
	r.buf, r.n, r.err = b, 0, nil
	if err := r.raw.Read(r.read); err != nil {
		return 0, err
	}
	return r.n, r.err
}

// readNow reads what has arrived, and reports false if nothing has.
func (r *socketReader) readNow(descriptor uintptr) (done bool) {
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
		r.n, c.state.reading = n, true
	}
	return true
}

// markRead marks that bytes were read.
func (c *conn) markRead(n int) {
	if n <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.reading = true
}
