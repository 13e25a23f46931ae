package hotrestart

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestMessages runs in a directory whose name is longer than the address of a socket may be, too.
func TestMessages(t *testing.T) {
	for _, path := range []string{t.TempDir(), filepath.Join(t.TempDir(), strings.Repeat("long", 40))} {
		predecessor, successor, down, up := joinedPair(t, path)
		if err := up.AnnounceReady(); err != nil {
			t.Error(err)
		}
		predecessor.waitFor(t, "ready")
		if err := up.ReportDescriptors(7); err != nil {
			t.Error(err)
		}
		predecessor.waitFor(t, "descriptors 7")
		down.ForwardCommand("maint-on", "s1")
		up.ForwardCommand("standby", "")
		// A command has been carried out at the other end when ForwardCommand returns.
		if len(successor.events) != 1 || len(predecessor.events) != 1 {
			t.Errorf("%d and %d commands were carried out", len(successor.events), len(predecessor.events))
		}
		successor.waitFor(t, "maint-on s1")
		predecessor.waitFor(t, "standby ")
		down.Close()
		if err := <-successor.lost; err == nil {
			t.Error("PeerLost has no error")
		}
		start := time.Now()
		up.ForwardCommand("active", "")
		if time.Since(start) > ioTimeout/4 {
			t.Error("ForwardCommand waits for a process that is gone")
		}
	}
}

// eagerHandler reports its descriptors as soon as a successor has joined.
type eagerHandler struct{ *recordingHandler }

func (h eagerHandler) SuccessorJoined(c *Channel) (State, error) {
	if err := c.ReportDescriptors(5); err != nil {
		h.lost <- err
	}
	return h.recordingHandler.SuccessorJoined(c)
}

// TestStateComesFirst: nothing is sent before the state. A successor took another first message for a malformed one, and
// served beside the predecessor as if it were not there.
func TestStateComesFirst(t *testing.T) {
	path := t.TempDir()
	if err := openDir(t, path).Listen(eagerHandler{newRecordingHandler()}); err != nil {
		t.Fatal(err)
	}
	if handover, err := openDir(t, path).Join(); err != nil || handover == nil {
		t.Errorf("the successor goes on by itself: %v", err)
	}
}

// TestSuccessorIsRefused: a successor for which there is no state gets none, rather than one that looks like that of a node without
// servers.
func TestSuccessorIsRefused(t *testing.T) {
	path, predecessor := t.TempDir(), newRecordingHandler()
	predecessor.refusal = errors.New("busy")
	if err := openDir(t, path).Listen(predecessor); err != nil {
		t.Fatal(err)
	}
	handover, err := openDir(t, path).Join()
	if !errors.Is(err, errRefused) || handover != nil {
		t.Errorf("joined %+v, %v", handover, err)
	}
	if len(predecessor.lost) > 0 {
		t.Errorf("the predecessor has lost a successor that it refused: %v", <-predecessor.lost)
	}
}

// busyHandler has the first successors ask again.
type busyHandler struct {
	*recordingHandler
	refusals atomic.Int64
}

func (h *busyHandler) SuccessorJoined(c *Channel) (State, error) {
	if h.refusals.Add(-1) >= 0 {
		return State{}, ErrBusy
	}
	return h.recordingHandler.SuccessorJoined(c)
}

// TestBusyPredecessorIsAskedAgain: a successor waits for its state while the predecessor has another process to deal with, be it its own
// predecessor or another successor.
func TestBusyPredecessorIsAskedAgain(t *testing.T) {
	path, predecessor := t.TempDir(), &busyHandler{recordingHandler: newRecordingHandler()}
	predecessor.refusals.Store(3)
	if err := openDir(t, path).Listen(predecessor); err != nil {
		t.Fatal(err)
	}
	first, err := openDir(t, path).Join()
	if err != nil || first == nil {
		t.Fatalf("joined %+v, %v", first, err)
	}
	time.AfterFunc(100*time.Millisecond, first.Channel().Close) // it dies, and only then may another one take over
	second, err := openDir(t, path).Join()
	if err != nil || second == nil {
		t.Fatalf("joined %+v, %v", second, err)
	}
	second.Channel().Close()
}

// slowHandler takes its time to learn that the successor is ready.
type slowHandler struct{ *recordingHandler }

func (h slowHandler) SuccessorReady() {
	time.Sleep(50 * time.Millisecond)
	h.recordingHandler.SuccessorReady()
}

