package clients

import (
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"mintspring/internal/node/exchange"
)

// The connection of a client that takes nothing of a large value for maxStreamStall is closed. The whole value may take longer than any
// client timeout: once its first bytes are sent, a slow transfer concerns only the client and the cache server (the operators' page of daily
// operation, "Less room"). Progress is checked every stallCheckInterval.
const (
	maxStreamStall     = 10 * time.Second
	stallCheckInterval = 500 * time.Millisecond
)

// writeStream writes a large value, each chunk as it arrives. An error ends the connection, which tells the client that the value is
// incomplete. If nothing has been written yet, the client gets an error reply instead.
func (c *conn) writeStream(value exchange.Stream) error {
	defer value.Close()
	header := append(strconv.AppendInt([]byte{'$'}, value.Size(), 10), crlf...)
	for first := true; ; first = false {
		chunk, err := value.Next()
		switch {
		case errors.Is(err, io.EOF):
			return c.writeChunk([]byte(crlf))
		case err != nil && first:
			return c.writeChunk([]byte("-ERR the value broke off\r\n"))
		case err != nil:
			return err
		case first:
			if err := c.writeChunk(header); err != nil {
				return err
			}
		}
		if err := c.writeChunk(chunk); err != nil {
			return err
		}
	}
}

// writeChunk writes one chunk, for as long as the client takes bytes of it. A blocked write does not show that the client takes none: the
// kernel lets a write continue only when a third of its buffer is free, which a slow client may need seconds for. A change of the number
// of unacknowledged bytes shows progress.
func (c *conn) writeChunk(b []byte) error {
	lastProgress, unacknowledged := time.Now(), unacknowledgedBytes(c.net)
	for len(b) > 0 {
		c.setWriteDeadline(stallCheckInterval)
		n, err := c.net.Write(b)
		b = b[n:]
		if err == nil {
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		current := unacknowledgedBytes(c.net)
		if n > 0 || current != unacknowledged {
			lastProgress = time.Now()
		}
		unacknowledged = current
		if time.Since(lastProgress) > maxStreamStall {
			return err
		}
	}
	return nil
}

// unacknowledgedBytes returns how many bytes written to a connection the peer has not acknowledged; -1 if that is unknown.
func unacknowledgedBytes(netConn net.Conn) int {
	tcp, ok := netConn.(*net.TCPConn)
	if !ok {
		return -1
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return -1
	}
	unacknowledged := -1
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			unacknowledged = n
		}
	})
	if err != nil {
		return -1
	}
	return unacknowledged
}
