package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tidwall/redcon"

	"mintspring/internal/config/settings"
	"mintspring/internal/node/discovery"
	"mintspring/internal/node/lifecycle"
	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/loopbacktest"
)

const settingsText = `{"Discovery":"subscribe","FamilyInfo":{"Mode":"aside","OriginKind":1},"Kinds":["box","origin"],
 "FailureDomains":["a"],"Guarantees":{"MustAskIn":5000000,"StopSendingWithin":500000,"AnswerSlack":20000},"Quantum":5000,
 "PolicyLimits":{"Cancelling":true,"Probes":true,"ConnIdle":5000000,"ConnectTimeout":250000,"MaxExecutions":4,"MaxRetryAfter":900000,
 "RetryAfter":true,"SecondCopies":true},
 "Workloads":[{"Name":"read","Effect":"pure","SloTime":200000,"StatementTimeout":600000,"Importance":1},
 {"Name":"put","Effect":"token","DedupScope":"all","MemorySpan":5000000,"SloTime":200000,"StatementTimeout":600000,"Importance":3},
 {"Name":"pay","Effect":"side_effect","SloTime":200000,"StatementTimeout":600000,"Importance":2}]}`

// testCluster is a node with fake servers on loopback: cache servers s0, s1, ..., the origin o, and the discovery service.
type testCluster struct {
	t           *testing.T
	node        *Node
	addr        string // of the node
	cacheAddrs  []string
	originAddr  string
	listUpdates chan string // lines of the watch

	serveCache    func(conn redcon.Conn, key, id string) // what a cache server does with a request
	cacheRequests atomic.Int64
}

// ready reports whether the node answers a PING of its clients with success.
func (tc *testCluster) ready() bool { return tc.node.lifecycle.ReadyForClients() }

// newTestCluster starts a cluster whose node is ready.
func newTestCluster(t *testing.T, cacheCount int, serveCache func(redcon.Conn, string, string), serveOrigin http.HandlerFunc, configure ...func(*Config)) *testCluster {
	t.Helper()
	return newTestClusterOn(t, listen(t), cacheCount, serveCache, serveOrigin, configure...)
}

// newTestClusterOn is like newTestCluster, with a node that serves on a given listener.
func newTestClusterOn(t *testing.T, ln net.Listener, cacheCount int, serveCache func(redcon.Conn, string, string), serveOrigin http.HandlerFunc, configure ...func(*Config)) *testCluster {
	t.Helper()
	tc := &testCluster{t: t, serveCache: serveCache, listUpdates: make(chan string, 10)}
	var entries []string
	for i := range cacheCount {
		addr := tc.startCache()
		entries = append(entries, entry(fmt.Sprint("s", i), addr, "box"))
	}
	origin := loopbacktest.StartServer(t, serveOrigin)
	t.Cleanup(origin.CloseClientConnections)
	tc.originAddr = strings.TrimPrefix(origin.URL, "http://")
	entries = append(entries, entry("o", tc.originAddr, "origin"))
	deployment, err := settings.Parse([]byte(settingsText), 7)
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	config := Config{
		Name: "n0", Discovery: tc.startDiscovery(entries), Deployment: deployment, MaxDescriptors: 1024, MemoryMB: 192, AdminEnabled: true,
		CachedList: discovery.Update{},
	}
	for _, change := range configure {
		change(&config)
	}
	tc.node = New(config, log)
	tc.addr = ln.Addr().String()
	serve(t, tc.node, ln)
	t.Cleanup(func() {
		if tc.node.lifecycle.Phase() != lifecycle.Stopping { // a running node would stay in the heap, which some tests measure
			tc.node.Stop(0, 100*time.Millisecond)
		}
	})
	for deadline := time.Now().Add(5 * time.Second); !tc.ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the node does not become ready")
		}
	}
	return tc
}

// startCache starts a fake cache server and returns its address. The server refuses commands that are not requests to a cache server.
func (tc *testCluster) startCache() string {
	ln := listen(tc.t)
	addr := ln.Addr().String()
	tc.cacheAddrs = append(tc.cacheAddrs, addr)
	go func() {
		err := redcon.Serve(ln, func(c redcon.Conn, cmd redcon.Command) {
			if fakes.IsFence(cmd.Args) {
				c.WriteString("PONG")
				return
			}
			if !fakes.IsCacheRequest(cmd.Args) {
				c.WriteError("ERR not a request to a cache server")
				return
			}
			tc.cacheRequests.Add(1)
			tc.serveCache(c, string(cmd.Args[1]), string(cmd.Args[2]))
		}, nil, nil)
		_ = err // its listener was closed at the end of the test
	}()
	return addr
}

