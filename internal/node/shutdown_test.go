package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"mintspring/internal/node/exchange"
)

// At a planned restart requests in flight are answered, new clients are served for the grace period, and the node ends by itself.
func TestStopAnswersRequestsInFlight(t *testing.T) {
	tc := newTestCluster(t, 2, func(c redcon.Conn, key, id string) {
		time.Sleep(60 * time.Millisecond)
		serveHit(c, key, id)
	}, echoOrigin)
	answers := make(chan string, 2)
	go func() { answers <- tc.request("KV.GET", "k", "1", "c=read,d=500") }()
	time.Sleep(30 * time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		tc.node.Stop(200*time.Millisecond, 3*time.Second)
	}()
	time.Sleep(100 * time.Millisecond)
	go func() { answers <- tc.request("KV.GET", "k", "2", "c=read,d=500") }()
	tc.expectPrefix(<-answers, "hit")
	tc.expectPrefix(<-answers, "hit")
	select {
	case <-stopped:
	case <-time.After(2 * time.Second):
		t.Error("the node does not end")
	}
	if _, err := net.Dial("tcp", tc.addr); err == nil {
		t.Error("the node still accepts clients")
	}
}

// A request without a response at the bound of the stop is aborted rather than lost.
func TestStopAbortsAtBound(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	tc := newTestCluster(t, 2, func(redcon.Conn, string, string) { <-release }, func(http.ResponseWriter, *http.Request) { <-release })
	answer := make(chan string, 1)
	go func() { answer <- tc.request("KV.SET", "k", "1", "c=pay,d=600", "v") }()
	time.Sleep(30 * time.Millisecond)
	tc.node.Stop(20*time.Millisecond, 100*time.Millisecond)
	tc.expectPrefix(<-answer, "-ERR the node is stopping")
}

// failingListener is a listener whose accepts can be made to fail, as when the system has no free descriptor. Connections then wait in the
// backlog.
type failingListener struct {
	*net.TCPListener
	failing atomic.Bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failing.Load() {
		return nil, syscall.ENFILE
	}
	return l.TCPListener.Accept()
}

// setFailing makes accepts fail. It opens a connection to end the accept that is already blocked.
func (l *failingListener) setFailing(t *testing.T) {
	t.Helper()
	l.failing.Store(true)
	closeQuietly(dial(t, l.Addr().String()))
}

// If accepts fail beyond the grace period of a stop, the connections in the backlog are still answered: they are accepted as long as there is
// time to answer. The node used to close the listener 100 ms after the grace period, which reset them.
func TestStopAnswersBacklogOfFailingAccepts(t *testing.T) {
	const grace, bound = 100 * time.Millisecond, 900 * time.Millisecond
	ln := &failingListener{TCPListener: listen(t).(*net.TCPListener)}
	tc := newTestClusterOn(t, ln, 2, serveHit, echoOrigin)
	ln.setFailing(t)
	time.Sleep(10 * time.Millisecond)
	answer := make(chan string, 1)
	conn := dial(t, tc.addr) // waits in the backlog
	go func() { answer <- requestOn(conn, "KV.GET", "k", "1", "c=read,d=800") }()
	time.AfterFunc(grace+250*time.Millisecond, func() { ln.failing.Store(false) })
	tc.node.Stop(grace, bound)
	tc.expectPrefix(<-answer, "hit")
}

// A stop does not wait for the attempts of a request whose client is gone.
func TestStopDoesNotWaitForGoneClients(t *testing.T) {
	release, begun := make(chan struct{}), make(chan struct{}, 10)
	defer close(release)
	tc := newTestCluster(t, 1, serveHit, func(http.ResponseWriter, *http.Request) { begun <- struct{}{}; <-release })
	c := tc.dial()
	go requestOn(c, "KV.SET", "k", "1", "c=pay,d=600", "v")
	<-begun
	closeQuietly(c)
	start := time.Now()
	tc.node.Stop(50*time.Millisecond, 5*time.Second)
	if took := time.Since(start); took > 400*time.Millisecond {
		t.Errorf("it took %v", took)
	}
}

