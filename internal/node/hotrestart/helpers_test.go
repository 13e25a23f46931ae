package hotrestart

import (
	"fmt"
	"net"
	"testing"
	"time"

	"mintspring/internal/testbed/loopbacktest"
)

// testTimeout bounds each wait of a test.
const testTimeout = 5 * time.Second

// recordingHandler is a Handler that records the calls of its methods.
type recordingHandler struct {
	state   State
	refusal error // returned to successors; nil: they get the state
	joined  chan *Channel
	events  chan string
	clients chan net.Conn
	lost    chan error
}

func newRecordingHandler() *recordingHandler {
	return &recordingHandler{
		joined:  make(chan *Channel, 9),
		events:  make(chan string, 1000),
		clients: make(chan net.Conn, 1000),
		lost:    make(chan error, 9),
	}
}

func (h *recordingHandler) SuccessorJoined(c *Channel) (State, error) {
	h.joined <- c
	return h.state, h.refusal
}

func (h *recordingHandler) SuccessorReady()        { h.events <- "ready" }
func (h *recordingHandler) ApplyCommand(c Command) { h.events <- c.Name + " " + c.ServerID }

func (h *recordingHandler) PeerDescriptorsReported(n int) { h.events <- fmt.Sprint("descriptors ", n) }
func (h *recordingHandler) PeerLost(err error)            { h.lost <- err }

func (h *recordingHandler) AdoptClient(conn net.Conn, hasSent bool) {
	h.clients <- conn
	h.events <- fmt.Sprint("client has sent ", hasSent)
}

// waitFor receives events until the given one.
func (h *recordingHandler) waitFor(t *testing.T, event string) {
	t.Helper()
	for deadline := time.After(testTimeout); ; {
		select {
		case got := <-h.events:
			if got == event {
				return
			}
		case <-deadline:
			t.Fatalf("the handler was not called with %q", event)
		}
	}
}

func openDir(t testing.TB, path string) *Dir {
	t.Helper()
	dir, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(dir.StopListening)
	return dir
}

// joinedPair joins a successor to a predecessor and returns the handlers and channel ends of both.
func joinedPair(t *testing.T, path string) (predecessor, successor *recordingHandler, predecessorEnd, successorEnd *Channel) {
	t.Helper()
	predecessor, successor = newRecordingHandler(), newRecordingHandler()
	predecessor.state.Exclusions.Excluded = map[string]float64{"s1": 5}
	if err := openDir(t, path).Listen(predecessor); err != nil {
		t.Fatal(err)
	}
	handover, err := openDir(t, path).Join()
	if err != nil || handover == nil || handover.State.Exclusions.Excluded["s1"] != 5 {
		t.Fatalf("joined %+v, %v", handover, err)
	}
	successorEnd = handover.Channel()
	handover.Start(successor)
	predecessorEnd = <-predecessor.joined
	t.Cleanup(predecessorEnd.Close)
	t.Cleanup(successorEnd.Close)
	return predecessor, successor, predecessorEnd, successorEnd
}

// loopbackConn returns both ends of a connection on loopback.
func loopbackConn(t *testing.T) (client, server net.Conn) {
	t.Helper()
	ln := loopbacktest.Listen(t)
	defer closeAll(ln)
	var err error
	if client, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeAll(client, server) })
	if err := client.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return client, server
}

// closeAll closes resources that a test no longer needs. They may be closed already.
func closeAll(closers ...interface{ Close() error }) {
	for _, c := range closers {
		_ = c.Close()
	}
}
