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

// TestMessages sends each kind of message between joined processes. It also runs in a directory whose path is too long for the address of
// a Unix socket.
func TestMessages(t *testing.T) {
	for _, path := range []string{t.TempDir(), filepath.Join(t.TempDir(), strings.Repeat("long", 40))} {
		predecessor, successor, predecessorEnd, successorEnd := joinedPair(t, path)
		if err := successorEnd.AnnounceReady(); err != nil {
			t.Error(err)
		}
		predecessor.waitFor(t, "ready")
		if err := successorEnd.ReportDescriptors(7); err != nil {
			t.Error(err)
		}
		predecessor.waitFor(t, "descriptors 7")
		predecessorEnd.ForwardCommand("maint-on", "s1")
		successorEnd.ForwardCommand("standby", "")
		// When ForwardCommand returns, the other process has executed the command.
		if len(successor.events) != 1 || len(predecessor.events) != 1 {
			t.Errorf("%d and %d commands were executed", len(successor.events), len(predecessor.events))
		}
		successor.waitFor(t, "maint-on s1")
		predecessor.waitFor(t, "standby ")
		predecessorEnd.Close()
		if err := <-successor.lost; err == nil {
			t.Error("PeerLost has no error")
		}
		start := time.Now()
		successorEnd.ForwardCommand("active", "")
		if time.Since(start) > ioTimeout/4 {
			t.Error("ForwardCommand waits for a process that has ended")
		}
	}
}

// earlyReportHandler reports its descriptors in SuccessorJoined, before the state is sent.
type earlyReportHandler struct{ *recordingHandler }

func (h earlyReportHandler) SuccessorJoined(c *Channel) (State, error) {
	if err := c.ReportDescriptors(5); err != nil {
		h.lost <- err
	}
	return h.recordingHandler.SuccessorJoined(c)
}

// TestStateIsSentFirst: the predecessor sends nothing before the state. A successor that received another message first treated it as
// malformed and served on its own, beside the predecessor.
func TestStateIsSentFirst(t *testing.T) {
	path := t.TempDir()
	if err := openDir(t, path).Listen(earlyReportHandler{newRecordingHandler()}); err != nil {
		t.Fatal(err)
	}
	if handover, err := openDir(t, path).Join(); err != nil || handover == nil {
		t.Errorf("the successor did not join: %v", err)
	}
}

// TestSuccessorIsRefused: if the predecessor cannot provide its state, the successor gets an error and not an empty state, which would look
// like the state of a node without servers.
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
		t.Errorf("PeerLost was called for a refused successor: %v", <-predecessor.lost)
	}
}

// busyHandler returns ErrBusy to the first requests of successors.
type busyHandler struct {
	*recordingHandler
	refusals atomic.Int64 // requests left to refuse
}

func (h *busyHandler) SuccessorJoined(c *Channel) (State, error) {
	if h.refusals.Add(-1) >= 0 {
		return State{}, ErrBusy
	}
	return h.recordingHandler.SuccessorJoined(c)
}

// TestJoinRetriesWhileBusy: a successor keeps requesting the state while the predecessor is in another handover, either with its own
// predecessor or with another successor.
func TestJoinRetriesWhileBusy(t *testing.T) {
	path, predecessor := t.TempDir(), &busyHandler{recordingHandler: newRecordingHandler()}
	predecessor.refusals.Store(3)
	if err := openDir(t, path).Listen(predecessor); err != nil {
		t.Fatal(err)
	}
	first, err := openDir(t, path).Join()
	if err != nil || first == nil {
		t.Fatalf("joined %+v, %v", first, err)
	}
	time.AfterFunc(100*time.Millisecond, first.Channel().Close) // it ends, and only then may another successor join
	second, err := openDir(t, path).Join()
	if err != nil || second == nil {
		t.Fatalf("joined %+v, %v", second, err)
	}
	second.Channel().Close()
}

// slowHandler takes 50 ms to process that the successor is ready.
type slowHandler struct{ *recordingHandler }