// Clients that send without waiting for responses, until the process ends, get a response to every request that was executed. Each connection
// ends between two responses, and requests that arrive too late are not executed.
func TestStopWithPipeliningClients(t *testing.T) {
	var mu sync.Mutex
	executed := map[string]bool{}
	tc := newTestCluster(t, 3, func(c redcon.Conn, key, id string) {
		mu.Lock()
		executed[id] = true
		mu.Unlock()
		time.Sleep(3 * time.Millisecond)
		serveHit(c, key, id)
	}, echoOrigin)
	clients := make([]*pipeliningClient, 12)
	var wg sync.WaitGroup
	for i := range clients {
		c := &pipeliningClient{number: i, conn: tc.dial(), receiving: make(chan struct{})}
		if err := c.conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		clients[i] = c
		go c.send()
		wg.Go(func() { c.receive(t) })
	}
	for _, c := range clients {
		<-c.receiving
	}
	tc.node.Stop(20*time.Millisecond, 2*time.Second)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id := range executed {
		var client, number int
		if _, err := fmt.Sscanf(id, "%d-%d", &client, &number); err != nil {
			t.Fatal(err)
		}
		if number >= clients[client].responses {
			t.Errorf("request %s was executed, and its client had %d responses", id, clients[client].responses)
		}
	}
}

// pipeliningClient sends requests without waiting for responses.
type pipeliningClient struct {
	number    int
	conn      net.Conn
	responses int           // owned by receive
	receiving chan struct{} // closed after a few responses
}

// send sends requests until the connection ends, every third client without pauses.
func (c *pipeliningClient) send() {
	for sent := 0; ; sent++ {
		id := fmt.Sprintf("%d-%d", c.number, sent)
		if _, err := c.conn.Write(command("KV.GET", fmt.Sprint("k", c.number), id, "c=read,d=5000")); err != nil {
			return
		}
		if c.number%3 > 0 {
			time.Sleep(time.Duration(c.number%3) * 700 * time.Microsecond)
		}
	}
}

// receive counts the responses, and expects the connection to end between two of them.
func (c *pipeliningClient) receive(t *testing.T) {
	defer closeQuietly(c.conn)
	in := bufio.NewReader(c.conn)
	for ; ; c.responses++ {
		line, err := in.ReadString('\n')
		if err == nil && line[0] == '$' {
			_, err = in.ReadString('\n')
		}
		if err != nil {
			if !errors.Is(err, io.EOF) || line != "" {
				t.Errorf("client %d: the connection ends with %q and %v", c.number, line, err)
			}
			return
		}
		if c.responses == 5 {
			close(c.receiving)
		}
	}
}

// exchangeChannel is the client of requests that the test passes to the node without a connection.
type exchangeChannel chan *exchange.Exchange

func (c exchangeChannel) ResponseReady(x *exchange.Exchange) { c <- x }

