package node

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"mintspring/internal/node/exchange"
)

func TestReadsAndWrites(t *testing.T) {
	tc := newTestCluster(t, 3, func(c redcon.Conn, key, id string) {
		if key == "lost" {
			serveMiss(c, key, id)
		} else {
			serveHit(c, key, id)
		}
	}, echoOrigin)
	tc.expectPrefix(tc.request("PING", "", "", ""), "-ERR")
	tc.expectPrefix(tc.request("KV.GET", "k", "1", "c=read,d=500"), "hit")
	tc.expectTimeLeft(tc.request("KV.GET", "lost", "2", "c=read,d=500,x=7"), "GET /lost 2 c=read,d=", 500, ",x=7")
	tc.expectTimeLeft(tc.request("KV.SET", "k", "3", "c=put,d=500,k=1", "new"), "PUT /k 3 c=put,d=", 500, ",k=1 new")
}

// A write that may have been executed is neither rejected nor retried, whatever the origin answers.
func TestUncertainWriteIsNotRetried(t *testing.T) {
	var executions atomic.Int64
	tc := newTestCluster(t, 2, serveHit, func(rw http.ResponseWriter, req *http.Request) {
		executions.Add(1)
		if req.URL.Path == "/reset" {
			panic(http.ErrAbortHandler)
		}
		rw.WriteHeader(500)
		writeString(rw, "BUSY")
	})
	for i, key := range []string{"reset", "failed"} {
		tc.expectPrefix(tc.request("KV.SET", key, fmt.Sprint(i), "c=pay,d=500", "v"), "-ERR ")
		if n := executions.Swap(0); n != 1 {
			t.Errorf("%s: executed %d times", key, n)
		}
	}
}

// An error line of a server is never passed on to the client: a BUSY in it would report a request that may have been executed as rejected.
func TestServerErrorsAreNotPassedOn(t *testing.T) {
	tc := newTestCluster(t, 2, func(c redcon.Conn, _, _ string) { c.WriteRaw([]byte("-ERR BUSY 1\r\n")) },
		func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Srv-Declined", "1")
			rw.WriteHeader(503)
		})
	if got := tc.request("KV.GET", "k", "1", "c=read,d=300"); strings.Contains(got, "BUSY 1") && got != "-BUSY 1" {
		t.Errorf("answer %q", got)
	}
	tc.expectPrefix(tc.request("KV.SET", "k", "2", "c=pay,d=300", "v"), "-BUSY")
}

// Attempts at servers that never answer are ended by the node's timers, before the client's deadline.
func TestSilentServers(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	tc := newTestCluster(t, 2, func(redcon.Conn, string, string) { <-release }, func(http.ResponseWriter, *http.Request) { <-release })
	start := time.Now()
	got := tc.request("KV.GET", "k", "1", "c=read,d=250")
	if took := time.Since(start); took < 100*time.Millisecond || took > time.Second || got == "" || got[0] != '-' {
		t.Errorf("answer %q after %v", got, took)
	}
	tc.expectPrefix(tc.request("KV.SET", "k", "2", "c=pay,d=100", "v"), "-ERR")
}

// A server that does not answer requests with only a few ms left is not ejected for that: each server gets its share of later requests.
func TestRequestsWithLittleTimeEjectNoServer(t *testing.T) {
	const servers, shortRequests, normalRequests = 3, 90, 120
	var served sync.Map // by server
	tc := newTestCluster(t, servers, func(c redcon.Conn, key, id string) {
		if strings.HasPrefix(key, "brief") {
			return
		}
		served.Store(c.NetConn().LocalAddr().String(), true)
		serveHit(c, key, id)
	}, echoOrigin)
	for i := range shortRequests {
		tc.expectPrefix(tc.request("KV.GET", fmt.Sprint("brief", i), fmt.Sprint("b", i), fmt.Sprint("c=read,d=", 1+i%5)), "-")
	}
	for i := range normalRequests {
		tc.expectPrefix(tc.request("KV.GET", fmt.Sprint("key", i), fmt.Sprint(i), "c=read,d=500"), "hit")
	}
	usedServers := 0
	served.Range(func(any, any) bool { usedServers++; return true })
	if usedServers != servers {
		t.Errorf("%d of %d servers are used", usedServers, servers)
	}
}

// A value without a declared length from the origin is complete only when the connection is closed in an orderly way. A reset after any byte,
// even the last one, fails the request.
func TestResetDoesNotCompleteValue(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\n\r\nvalue"
	resetPositions := make(chan int, 1)
	tc := newTestCluster(t, 1, serveMiss, func(rw http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		position := <-resetPositions
		writeString(conn, response[:min(position, len(response))])
		time.Sleep(2 * time.Millisecond) // until the node has read it
		if position <= len(response) {
			_ = conn.(*net.TCPConn).SetLinger(0) // fails only on a connection that is broken already
		}
		closeQuietly(conn)
	})
	for position := range len(response) + 2 {
		resetPositions <- position
		got := tc.request("KV.SET", "k", fmt.Sprint(position), "c=pay,d=500", "v")
		if position <= len(response) {
			tc.expectPrefix(got, "-ERR")
		} else {
			tc.expectPrefix(got, "value")
		}
	}
}

