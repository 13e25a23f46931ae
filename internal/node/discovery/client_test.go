package discovery

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mintspring/internal/testbed/loopbacktest"
)

// TestWatch: a watch delivers its updates and reports its end, and the next watch continues from the last revision.
func TestWatch(t *testing.T) {
	requested := make(chan string, 10)
	c, events := newTestClient(t, func(w http.ResponseWriter, req *http.Request) {
		requested <- req.URL.String()
		send(w, `{"revision":43,"complete":false,"members":[{"id":"s1","phase":"terminating"}]}`+"\n\n")
		send(w, `{"revision":44,"complete":true,"members":[]}`+"\n")
	})
	c.SetRevision(41)
	c.Watch()
	if e := nextEvent(t, events); e.update.Revision != 43 || e.update.Complete || len(e.update.Members) != 1 {
		t.Errorf("update %+v", e)
	}
	if e := nextEvent(t, events); e.update.Revision != 44 || !e.update.Complete {
		t.Errorf("update %+v", e)
	}
	if e := nextEvent(t, events); e.err == nil {
		t.Error("the end of the watch was not reported")
	}
	c.Watch()
	nextEvent(t, events)
	if a, b := <-requested, <-requested; a != "/catalog/members?watch=1&from=41" || b != "/catalog/members?watch=1&from=44" {
		t.Errorf("requested %s, then %s", a, b)
	}
}

// TestSwitchTo: after a switch to another service the full list is requested first, because that service may number its revisions
// differently. Updates that still arrive from the old service are dropped.
func TestSwitchTo(t *testing.T) {
	requested := make(chan string, 10)
	service := func(revision int) http.HandlerFunc {
		return func(w http.ResponseWriter, req *http.Request) {
			requested <- req.URL.String()
			for range 2 {
				send(w, fmt.Sprintf(`{"revision":%d,"complete":true,"members":[]}`+"\n", revision))
				if req.URL.RawQuery == "" {
					return
				}
				<-req.Context().Done()
			}
		}
	}
	c, events := newTestClient(t, service(900))
	other := loopbacktest.StartServer(t, service(7))
	t.Cleanup(other.CloseClientConnections)
	c.SetRevision(800)
	c.Watch()
	if e := nextEvent(t, events); e.update.Revision != 900 {
		t.Errorf("update %+v", e)
	}
	c.SwitchTo(strings.TrimPrefix(other.URL, "http://"))
	if a, b := nextEvent(t, events), nextEvent(t, events); a.update.Revision != 7 || b.update.Revision != 7 {
		t.Errorf("updates %+v, then %+v", a, b)
	}
	if a, b, d := <-requested, <-requested, <-requested; a != "/catalog/members?watch=1&from=800" || b != "/catalog/members" ||
		d != "/catalog/members?watch=1&from=7" {
		t.Errorf("requested %s, %s and %s", a, b, d)
	}
}

// TestFailedCalls: a malformed object, an early end, a 503 and a refused connection fail the call.
func TestFailedCalls(t *testing.T) {
	for _, text := range []string{
		"{\"revision\":\n", "[]\n", `{"revision":1,"members":[{"phase":"in_service"}]}` + "\n",
		`{"revision":1,"members":[{"id":7}]}` + "\n", "",
	} {
		c, events := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { send(w, text) })
		if c.Watch(); nextEvent(t, events).err == nil {
			t.Errorf("%q is accepted as a list", text)
		}
	}
	c, events := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	if c.Poll(); nextEvent(t, events).err == nil {
		t.Error("a 503 is accepted as a list")
	}
	c.Addr = "127.0.0.1:1"
	if c.Watch(); nextEvent(t, events).err == nil {
		t.Error("a call to a closed port did not fail")
	}
}

// TestSwitchToDuringCall: while a client switches to another service, Watching reports true throughout, and the end of the old call is not
// reported. Otherwise the caller would start a second watch.
func TestSwitchToDuringCall(t *testing.T) {
	called, done := make(chan string, 10), make(chan struct{})
	defer close(done)
	serve := func(_ net.Conn, path string) { called <- path; <-done }
	c, events := newRawClient(t, serve)
	other, _ := newRawClient(t, serve)
	c.Timeouts = Timeouts{time.Minute, time.Minute, time.Minute}
	c.Watch()
	<-called
	c.SwitchTo(other.Addr)
	if path := <-called; path != listPath || !c.Watching() {
		t.Errorf("requested %s; a watch is running: %v", path, c.Watching())
	}
	select {
	case e := <-events:
		t.Errorf("callback %+v of a call that was replaced", e)
	case <-time.After(50 * time.Millisecond):
	}
}

// TestChangeIsKnownWithinMaxDelay: a change is known within 6 s even if a call fails first. A watch that stops receiving data or a call
// that never reaches the service, followed by the backoff of the decision module, leaves enough time for the response of another call.
func TestChangeIsKnownWithinMaxDelay(t *testing.T) {
	const maxDelay, shortestBackoff, longestBackoff, responseTime = 6 * time.Second, time.Second, 1500 * time.Millisecond, 1500 * time.Millisecond
	if sum := DefaultIdleTimeout + shortestBackoff + responseTime; sum > maxDelay {
		t.Errorf("after a watch without data a change is known in %v", sum)
	}
	if sum := defaultHeaderTimeout + longestBackoff + responseTime; sum > maxDelay {
		t.Errorf("after a call that never reaches the service a change is known in %v", sum)
	}
	if defaultHeaderTimeout+DefaultIdleTimeout > maxDelay || defaultDialTimeout > defaultHeaderTimeout || DefaultIdleTimeout < 3*time.Second || defaultHeaderTimeout <= 2*time.Second {
		t.Errorf("%v, %v, %v: a single call takes too long, or a timeout is below what the service may take", defaultDialTimeout, defaultHeaderTimeout, DefaultIdleTimeout)
	}
}

// TestWatchIsReplaced: a second watch replaces the first one, whose end is not reported.
func TestWatchIsReplaced(t *testing.T) {
	first := true
	c, events := newTestClient(t, func(w http.ResponseWriter, req *http.Request) {
		if first {
			first = false
			send(w, `{"revision":1,"members":[]}`+"\n")
		} else {
			send(w, `{"revision":2,"members":[]}`+"\n")
		}
		<-req.Context().Done()
	})
	c.Watch()
	nextEvent(t, events)
	c.Watch()
	if e := nextEvent(t, events); e.update.Revision != 2 {
		t.Errorf("update %+v", e)
	}
}
