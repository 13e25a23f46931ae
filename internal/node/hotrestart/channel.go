package hotrestart

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"mintspring/internal/transient"
)

// Channel is one process's end of the channel. Its methods are safe for concurrent use.
type Channel struct {
	handler Handler
	conn    *net.UnixConn

	stateSent  chan struct{} // closed once the successor has its state; only then may commands be sent
	readyAcked chan struct{} // closed once the predecessor has acknowledged kindReady, or the channel has ended
	ackOnce    sync.Once     // closes readyAcked

	mu          sync.Mutex // guards the fields below and writes to conn
	closed      bool
	writeFailed bool                     // nothing more can be sent, but messages of the other process are still read
	pending     map[uint32]chan struct{} // channels of the forwarded commands by number; closed on acknowledgement
	lastNumber  uint32
}

func newChannel(h Handler, conn *net.UnixConn) *Channel {
	return &Channel{
		handler:    h,
		conn:       conn,
		stateSent:  make(chan struct{}),
		readyAcked: make(chan struct{}),
		pending:    map[uint32]chan struct{}{},
	}
}

// noFD is passed to send for a message without a descriptor.
const noFD = -1

// send writes one message, with a descriptor unless fd is noFD.
func (c *Channel) send(kind messageKind, body []byte, fd int) error {
	var oob []byte
	if fd >= 0 {
		oob = syscall.UnixRights(fd)
	}
	b := make([]byte, headerLen, headerLen+len(body))
	binary.BigEndian.PutUint32(b, uint32(len(body)))
	b[headerLen-1] = byte(kind)
	b = append(b, body...)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.writeFailed {
		return net.ErrClosed
	}
	if err := c.write(b, oob); err != nil {
		// A message may have been written in part, so nothing can follow it. The connection stays open for reading: the other process may
		// have sent client connections before it ended.
		_ = c.conn.CloseWrite() // the connection may be closed already
		c.writeFailed = true
		return fmt.Errorf("sending message %q: %w", kind, err)
	}
	return nil
}

// write writes all of b, with the control data oob attached to its first bytes. It retries transient errors such as a lack of buffers. The
// caller holds mu.
func (c *Channel) write(b, oob []byte) error {
	deadline := time.Now().Add(ioTimeout)
	if err := c.conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	for len(b) > 0 {
		n := 0
		err := transient.Retry(time.Until(deadline), func() (err error) {
			if oob != nil {
				n, _, err = c.conn.WriteMsgUnix(b, oob, nil)
			} else {
				n, err = c.conn.Write(b)
			}
			if n > 0 { // the loop writes the rest
				return nil
			}
			return err
		})
		if err != nil {
			return err
		}
		b, oob = b[n:], nil
	}
	return nil
}

func (c *Channel) sendJSON(kind messageKind, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return c.send(kind, b, noFD)
}

// readLoop handles messages until the channel ends. It reports the end to the handler, unless Close has ended the channel.
func (c *Channel) readLoop(r *reader) {
	err := c.handleMessages(r)
	r.close()
	c.markReadyAcked()
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	for number, done := range c.pending {
		close(done)
		delete(c.pending, number)
	}
	c.mu.Unlock()
	if !closed {
		c.handler.PeerLost(err)
	}
}

func (c *Channel) handleMessages(r *reader) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	for {
		kind, body, err := r.next()
		if err != nil {
			return err
		}
		if err := c.dispatch(kind, body, r); err != nil {
			return err
		}
	}
}

// dispatch handles one message. Unknown kinds, as later versions may send, are skipped.
func (c *Channel) dispatch(kind messageKind, body []byte, r *reader) error {
	switch kind {
	case kindReady:
		c.handler.SuccessorReady()
		_ = c.send(kindReadyAck, nil, noFD) // if it is lost, the successor continues after replyTimeout
	case kindReadyAck:
		c.markReadyAcked()
	case kindCommand:
		command, err := parseCommand(body)
		if err != nil {
			return err
		}
		c.handler.ApplyCommand(command)
		return c.sendJSON(kindCommandDone, command)
	case kindCommandDone:
		command, err := parseCommand(body)
		if err != nil {
			return err
		}
		c.markAcknowledged(command.Number)
	case kindDescriptors:
		if len(body) != 4 {
			return fmt.Errorf("%w: a descriptor count of %d bytes", errMalformed, len(body))
		}
		c.handler.PeerDescriptorsReported(int(binary.BigEndian.Uint32(body)))
	case kindClient:
		conn, err := r.nextClient()
		if err != nil {
			return nil // its descriptor was lost, e.g. at this process's limit; later connections are unaffected
		}
		c.handler.AdoptClient(conn, len(body) > 0 && body[0] == 1)
	}
	return nil
}

func parseCommand(body []byte) (command Command, err error) {
	if err := json.Unmarshal(body, &command); err != nil {
		return command, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return command, nil
}

func (c *Channel) markReadyAcked() { c.ackOnce.Do(func() { close(c.readyAcked) }) }

func (c *Channel) markAcknowledged(number uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if done := c.pending[number]; done != nil {
		close(done)
		delete(c.pending, number)
	}
}

// AnnounceReady tells the predecessor that this successor is serving. It returns once the predecessor has acknowledged that or is gone, or
// after replyTimeout: older versions never acknowledge it. The caller must not report readiness to operators before AnnounceReady returns.
// Operators may stop the predecessor at once, and a predecessor that does not know of the ready successor closes its client connections instead
// of handing them over.
func (c *Channel) AnnounceReady() error {
	if err := c.send(kindReady, nil, noFD); err != nil {
		return err
	}
	select {
	case <-c.readyAcked:
	case <-time.After(replyTimeout):
	}
	return nil
}

// ReportDescriptors sends the number of descriptors that this process holds. It does nothing until the successor has its state, because a
// successor treats any other first message as malformed and serves on its own.
func (c *Channel) ReportDescriptors(n int) error {
	select {
	case <-c.stateSent:
	default:
		return nil
	}
	return c.send(kindDescriptors, binary.BigEndian.AppendUint32(nil, uint32(max(0, n))), noFD)
}

// PassClient hands a client connection over to the successor and reports whether it was sent. If it was, the caller closes its own
// descriptor. hasSent reports whether the client has sent requests on the connection.
func (c *Channel) PassClient(conn net.Conn, hasSent bool) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	body := []byte{0}
	if hasSent {
		body[0] = 1
	}
	var sendErr error
	if err := raw.Control(func(fd uintptr) { sendErr = c.send(kindClient, body, int(fd)) }); err != nil {
		return false
	}
	return sendErr == nil
}

// ForwardCommand makes the other process execute a command too. It returns when the command is acknowledged, when the channel fails, or
// after a timeout.
func (c *Channel) ForwardCommand(name, serverID string) {
	select {
	case <-c.stateSent:
	case <-time.After(replyTimeout):
		return
	}
	command, done, ok := c.newCommand(name, serverID)
	if !ok || c.sendJSON(kindCommand, command) != nil {
		return
	}
	select {
	case <-done:
	case <-time.After(replyTimeout):
	}
}

// newCommand assigns a number to a command and registers the command as pending. ok is false if the channel is closed.
func (c *Channel) newCommand(name, serverID string) (command Command, done <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	if c.closed {
		return Command{}, nil, false
	}
	command = Command{Name: name, ServerID: serverID, Number: c.lastNumber}
	acknowledged := make(chan struct{})
	c.pending[command.Number] = acknowledged
	return command, acknowledged, true
}

// Close closes the channel without calling the handler at this end.
func (c *Channel) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	_ = c.conn.Close() // the other process sees the end even if this fails
}