// startDiscovery starts a fake discovery service that sends a list and then the lines of listUpdates. It returns its address.
func (tc *testCluster) startDiscovery(entries []string) string {
	d := loopbacktest.StartServer(tc.t, http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		writeString(rw, fmt.Sprintf(`{"revision":1,"complete":true,"members":[%s]}`+"\n", strings.Join(entries, ",")))
		for {
			rw.(http.Flusher).Flush()
			select {
			case line := <-tc.listUpdates:
				writeString(rw, line+"\n")
			case <-req.Context().Done():
				return
			}
		}
	}))
	tc.t.Cleanup(d.CloseClientConnections)
	return strings.TrimPrefix(d.URL, "http://")
}

// serve runs a node on a listener until it is stopped.
func serve(t *testing.T, n *Node, ln net.Listener) {
	t.Helper()
	go func() {
		if err := n.Serve(ln); err != nil {
			t.Errorf("serve: %v", err)
		}
	}()
}

// onLoop runs f on the loop of the node.
func (tc *testCluster) onLoop(f func(now float64)) {
	tc.t.Helper()
	if err := tc.node.runOnLoop(f); err != nil {
		tc.t.Fatal(err)
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln := loopbacktest.Listen(t)
	t.Cleanup(func() { closeQuietly(ln) })
	return ln
}

// dial connects to the node, until the end of the test.
func (tc *testCluster) dial() net.Conn {
	tc.t.Helper()
	return dial(tc.t, tc.addr)
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(c) })
	return c
}

// closeQuietly closes c and ignores the error: the test or the other end may have closed it already.
func closeQuietly(c io.Closer) { _ = c.Close() }

// writeString writes s and ignores the error: the other end of the connection may be gone.
func writeString(w io.Writer, s string) { _, _ = io.WriteString(w, s) }

func writeBytes(w io.Writer, b []byte) { _, _ = w.Write(b) }

// entry returns an entry of the endpoint list for a server in service.
func entry(id, addr, flavor string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","flavor":%q,"phase":"in_service","size":1}`, id, addr, flavor)
}

// entryUpdates parses entries of the endpoint list.
func entryUpdates(t testing.TB, texts ...string) (updates []discovery.EntryUpdate) {
	t.Helper()
	for _, text := range texts {
		update, err := discovery.ParseEntry(json.RawMessage(text))
		if err != nil {
			t.Fatal(err)
		}
		updates = append(updates, update)
	}
	return updates
}

// command encodes a client's command.
func command(words ...string) []byte {
	b := redcon.AppendArray(nil, len(words))
	for _, word := range words {
		b = redcon.AppendBulkString(b, word)
	}
	return b
}

// request sends one request on a new connection and returns the response, or the error line without its line ending.
func (tc *testCluster) request(name, key, id, extra string, value ...string) string {
	c, err := net.Dial("tcp", tc.addr)
	if err != nil {
		return err.Error()
	}
	defer closeQuietly(c)
	return requestOn(c, append([]string{name, key, id, extra}, value...)...)
}

// requestOn sends one command on a connection, or none, and returns the response, or as much of it as was received before the connection ended.
func requestOn(c net.Conn, words ...string) string {
	if len(words) > 0 {
		_, _ = c.Write(command(words...)) // a response may have come before the node closed the connection
	}
	if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return err.Error()
	}
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	if err != nil || line[0] != '$' {
		return strings.TrimSpace(line)
	}
	value, err := r.ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(value)
}

func (tc *testCluster) expectPrefix(got, want string) {
	tc.t.Helper()
	if !strings.HasPrefix(got, want) {
		tc.t.Errorf("answer %.200q, want %q", got, want)
	}
}

// expectTimeLeft expects a number of ms between the texts before and after, less than limitMs and at least half of it.
func (tc *testCluster) expectTimeLeft(got, before string, limitMs int, after string) {
	tc.t.Helper()
	rest, first := strings.CutPrefix(got, before)
	text, last := strings.CutSuffix(rest, after)
	if ms, err := strconv.Atoi(text); !first || !last || err != nil || ms >= limitMs || ms < limitMs/2 {
		tc.t.Errorf("answer %.200q, want %q, what is left of %d ms, and %q", got, before, limitMs, after)
	}
}

func serveHit(c redcon.Conn, _, _ string) {
	c.WriteRaw([]byte("*3\r\n$3\r\nhit\r\n$3\r\nhit\r\n$-1\r\n"))
}

func serveMiss(c redcon.Conn, _, _ string) {
	c.WriteRaw([]byte("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"))
}

// echoOrigin answers with the method, path, headers and body of the request.
func echoOrigin(rw http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return // the node has closed the connection
	}
	writeString(rw, fmt.Sprintf("%s %s %s %s %s", req.Method, req.URL.Path, req.Header.Get("Req-Id"), req.Header.Get("Req-Extra"), body))
}
