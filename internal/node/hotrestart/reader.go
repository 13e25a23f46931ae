package hotrestart

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"

	"mintspring/internal/transient"
)

const (
	headerLen      = 5 // bytes: 4 for the body length, 1 for the kind
	readChunkBytes = 16 << 10
	maxFDsPerRead  = 16
)

// reader reads messages and the descriptors attached to them. The kernel ends a read after the bytes that a descriptor was sent with, so
// descriptors arrive in the order of their messages.
type reader struct {
	conn *net.UnixConn
	buf  []byte
	fds  []int
}

// next returns the next message. The caller may keep the body.
func (r *reader) next() (messageKind, []byte, error) {
	for {
		kind, body, complete, err := r.parse()
		if complete || err != nil {
			return kind, body, err
		}
		if err := r.fill(); err != nil {
			return 0, nil, err
		}
	}
}

// parse removes a message from the buffer if it is complete.
func (r *reader) parse() (kind messageKind, body []byte, complete bool, err error) {
	if len(r.buf) < headerLen {
		return 0, nil, false, nil
	}
	n := int(binary.BigEndian.Uint32(r.buf))
	if n > maxMessageBytes {
		return 0, nil, false, fmt.Errorf("%w: a body of %d bytes", errMalformed, n)
	}
	end := headerLen + n
	if len(r.buf) < end {
		return 0, nil, false, nil
	}
	kind, body = messageKind(r.buf[headerLen-1]), r.buf[headerLen:end:end]
	r.buf = r.buf[end:]
	return kind, body, true, nil
}

// fill reads more bytes and descriptors into the buffers.
func (r *reader) fill() error {
	oob := make([]byte, syscall.CmsgSpace(maxFDsPerRead*4))
	chunk := make([]byte, readChunkBytes)
	var n, oobn int
	err := transient.Retry(ioTimeout, func() (err error) {
		n, oobn, _, _, err = r.conn.ReadMsgUnix(chunk, oob)
		return err
	})
	if oobn > 0 {
		r.fds = append(r.fds, parseFDs(oob[:oobn])...)
	}
	if err != nil {
		return err
	}
	if n == 0 {
		return io.EOF
	}
	r.buf = append(r.buf, chunk[:n]...)
	return nil
}

// parseFDs returns the descriptors in the control data of a read.
func parseFDs(oob []byte) (fds []int) {
	messages, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return nil
	}
	for i := range messages {
		if rights, err := syscall.ParseUnixRights(&messages[i]); err == nil {
			fds = append(fds, rights...)
		}
	}
	return fds
}

// nextClient makes a connection from the oldest unused descriptor.
func (r *reader) nextClient() (conn net.Conn, err error) {
	if len(r.fds) == 0 {
		return nil, fmt.Errorf("%w: a connection without its descriptor", errMalformed)
	}
	f := os.NewFile(uintptr(r.fds[0]), "client")
	r.fds = r.fds[1:]
	defer f.Close() //nolint:errcheck // the connection has its own duplicate
	err = transient.Retry(replyTimeout, func() (err error) {
		conn, err = net.FileConn(f)
		return err
	})
	return conn, err
}

// close closes the connection and the descriptors that nextClient has not taken.
func (r *reader) close() {
	for _, fd := range r.fds {
		_ = syscall.Close(fd) // nothing was written to it
	}
	_ = r.conn.Close() // nothing more will be sent
}