// A connection whose descriptor was lost on its way costs none behind it. The kernel returns no bytes behind a message whose descriptor it could
// not install, but bytes behind one that was sent without any: the next message is sent when that one has been handled.
func TestClientWithoutDescriptor(t *testing.T) {
	_, successor, down, _ := joinedPair(t, t.TempDir())
	if err := down.send(kindClient, []byte{1}, noFD); err != nil {
		t.Fatal(err)
	}
	down.ForwardCommand("maint-on", "s1")
	successor.waitFor(t, "maint-on s1")
	client, server := loopbackConn(t)
	if !down.PassClient(server, false) {
		t.Fatal("the connection was not passed")
	}
	successor.waitFor(t, "client has sent false")
	if adopted := <-successor.clients; len(successor.clients) > 0 || adopted.RemoteAddr().String() != client.LocalAddr().String() {
		t.Errorf("adopted the connection of %v, and %d more; passed was that of %v", adopted.RemoteAddr(), len(successor.clients), client.LocalAddr())
	}
	if len(successor.lost) > 0 {
		t.Errorf("the predecessor counts as lost: %v", <-successor.lost)
	}
}

// TestReadyIsAcknowledged: AnnounceReady returns when the predecessor knows, because whoever learns that the successor
// serves may stop the predecessor at once. A predecessor that is gone, or of a version that never acknowledges, delays
// nobody for long.
func TestReadyIsAcknowledged(t *testing.T) {
	predecessor := newRecordingHandler()
	path := t.TempDir()
	if err := openDir(t, path).Listen(slowHandler{predecessor}); err != nil {
		t.Fatal(err)
	}
	handover, err := openDir(t, path).Join()
	if err != nil {
		t.Fatal(err)
	}
	up := handover.Channel()
	handover.Start(newRecordingHandler())
	down := <-predecessor.joined
	if err := up.AnnounceReady(); err != nil || len(predecessor.events) != 1 {
		t.Errorf("it returns before the predecessor knows: %v", err)
	}
	up.readyAcked = make(chan struct{})
	start := time.Now()
	err = up.AnnounceReady()
	if took := time.Since(start); err != nil || took < ioTimeout/4 || took > 4*ioTimeout {
		t.Errorf("an acknowledgement that never comes is waited for %v, %v", took, err)
	}
	down.Close()
	if err := <-up.handler.(*recordingHandler).lost; err == nil {
		t.Error("PeerLost has no error")
	}
	if up.AnnounceReady() == nil {
		t.Error("no error although the predecessor is gone")
	}
}

// TestClientsArrive: connections arrive with what was not read from them, and go on as if nothing had happened. So do those
// that the predecessor sent just before its end, while the successor is sending and finds that nobody receives any more.
func TestClientsArrive(t *testing.T) {
	_, successor, down, up := joinedPair(t, t.TempDir())
	const count = 60
	var clients []net.Conn
	for i := range count {
		client, server := loopbackConn(t)
		if _, err := fmt.Fprintf(client, "query %02d\n", i); err != nil {
			t.Fatal(err)
		}
		if !down.PassClient(server, i%2 == 0) {
			t.Fatal("the connection was not sent")
		}
		closeAll(server)
		clients = append(clients, client)
		if i == count-1 {
			down.Close()
		}
		_ = up.ReportDescriptors(i) // the last one may find the predecessor gone
	}
	for i, client := range clients {
		select {
		case server := <-successor.clients:
			checkClient(t, client, server, fmt.Sprintf("query %02d\n", i))
		case <-time.After(testTimeout):
			t.Fatalf("%d of %d connections arrived", i, count)
		}
	}
	successor.waitFor(t, "client has sent true")
	successor.waitFor(t, "client has sent false")
}

// checkClient checks that server has the client's unread request, and that the client gets a reply.
func checkClient(t *testing.T, client, server net.Conn, request string) {
	t.Helper()
	defer closeAll(server)
	if err := server.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, len(request))
	if _, err := io.ReadFull(server, b); err != nil || string(b) != request {
		t.Fatalf("the connection of %q brings %q, %v", request, b, err)
	}
	if _, err := io.WriteString(server, "ok"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(client, b[:2]); err != nil || string(b[:2]) != "ok" {
		t.Fatalf("the client reads %q, %v", b[:2], err)
	}
}

// FuzzMessages: any message ends the channel, is handled, or is skipped.
func FuzzMessages(f *testing.F) {
	for _, message := range []string{
		encodeMessage(kindReady, ""), encodeMessage(kindDescriptors, "\x00\x00\x00\x09"), encodeMessage(kindCommand, "{}"),
		encodeMessage(kindClient, ""), encodeMessage('?', "x"),
	} {
		f.Add([]byte(message))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r := &reader{buf: bytes.Clone(b)}
		c := newChannel(newRecordingHandler(), nil)
		c.closed = true // nothing is sent
		for len(r.buf) >= headerLen {
			if n := int(binary.BigEndian.Uint32(r.buf)); n > maxMessageBytes || len(r.buf) < headerLen+n {
				break
			}
			kind, body, err := r.next()
			if err != nil || c.dispatch(kind, body, r) != nil {
				return
			}
		}
	})
}