// A request that arrives while the node stops gets its response before the process ends, however long its client would wait. A request that
// arrives after the others were aborted is rejected at once, without an attempt.
func TestRequestsDuringStop(t *testing.T) {
	release := make(chan struct{})
	tc := newTestCluster(t, 1, func(redcon.Conn, string, string) { <-release }, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	client := make(exchangeChannel, 10)
	newRequest := func(id string) *exchange.Exchange {
		now := tc.node.clock.Now()
		return &exchange.Exchange{
			Command: []byte("KV.GET"), Key: []byte("k"), ID: []byte(id), Extra: []byte("c=read,d=9000"),
			ArrivedAt: now, Deadline: now + 9000, Client: client,
		}
	}
	now := tc.node.clock.Now()
	tc.node.inbox.post(stopDeadline{now + 150})
	tc.node.HandleRequest(newRequest("1"))
	if x := <-client; x.Response().Kind == exchange.Completed || tc.node.clock.Now() > now+5000 {
		t.Errorf("answered %+v, %.0f ms later", x.Response(), tc.node.clock.Now()-now)
	}
	tc.node.inbox.post(stopRequest{abort: true})
	sent := tc.cacheRequests.Load()
	tc.node.HandleRequest(newRequest("2"))
	if x := <-client; x.Response().Kind != exchange.Rejected || tc.cacheRequests.Load() != sent {
		t.Errorf("answered %+v, and %d attempts more", x.Response(), tc.cacheRequests.Load()-sent)
	}
}

// A stop ends in time even if the loop is blocked.
func TestStopWithBusyLoop(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin)
	unblock := make(chan struct{})
	defer close(unblock)
	tc.node.inbox.post(loopCall(func(float64) { <-unblock }))
	const bound = 100 * time.Millisecond
	start := time.Now()
	tc.node.Stop(0, bound)
	if took := time.Since(start); took > bound+stopMargin+loopCallTimeout/2 {
		t.Errorf("it took %v to stop", took)
	}
}

// A request that arrives in the last phase of a stop, behind one that is still in flight on its connection, is answered before the connection
// ends. Its bytes used to be read and dropped.
func TestRequestBehindOneInFlightIsAnsweredAtStop(t *testing.T) {
	release, begun := make(chan struct{}), make(chan struct{}, 10)
	tc := newTestCluster(t, 1, serveHit, func(http.ResponseWriter, *http.Request) { begun <- struct{}{}; <-release })
	c := tc.dial()
	_, err := c.Write(command("KV.SET", "k", "1", "c=pay,d=2000", "v"))
	if err != nil {
		t.Fatal(err)
	}
	<-begun
	const grace = 50 * time.Millisecond
	go tc.node.Stop(grace, 2*time.Second)
	for i := range 3 {
		time.Sleep(2 * grace)
		if _, err := c.Write(command("KV.GET", "k", fmt.Sprint("late", i), "c=read,d=2000")); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(grace)
	close(release)
	if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("the connection ends with %v", err)
	}
	if replies := strings.Count(string(text), "\r\n-BUSY"); replies != 3 {
		t.Errorf("%d of 3 late requests were rejected: %q", replies, text)
	}
}

// A request that arrives during a stop is answered long enough before the bound that the node, if it is not scheduled for 0.15 s at the worst
// moment, still sends the response before the platform kills the process.
func TestStopAllowsForSchedulingStall(t *testing.T) {
	release := make(chan struct{})
	tc := newTestCluster(t, 1, func(redcon.Conn, string, string) { <-release }, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	const grace, bound = 100 * time.Millisecond, 700 * time.Millisecond
	start := time.Now()
	go tc.node.Stop(grace, bound)
	time.Sleep(grace / 2)
	answer := tc.request("KV.SET", "k", "1", "c=pay,d=5000", "v")
	if took := time.Since(start); took > bound-schedulingStallAllowance+50*time.Millisecond || !strings.HasPrefix(answer, "-ERR") {
		t.Errorf("answer %q %v after the stop began", answer, took)
	}
}

// A reload at the end of a stop does not wait for a loop that has ended.
func TestReconfigureAfterStop(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin)
	tc.node.Stop(0, 100*time.Millisecond)
	start := time.Now()
	if err := tc.node.Reconfigure(tc.node.deployment); !errors.Is(err, errLoopEnded) {
		t.Errorf("%v", err)
	}
	if took := time.Since(start); took > loopCallTimeout/4 {
		t.Errorf("it took %v", took)
	}
}

// MaxRequestTimeout is the longest request timeout of the deployment, however short: the bound of a stop follows from it, since the platform
// kills the process 0.7 s after the longest deadline.
func TestLongestRequestTimeout(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin)
	if ms := tc.node.MaxRequestTimeout(); ms != 600 {
		t.Errorf("%.0f ms, and the longest timeout in the settings is 600 ms", ms)
	}
}
