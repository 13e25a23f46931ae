package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"mintspring/internal/transient"
)

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 5 * time.Millisecond

// Handover is a successor's channel after it has joined the predecessor, with the state to start from.
type Handover struct {
	State   State
	channel *Channel
	reader  *reader
}

// Join connects to the predecessor and requests its state. Without a predecessor it returns nil and no error. It retries for at most
// busyRetryTimeout while the predecessor is busy or an attempt fails with a transient error, such as a lack of descriptors. Start must be
// called once the node at this end exists.
func (d *Dir) Join() (handover *Handover, err error) {
	retryable := func(err error) bool { return errors.Is(err, ErrBusy) || transient.Is(err) }
	err = transient.RetryIf(busyRetryTimeout, retryable, func() (err error) {
		handover, err = d.joinOnce()
		return err
	})
	return handover, err
}

func (d *Dir) joinOnce() (*Handover, error) {
	path, release := d.socketPath(socketFile)
	defer release()
	conn, err := net.DialTimeout("unix", path, ioTimeout)
	if transient.Is(err) {
		return nil, fmt.Errorf("connecting to the predecessor: %w", err)
	}
	if err != nil {
		return nil, nil //nolint:nilerr // there is no predecessor, or it no longer listens
	}
	c := newChannel(nil, conn.(*net.UnixConn))
	r := &reader{conn: c.conn}
	state, err := c.requestState(r)
	if err != nil {
		r.close()
		return nil, fmt.Errorf("joining the predecessor: %w", err)
	}
	return &Handover{State: state, channel: c, reader: r}, nil
}

// requestState performs the successor's part of the exchange of hello and state.
func (c *Channel) requestState(r *reader) (state State, err error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(joinTimeout)); err != nil {
		return State{}, err
	}
	if err := c.sendJSON(kindHello, State{Version: ProtocolVersion}); err != nil {
		return State{}, err
	}
	kind, body, err := r.next()
	if errors.Is(err, io.EOF) {
		return State{}, errRefused
	}
	if err != nil {
		return State{}, err
	}
	if kind == kindBusy {
		return State{}, ErrBusy
	}
	if kind != kindState {
		return State{}, fmt.Errorf("%w: kind %q instead of the state", errMalformed, kind)
	}
	if err := json.Unmarshal(body, &state); err != nil {
		return State{}, fmt.Errorf("%w: %w", errMalformed, err)
	}
	if state.Version != ProtocolVersion {
		return State{}, fmt.Errorf("predecessor has protocol version %d, this process %d", state.Version, ProtocolVersion)
	}
	return state, c.conn.SetReadDeadline(time.Time{})
}

// Channel returns the channel. No message is read from it before Start.
func (h *Handover) Channel() *Channel { return h.channel }

// Start starts reading messages, in a goroutine that ends with the channel.
func (h *Handover) Start(handler Handler) {
	h.channel.handler = handler
	close(h.channel.stateSent)
	go h.channel.readLoop(h.reader)
}

// Listen accepts successors, one at a time. It takes over the socket name from the process that listened before. Its goroutine ends with
// StopListening or the next Listen.
func (d *Dir) Listen(h Handler) error {
	ln, err := d.newListener()
	if err != nil {
		return fmt.Errorf("listening for a successor: %w", err)
	}
	d.mu.Lock()
	previous := d.listener
	d.listener = ln
	d.mu.Unlock()
	if previous != nil {
		_ = previous.Close() // the new listener has replaced it
	}
	go acceptSuccessors(ln, h)
	return nil
}

// newListener listens on a socket with a name of its own and renames it over the socket of the process that listened before.
func (d *Dir) newListener() (*net.UnixListener, error) {
	temp := socketFile + "." + strconv.Itoa(os.Getpid())
	_ = os.Remove(filepath.Join(d.dir, temp)) // left behind if an earlier process with the same id was killed
	path, release := d.socketPath(temp)
	defer release()
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false) // by then the name may belong to a successor's socket
	if err := os.Rename(filepath.Join(d.dir, temp), filepath.Join(d.dir, socketFile)); err != nil {
		_ = ln.Close() // no process has connected
		return nil, err
	}
	return ln, nil
}

// StopListening stops accepting successors.
func (d *Dir) StopListening() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listener != nil {
		_ = d.listener.Close() // it may be closed already
	}
}

func acceptSuccessors(ln *net.UnixListener, h Handler) {
	busy := make(chan struct{}, 1)
	for {
		conn, err := ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case busy <- struct{}{}:
		default:
			go refuse(conn) // another successor is connected
			continue
		}
		go func() {
			defer func() { <-busy }()
			serveSuccessor(conn, h)
		}()
	}
}

// serveSuccessor performs the predecessor's part of the exchange of hello and state, then reads messages until the channel ends.
func serveSuccessor(conn *net.UnixConn, h Handler) {
	c, r := newChannel(h, conn), &reader{conn: conn}
	if err := readHello(conn, r); err != nil {
		r.close()
		return
	}
	state, err := h.SuccessorJoined(c)
	if errors.Is(err, ErrBusy) {
		c.sendBusy()
	}
	if err != nil {
		r.close()
		return
	}
	state.Version = ProtocolVersion
	_ = c.sendJSON(kindState, state) // if it fails, readLoop fails too
	close(c.stateSent)
	c.readLoop(r)
}

// refuse tells a successor that this process is busy, so that it retries.
func refuse(conn *net.UnixConn) {
	r := &reader{conn: conn}
	if readHello(conn, r) == nil { // closing before the hello is read would make sending it fail
		newChannel(nil, conn).sendBusy()
	}
	r.close()
}

// sendBusy tells the successor at the other end to retry. If sending fails, the successor sees a closed channel instead.
func (c *Channel) sendBusy() { _ = c.send(kindBusy, nil, noFD) }

// readHello reads and checks the successor's first message.
func readHello(conn *net.UnixConn, r *reader) error {
	if err := conn.SetReadDeadline(time.Now().Add(joinTimeout)); err != nil {
		return err
	}
	kind, body, err := r.next()
	if err != nil {
		return err
	}
	var hello State
	if kind != kindHello || json.Unmarshal(body, &hello) != nil || hello.Version != ProtocolVersion {
		return errMalformed
	}
	return conn.SetReadDeadline(time.Time{})
}
