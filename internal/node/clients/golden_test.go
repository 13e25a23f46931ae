package clients

import (
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"mintspring/internal/node/exchange"
	"mintspring/internal/node/lifecycle"
	"mintspring/internal/testbed/goldentest"
)

const goldenFile = "replies.txt"

// goldenCase is what a client sends, and how its requests are answered.
type goldenCase struct {
	name           string
	input          string // QUIT follows, unless the input ends the connection
	responses      []exchange.Response
	endsConnection bool
	configure      func(*Server)
	respondWhen    func(*Server) bool // the responses are given once this is true; nil: at once
}

func goldenCases() []goldenCase {
	get := command("KV.GET", "7f3a9c21e0b4d655", "9b1f", testExtra)
	set := func(extra, value string) string { return command("KV.SET", "k", "i", extra, value) }
	withExtra := func(extra string) string { return command("KV.GET", "k", "i", extra) }
	completed := func(value string) exchange.Response { return exchange.Response{Value: []byte(value)} }
	stream := func(size int, err error, chunks ...string) exchange.Response {
		value := newFakeStream(size, err, chunks...)
		close(value.chunks)
		return exchange.Response{Stream: value}
	}
	notServing := func(s *Server) { s.Lifecycle = &lifecycle.State{} }
	return []goldenCase{
		{name: "ping", input: command("PING")},
		{name: "ping-lower-case", input: command("ping")},
		{name: "ping-message", input: command("PING", "hi\r\n")},
		{name: "ping-arguments", input: command("PING", "a", "b")},
		{name: "ping-not-serving", input: command("PING"), configure: notServing},
		{name: "ping-message-not-serving", input: command("PING", "hi"), configure: notServing},
		{name: "ping-standby", input: command("PING"), configure: func(s *Server) { s.Lifecycle.EnterStandby(s.Clock.Now()) }},
		{name: "quit", input: ""},
		{name: "unknown-command", input: command("HELLO", "3")},
		{name: "unknown-command-long", input: command(strings.Repeat("x", 100))},
		{name: "unknown-command-control-bytes", input: command("a\r\nb\x7f\x00")},
		{name: "value", input: get, responses: []exchange.Response{completed("value")}},
		{name: "value-empty", input: get, responses: []exchange.Response{completed("")}},
		{name: "value-binary", input: get, responses: []exchange.Response{completed("\x00\r\n\xff")}},
		{name: "value-in-pieces", input: get, responses: []exchange.Response{stream(6, io.EOF, "abc", "def")}},
		{name: "value-cut-before-its-first-byte", input: get, responses: []exchange.Response{stream(6, io.ErrUnexpectedEOF)}},
		{name: "value-cut", input: get, responses: []exchange.Response{stream(6, io.ErrUnexpectedEOF, "abc")}, endsConnection: true},
		{name: "write", input: set("c=put,d=480,k=5c", "new"), responses: []exchange.Response{completed("receipt")}},
		{name: "rejected", input: get, responses: []exchange.Response{{Kind: exchange.Rejected}}},
		{name: "rejected-retry-after", input: get, responses: []exchange.Response{{Kind: exchange.Rejected, RetryAfter: 12.7}}},
		{name: "rejected-retry-after-under-1-ms", input: get, responses: []exchange.Response{{Kind: exchange.Rejected, RetryAfter: 0.9}}},
		{name: "rejected-no-memory", input: get, configure: func(s *Server) { s.MaxBuffered = 1 }},
		{name: "aborted", input: get, responses: []exchange.Response{{Kind: exchange.Aborted, Reason: "unknown"}}},
		{
			name: "duplicate-id", input: get + get, responses: []exchange.Response{completed("v")},
			respondWhen: func(s *Server) bool { return s.counters.malformed.Load() > 0 },
		},
		{name: "get-arguments", input: command("KV.GET", "k", "i")},
		{name: "set-arguments", input: command("kv.set", "k", "i", "c=put")},
		{name: "empty-key", input: command("KV.GET", "", "i", testExtra)},
		{name: "control-bytes", input: command("KV.GET", "k", "i\n", testExtra)},
		{name: "no-name-and-value", input: withExtra("c=read,word")},
		{name: "unknown-class", input: withExtra("c=none,d=5")},
		{name: "no-class", input: withExtra("d=5")},
		{name: "no-time", input: withExtra("c=read,d=soon")},
		{name: "no-idempotency-key", input: set("c=put,d=5", "v")},
		{name: "too-large", input: set("c=put,d=5,k=1", strings.Repeat("v", exchange.MaxBufferedValue+1))},
		{name: "not-resp", input: "GET / HTTP/1.1\r\n\r\n", endsConnection: true},
		{name: "not-resp-count", input: "*x\r\n", endsConnection: true},
		{name: "not-resp-part", input: "*1\r\n:5\r\n", endsConnection: true},
		{name: "not-resp-length", input: "*1\r\n$3\r\nabcd\r\n", endsConnection: true},
		{
			name: "too-slow", input: get + "*1\r\n", responses: []exchange.Response{completed("v")}, endsConnection: true,
			configure: func(s *Server) { s.CommandTimeout = 20 }, respondWhen: func(s *Server) bool { return s.counters.timedOut.Load() > 0 },
		},
		{name: "in-order", input: command("PING") + get + command("PING", "hi"), responses: []exchange.Response{completed("v")}},
	}
}

// TestGoldenReplies fixes each reply that clients can receive, byte for byte.
func TestGoldenReplies(t *testing.T) {
	for _, c := range goldenCases() {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, func(s *Server) {
				if c.configure != nil {
					c.configure(s)
				}
			})
			got := c.exchange(t, h)
			if want, known := goldentest.ReadQuoted(t, goldenFile)[c.name]; !known || string(got) != want {
				t.Errorf("%s\t%s\nwant %q", c.name, strconv.Quote(string(got)), want)
			}
		})
	}
}

// exchange sends the input, answers the requests, and returns what the client receives until the connection ends.
func (c *goldenCase) exchange(t *testing.T, h *harness) []byte {
	t.Helper()
	client := h.dial()
	input := c.input
	if !c.endsConnection {
		input += command("QUIT")
	}
	if _, err := io.WriteString(client, input); err != nil {
		t.Fatal(err)
	}
	for _, response := range c.responses {
		x := h.nextRequest()
		for c.respondWhen != nil && !c.respondWhen(h.server) {
			time.Sleep(time.Millisecond)
		}
		x.Respond(response)
	}
	got, err := io.ReadAll(client.reader)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// TestGoldenPhases fixes the names of the phases in -LOADING replies.
func TestGoldenPhases(t *testing.T) {
	var got []string
	for _, phase := range []lifecycle.Phase{lifecycle.Starting, lifecycle.Ready, lifecycle.Standby, lifecycle.Stopping} {
		got = append(got, phase.String())
	}
	if want := "starting,ready,on standby,ending"; strings.Join(got, ",") != want {
		t.Errorf("%q, want %q", got, want)
	}
}