// panickingEvent is an event whose handler panics.
type panickingEvent struct{ request *exchange.Exchange }

func (e panickingEvent) handle(*Node, float64) { panic("fault") }

func (e panickingEvent) exchange() *exchange.Exchange { return e.request }

// responseChannel is a client that sends its responses on a channel.
type responseChannel chan *exchange.Response

func (c responseChannel) ResponseReady(x *exchange.Exchange) { c <- x.Response() }

// A panic in the loop aborts the request of the event, and the node keeps running.
func TestPanicInTheLoop(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin)
	client := make(responseChannel, 1)
	tc.node.inbox.post(panickingEvent{&exchange.Exchange{Client: client}})
	if response := <-client; response.Kind != exchange.Aborted {
		t.Errorf("answered %+v", response)
	}
	tc.node.inbox.post(panickingEvent{})
	tc.expectPrefix(tc.request("KV.GET", "k", "1", "c=read,d=500"), "hit")
}

// faultyServers serves requests with random faults, and counts how often each request is executed by the origin.
type faultyServers struct {
	mu         sync.Mutex
	random     *rand.Rand
	executions map[string]int // by request id
}

func (s *faultyServers) draw() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Intn(10)
}

func (s *faultyServers) execute(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[id]++
}

func (s *faultyServers) serveCache(c redcon.Conn, key, id string) {
	switch s.draw() {
	case 0:
		c.WriteRaw([]byte("-BUSY\r\n"))
	case 1:
		c.WriteRaw([]byte("-ERR failed\r\n"))
	case 2:
		closeQuietly(c)
	case 3:
		c.WriteRaw([]byte("*3\r\n$9\r\nhal"))
		closeQuietly(c)
	case 4:
		time.Sleep(700 * time.Millisecond)
	case 5, 6:
		serveHit(c, key, id)
	default:
		serveMiss(c, key, id)
	}
}

func (s *faultyServers) serveOrigin(rw http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Req-Id")
	switch s.draw() {
	case 0:
		rw.Header().Set("Srv-Declined", "1")
		rw.WriteHeader(503)
	case 1:
		s.execute(id)
		rw.WriteHeader(500)
	case 2:
		s.execute(id)
		panic(http.ErrAbortHandler)
	case 3:
		s.execute(id)
		time.Sleep(700 * time.Millisecond)
	case 4:
		panic(http.ErrAbortHandler)
	default:
		s.execute(id)
		writeString(rw, "value")
	}
}

// checkAnswer checks the answer to a request against the number of its executions: a payment is executed at most once.
func (s *faultyServers) checkAnswer(t *testing.T, class, id, got string) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if class == "pay" && (s.executions[id] > 1 || strings.HasPrefix(got, "-BUSY") && s.executions[id] > 0) {
		t.Errorf("%s: executed %d times and answered %q", id, s.executions[id], got)
	}
	if class != "read" && got[0] != '-' && s.executions[id] == 0 {
		t.Errorf("%s: answered %q, though nothing was executed", id, got)
	}
}

// With arbitrary faults of the servers and the origin, each request gets one complete response in time, and no request whose effect must not
// be repeated is executed twice. The test checks this over sockets, by what the fake servers have executed.
func TestInvariantsWithFaultyServers(t *testing.T) {
	servers := &faultyServers{random: rand.New(rand.NewSource(3)), executions: map[string]int{}}
	tc := newTestCluster(t, 4, servers.serveCache, servers.serveOrigin)
	var requests sync.WaitGroup
	for i := range 400 {
		class, command, value := "read", "KV.GET", []string(nil)
		if i%2 > 0 {
			class, command, value = []string{"put", "pay"}[i/2%2], "KV.SET", []string{"v"}
		}
		requests.Go(func() {
			time.Sleep(time.Duration(i) * 3 * time.Millisecond)
			id, start := fmt.Sprint(class, i), time.Now()
			got := tc.request(command, fmt.Sprint("key", i%50), id, "k=1,d=400,c="+class, value...)
			if took := time.Since(start); got == "" || took > 700*time.Millisecond {
				t.Errorf("%s: answer %q after %v", id, got, took)
			}
			servers.checkAnswer(t, class, id, got)
		})
	}
	requests.Wait()
}

// A fake cache server refuses commands that are not requests to a cache server, and does not count them. One example is the discovery poll of
// a node that expects another server at the address; it used to crash the test binary.
func TestFakeCacheRefusesForeignCommands(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin)
	conn := dial(t, tc.cacheAddrs[0])
	writeString(conn, "GET /catalog/members HTTP/1.1\r\nHost: "+tc.cacheAddrs[0]+"\r\n")
	tc.expectPrefix(requestOn(conn, "KV.SET", "key", "id", "c=put"), "-ERR ")
	if n := tc.cacheRequests.Load(); n != 0 {
		t.Errorf("%d foreign commands were counted", n)
	}
}
