package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// TestSilentWatchEnds: a watch that receives no more data fails, at whatever point of the response that happens. Updates received before are
// delivered.
func TestSilentWatchEnds(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const object = `{"revision":3,"complete":true,"members":[{"id":"s1"}]}` + "\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	for name, c := range map[string]struct {
		response string
		updates  int
	}{
		"at once":                 {"", 0},
		"within the header":       {header[:20], 0},
		"after the header":        {header, 0},
		"within its first object": {header + chunk(object[:20]), 0},
		"after its first object":  {header + chunk(object), 1},
		"after an empty line":     {header + chunk(object) + chunk("\n"), 1},
		"within a later object":   {header + chunk(object) + chunk(object) + chunk(`{"revision":4,"mem`), 2},
		"within a chunk":          {header + chunk(object) + "4\r\n{", 1},
	} {
		t.Run(name, func(t *testing.T) {
			client, events := newRawClient(t, func(conn net.Conn, _ string) { sendRaw(conn, c.response) })
			client.Watch()
			for range c.updates {
				if e := nextEvent(t, events); e.update.Revision != 3 {
					t.Errorf("update %+v", e)
				}
			}
			var netErr net.Error
			e := nextEvent(t, events)
			timedOut := errors.As(e.err, &netErr) && netErr.Timeout()
			if e.err == nil || name != "within the header" && !timedOut { // a truncated header is malformed
				t.Errorf("error %v", e.err)
			}
			if client.Watching() {
				t.Error("Watching is true after the watch has ended")
			}
		})
	}
}

// TestResponseForms: a list may be on one line or indented, in chunks, with or without a Content-Length, on a connection that stays open, and
// after 1xx responses.
func TestResponseForms(t *testing.T) {
	const line = `{"revision":5,"complete":true,"members":[{"id":"s 1","phase":"in_service"},{"id":"s2"}]}`
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(line), "", "  "); err != nil {
		t.Fatal(err)
	}
	for _, body := range []string{
		line + "\n", line, indented.String(), indented.String() + "\n\n", "\n\n" + strings.ReplaceAll(indented.String(), "\n", "\r\n"),
	} {
		for _, response := range responses(body) {
			for _, watch := range []bool{false, true} {
				checkResponse(t, response, watch)
			}
		}
	}
}

// responses returns HTTP responses that have the same body in different forms.
func responses(body string) []string {
	chunks := ""
	for i := 0; i < len(body); i += 7 {
		piece := body[i:min(i+7, len(body))]
		chunks += fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	}
	return []string{
		fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"HTTP/1.1 200 OK\r\n\r\n" + body,
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" + body,
	}
}

// checkResponse checks the update from a response that the service sends byte by byte.
func checkResponse(t *testing.T, response string, watch bool) {
	t.Helper()
	c, events := newRawClient(t, func(conn net.Conn, _ string) {
		for i := range len(response) {
			sendRaw(conn, response[i:i+1])
		}
	})
	if watch {
		c.Watch()
	} else {
		c.Poll()
	}
	if e := nextEvent(t, events); e.err != nil || e.update.Revision != 5 || len(e.update.Members) != 2 {
		t.Errorf("watch %v: response %q delivers %+v", watch, response, e)
	}
}

// TestLineReader: empty lines are skipped and reported as heartbeats, and reading fails after the maximum size of an object.
func TestLineReader(t *testing.T) {
	lines, heartbeats := 0, 0
	onLine, onHeartbeat := func() { lines++ }, func() { heartbeats++ }
	l := &lineReader{source: strings.NewReader("\n\r\n"), remaining: 10, onLine: onLine, onHeartbeat: onHeartbeat}
	if got, err := l.Read(make([]byte, 1)); got != 0 || !errors.Is(err, io.EOF) || lines != 2 || l.remaining != 10 {
		t.Errorf("%d bytes of empty lines, %v; %d lines, %d remaining", got, err, lines, l.remaining)
	}
	if heartbeats != 3 { // the three bytes were read one by one
		t.Errorf("%d heartbeats", heartbeats)
	}
	l = &lineReader{source: strings.NewReader(strings.Repeat("x", 30)), remaining: 10, onLine: onLine, onHeartbeat: onHeartbeat}
	if text, err := io.ReadAll(l); err == nil || len(text) != 10 {
		t.Errorf("%d bytes of an object without an end, %v", len(text), err)
	}
}
