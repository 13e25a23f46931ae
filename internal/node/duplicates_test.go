package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"mintspring/internal/config/settings"
	"mintspring/internal/testbed/loopbacktest"
)

const (
	originWork       = 15 * time.Millisecond // of a request that the origin executes
	maxDuplicateLate = 12 * time.Millisecond // from a response to its second copy
	closeNoticeTime  = 10 * time.Millisecond // in which the origin notices that a connection was closed
	rejectedOfTen    = 2                     // requests that the origin rejects
	failedOfTen      = 2                     // requests that fail
)

// duplicatingOrigin is an origin that sends each response a second time, so late that the second copy crosses the next request on the
// connection. It records attempts of one request that are in flight at the same time.
type duplicatingOrigin struct {
	mu       sync.Mutex
	inFlight map[string]net.Conn // the connection of each request that is in flight
	closed   map[net.Conn]bool   // connections that the node has closed
	seen     int
	crossed  int      // second copies that crossed a request
	twice    []string // requests of which two attempts were in flight at once
}

// listen starts the origin and returns its address.
func (o *duplicatingOrigin) listen(t *testing.T) string {
	t.Helper()
	listener := loopbacktest.Listen(t)
	t.Cleanup(func() { closeQuietly(listener) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go o.serve(conn)
		}
	}()
	return listener.Addr().String()
}

// serve reads the requests of a connection.
func (o *duplicatingOrigin) serve(conn net.Conn) {
	requests := make(chan string, 10)
	go o.respond(conn, requests)
	defer close(requests)
	for in := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			break
		}
		requests <- r.Header.Get("Req-Id")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed[conn] = true
}

// respond responds to the requests of a connection.
func (o *duplicatingOrigin) respond(conn net.Conn, requests <-chan string) {
	previous, respondedAt := "", time.Now()
	for id := range requests {
		if previous != "" && time.Since(respondedAt) < maxDuplicateLate {
			writeString(conn, previous)
			o.mu.Lock()
			o.crossed++
			o.mu.Unlock()
		}
		previous = o.execute(conn, id)
		writeString(conn, previous)
		respondedAt = time.Now()
	}
}

// execute executes a request and returns its response.
func (o *duplicatingOrigin) execute(conn net.Conn, id string) string {
	number := o.begin(conn, id)
	defer o.end(conn, id)
	switch {
	case number < rejectedOfTen:
		return "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
	case number < rejectedOfTen+failedOfTen:
		return "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	}
	time.Sleep(originWork)
	value := "the value made for the request " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(value), value)
}

// begin records that a request is in flight, and returns the last digit of its number. An attempt whose connection the node closes is no
// longer in flight.
func (o *duplicatingOrigin) begin(conn net.Conn, id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if other := o.inFlight[id]; other != nil {
		o.mu.Unlock()
		time.Sleep(closeNoticeTime)
		o.mu.Lock()
		if !o.closed[other] {
			o.twice = append(o.twice, id)
		}
	}
	o.inFlight[id] = conn
	o.seen++
	return o.seen % 10
}

// end records that a request is no longer in flight on a connection.
func (o *duplicatingOrigin) end(conn net.Conn, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.inFlight[id] == conn {
		delete(o.inFlight, id)
	}
}

// The origin sends responses twice, and the second copy crosses the next request on the connection: it was taken for the response to that
// request. Its client was served the value of another one, or, after a rejection, a second attempt was sent while the first was in flight.
func TestDuplicatesOfOriginCrossRequests(t *testing.T) {
	const clients, requests = 12, 40
	origin := &duplicatingOrigin{inFlight: map[string]net.Conn{}, closed: map[net.Conn]bool{}}
	tc := newTestCluster(t, 0, serveMiss, echoOrigin, func(c *Config) {
		deployment, err := settings.Parse([]byte(strings.Replace(settingsText, `"SecondCopies":true`, `"SecondCopies":false`, 1)), 7)
		if err != nil {
			t.Fatal(err)
		}
		servers := &testCluster{t: t, serveCache: serveMiss}
		c.Deployment = deployment
		c.Discovery = servers.startDiscovery([]string{entry("s0", servers.startCache(), "box"), entry("o", origin.listen(t), "origin")})
	})
	var running sync.WaitGroup
	for i := range clients {
		conn := tc.dial()
		running.Go(func() {
			for k := range requests {
				id, class := fmt.Sprintf("%d-%d", i, k), []string{"read", "pay"}[k%2]
				got := requestOn(conn, "KV.GET", "k"+id, id, "c="+class+",d=500")
				if !strings.HasPrefix(got, "-") && got != "the value made for the request "+id {
					t.Errorf("%s %s: %q", class, id, got)
				}
			}
		})
	}
	running.Wait()
	origin.mu.Lock()
	defer origin.mu.Unlock()
	if len(origin.twice) > 0 {
		t.Errorf("two attempts were in flight at once of %d requests: %v", len(origin.twice), origin.twice)
	}
	t.Logf("%d attempts, %d second copies crossed one", origin.seen, origin.crossed)
}
