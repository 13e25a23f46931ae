package hotrestart

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"mintspring/internal/node/discovery"
	"mintspring/internal/node/exclusion"
	"mintspring/internal/testbed/goldentest"
)

// goldenState is the state in testdata/golden/state.bin.
func goldenState() State {
	return State{
		Version: ProtocolVersion, DiscoveryAddr: "127.0.0.1:2",
		Endpoints: discovery.Update{Revision: 41, Complete: true, Members: []json.RawMessage{json.RawMessage(`{"id":"box-0","cell":3}`)}},
		Exclusions: exclusion.State{
			Excluded: map[string]float64{"box-0": 1000.5}, Readmitted: map[string]exclusion.Interval{"box-1": {From: 1, To: 2}},
			Seen: []exclusion.IDHash{7, 0xffffffffffffffff},
		},
		Snapshot: []byte("mslt\x00\xff"), CacheLoad: 0.125, StandbySince: 1764650000123.5, Descriptors: 17,
	}
}

// expectMessage reads one message from the raw end of a channel and compares it with a golden file.
func expectMessage(t *testing.T, raw net.Conn, name string) {
	t.Helper()
	if err := raw.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, headerLen)
	if _, err := io.ReadFull(raw, b); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	body := make([]byte, binary.BigEndian.Uint32(b))
	if _, err := io.ReadFull(raw, body); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if got := append(b, body...); string(got) != string(goldentest.Read(t, name)) {
		t.Errorf("%s: written as %q, want %q", name, got, goldentest.Read(t, name))
	}
}

// writeMessage writes the message in a golden file to the raw end of a channel.
func writeMessage(t *testing.T, raw net.Conn, name string) {
	t.Helper()
	if _, err := raw.Write(goldentest.Read(t, name)); err != nil {
		t.Fatal(err)
	}
}

// checkMessages checks the messages that c sends and handles after the state was transferred. raw is the other end of c.
func checkMessages(t *testing.T, c *Channel, h *recordingHandler, raw net.Conn) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- c.AnnounceReady() }()
	expectMessage(t, raw, "yes.bin")
	writeMessage(t, raw, "heard.bin")
	if err := <-done; err != nil {
		t.Error(err)
	}
	if err := c.ReportDescriptors(259); err != nil {
		t.Error(err)
	}
	expectMessage(t, raw, "held.bin")
	acknowledged := make(chan struct{})
	go func() { c.ForwardCommand("maint-on", "box-0"); close(acknowledged) }()
	expectMessage(t, raw, "call.bin")
	writeMessage(t, raw, "done.bin")
	<-acknowledged
	for _, hasSent := range []bool{false, true} {
		_, server := loopbackConn(t)
		if !c.PassClient(server, hasSent) {
			t.Error("the connection was not sent")
		}
		expectMessage(t, raw, fmt.Sprintf("client-%v.bin", hasSent))
	}

	writeMessage(t, raw, "yes.bin")
	h.waitFor(t, "ready")
	expectMessage(t, raw, "heard.bin")
	writeMessage(t, raw, "held.bin")
	h.waitFor(t, "descriptors 259")
	writeMessage(t, raw, "call.bin")
	h.waitFor(t, "maint-on box-0")
	expectMessage(t, raw, "done.bin")
}

// TestPredecessorWithGoldenMessages runs this predecessor against a successor that sends and expects fixed bytes, which an earlier build
// wrote.
func TestPredecessorWithGoldenMessages(t *testing.T) {
	path, h := t.TempDir(), newRecordingHandler()
	h.state = goldenState()
	h.state.Version = 0 // set when the state is sent
	if err := openDir(t, path).Listen(h); err != nil {
		t.Fatal(err)
	}
	raw, err := net.Dial("unix", filepath.Join(path, "process.sock"))
	if err != nil {
		t.Fatal(err)
	}
	defer closeAll(raw)
	writeMessage(t, raw, "hello.bin")
	expectMessage(t, raw, "state.bin")
	c := <-h.joined
	<-c.stateSent
	checkMessages(t, c, h, raw)
}

// TestSuccessorWithGoldenMessages runs this successor against a predecessor that sends and expects fixed bytes, which an earlier build
// wrote.
func TestSuccessorWithGoldenMessages(t *testing.T) {
	path, h := t.TempDir(), newRecordingHandler()
	ln, err := net.Listen("unix", filepath.Join(path, "process.sock"))
	if err != nil {
		t.Fatal(err)
	}
	defer closeAll(ln)
	type joinResult struct {
		handover *Handover
		err      error
	}
	joinResults := make(chan joinResult, 1)
	dir := openDir(t, path)
	go func() {
		handover, err := dir.Join()
		joinResults <- joinResult{handover, err}
	}()
	raw, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer closeAll(raw)
	expectMessage(t, raw, "hello.bin")
	writeMessage(t, raw, "state.bin")
	joined := <-joinResults
	if joined.err != nil || !reflect.DeepEqual(joined.handover.State, goldenState()) {
		t.Fatalf("joined %+v, %v", joined.handover, joined.err)
	}
	joined.handover.Start(h)
	checkMessages(t, joined.handover.Channel(), h, raw)
}

// TestGoldenExclusions compares the stored file of the exclusions with one that an earlier build wrote, and loads the earlier file.
func TestGoldenExclusions(t *testing.T) {
	path := t.TempDir()
	want := exclusion.State{Excluded: map[string]float64{"box-0": 1000.5}, Readmitted: map[string]exclusion.Interval{"box-1": {From: 1, To: 2}}}
	if err := openDir(t, path).SaveExclusions(want, 1); err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile(filepath.Join(path, "maintenance.json"))
	if err != nil || string(b) != string(goldentest.Read(t, "maintenance.json")) {
		t.Errorf("written as %s, %v, want %s", b, err, goldentest.Read(t, "maintenance.json"))
	}
	if got, err := openDir(t, filepath.Join("testdata", "golden")).LoadExclusions(); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v, %v", got, err)
	}
}
