package hotrestart

import (
	"encoding/binary"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"

	"mintspring/internal/node/exclusion"
)

// encodeMessage returns the bytes of a message.
func encodeMessage(kind messageKind, body string) string {
	return string(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), byte(kind))) + body
}

// serveTexts sends the next text on each accepted connection and then closes the connection for writing.
func serveTexts(t *testing.T, ln net.Listener, texts <-chan string) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, <-texts); err != nil {
			t.Error(err)
		}
		if err := conn.(*net.UnixConn).CloseWrite(); err != nil {
			t.Error(err)
		}
	}
}

// TestJoinRejectsInvalidPredecessors: Join reports no predecessor for the socket of a process that has ended, and an error for a process
// that has another protocol version or sends nothing or malformed messages.
func TestJoinRejectsInvalidPredecessors(t *testing.T) {
	path := t.TempDir()
	dir := openDir(t, path)
	if h, err := dir.Join(); h != nil || err != nil {
		t.Errorf("joined %v, %v without a predecessor", h, err)
	}
	ln, err := net.Listen("unix", filepath.Join(path, socketFile))
	if err != nil {
		t.Fatal(err)
	}
	ln.(*net.UnixListener).SetUnlinkOnClose(false)
	texts := make(chan string, 1)
	go serveTexts(t, ln, texts)
	for _, text := range []string{
		"",
		"noise, and more of it",
		encodeMessage(kindState, `{"Version":2}`),
		encodeMessage(kindState, `{`),
		encodeMessage(kindReady, ""),
		"\xff\xff\xff\xffS",
		encodeMessage(kindState, `{"Version":1}`)[:9],
	} {
		texts <- text
		if h, err := dir.Join(); h != nil || err == nil {
			t.Errorf("joined a process that sends %q", text)
		}
	}
	closeAll(ln)
	if h, err := dir.Join(); h != nil || err != nil {
		t.Errorf("joined a process that has ended: %v, %v", h, err)
	}
	if err := dir.Listen(newRecordingHandler()); err != nil { // replaces the socket of the process that has ended
		t.Fatal(err)
	}
	if h, err := openDir(t, path).Join(); h == nil || err != nil {
		t.Errorf("not joined: %v", err)
	}
}

// TestExclusionsAreStored: exclusions are stored and loaded completely, an older state never overwrites a newer one, and a truncated file
// is an error.
func TestExclusionsAreStored(t *testing.T) {
	path := t.TempDir()
	dir := openDir(t, path)
	if state, err := dir.LoadExclusions(); err != nil || len(state.Excluded) > 0 {
		t.Errorf("%+v, %v where nothing was stored", state, err)
	}
	for _, c := range []struct {
		id     string
		number uint64
	}{{"b", 2}, {"a", 1}} {
		state := exclusion.State{Excluded: map[string]float64{c.id: 1}}
		if err := dir.SaveExclusions(state, c.number); err != nil {
			t.Fatal(err)
		}
	}
	if state, err := openDir(t, path).LoadExclusions(); err != nil || len(state.Excluded) != 1 || state.Excluded["b"] != 1 {
		t.Errorf("stored %+v, %v", state, err)
	}
	if err := os.WriteFile(filepath.Join(path, exclusionsFile), []byte(`{"out":{"b"`), 0o600); err != nil {
		t.Fatal(err)
	}
	if state, err := dir.LoadExclusions(); err == nil || len(state.Excluded) > 0 {
		t.Errorf("a truncated file is read as %+v", state)
	}
}