func (h slowHandler) SuccessorReady() {
	time.Sleep(50 * time.Millisecond)
	h.recordingHandler.SuccessorReady()
}

// TestClientWithoutDescriptor: a client connection whose descriptor was lost in transit does not affect the connections sent after it. The kernel
// ends a read after a message whose descriptor it could not install, but not after one that was sent without any. The test
// sends its message without a descriptor, and therefore waits until the successor has handled that message before it sends the next client.
func TestClientWithoutDescriptor(t *testing.T) {
	_, successor, predecessorEnd, _ := joinedPair(t, t.TempDir())
	if err := predecessorEnd.send(kindClient, []byte{1}, noFD); err != nil {
		t.Fatal(err)
	}
	predecessorEnd.ForwardCommand("maint-on", "s1")
	successor.waitFor(t, "maint-on s1")
	client, server := loopbackConn(t)
	if !predecessorEnd.PassClient(server, false) {
		t.Fatal("the connection was not passed")
	}
	successor.waitFor(t, "client has sent false")
	if adopted := <-successor.clients; len(successor.clients) > 0 || adopted.RemoteAddr().String() != client.LocalAddr().String() {
		t.Errorf("adopted the connection of %v, and %d more; passed was that of %v", adopted.RemoteAddr(), len(successor.clients), client.LocalAddr())
	}
	if len(successor.lost) > 0 {
		t.Errorf("PeerLost was called: %v", <-successor.lost)
	}
}

// TestReadyIsAcknowledged: AnnounceReady returns only when the predecessor has acknowledged readiness, because operators may stop the
// predecessor as soon as the successor is ready. A predecessor that has ended, or whose version never acknowledges, causes a short delay
// only.
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
	successorEnd := handover.Channel()
	handover.Start(newRecordingHandler())
	predecessorEnd := <-predecessor.joined
	if err := successorEnd.AnnounceReady(); err != nil || len(predecessor.events) != 1 {
		t.Errorf("AnnounceReady returned before the predecessor processed it: %v", err)
	}
	successorEnd.readyAcked = make(chan struct{})
	start := time.Now()
	err = successorEnd.AnnounceReady()
	if took := time.Since(start); err != nil || took < ioTimeout/4 || took > 4*ioTimeout {
		t.Errorf("AnnounceReady waited %v for a missing acknowledgement, %v", took, err)
	}
	predecessorEnd.Close()
	if err := <-successorEnd.handler.(*recordingHandler).lost; err == nil {
		t.Error("PeerLost has no error")
	}
	if successorEnd.AnnounceReady() == nil {
		t.Error("AnnounceReady reports no error although the predecessor has ended")
	}
}

// TestClientsAreHandedOver: client connections are handed over with their unread bytes and keep working. That includes the connections that
// the predecessor sends just before it ends, even if a write of the successor fails meanwhile because the predecessor no longer reads.
func TestClientsAreHandedOver(t *testing.T) {
	_, successor, predecessorEnd, successorEnd := joinedPair(t, t.TempDir())
	const count = 60
	var clients []net.Conn
	for i := range count {
		client, server := loopbackConn(t)
		if _, err := fmt.Fprintf(client, "query %02d\n", i); err != nil {
			t.Fatal(err)
		}
		if !predecessorEnd.PassClient(server, i%2 == 0) {
			t.Fatal("the connection was not sent")
		}
		closeAll(server)
		clients = append(clients, client)
		if i == count-1 {
			predecessorEnd.Close()
		}
		_ = successorEnd.ReportDescriptors(i) // the last reports may fail: the predecessor has closed the channel
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
		t.Fatalf("the connection of %q delivers %q, %v", request, b, err)
	}
	if _, err := io.WriteString(server, "ok"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(client, b[:2]); err != nil || string(b[:2]) != "ok" {
		t.Fatalf("the client reads %q, %v", b[:2], err)
	}
}

// FuzzMessages: any bytes are handled, skipped, or end the channel with an error, and none cause a panic.
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
		c.closed = true // replies are not sent
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
