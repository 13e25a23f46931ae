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

// TestSwitchTo: the full list of another service is requested first, because it may number its revisions in another way. What
// the old service still sends is dropped.
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

// TestFailedCalls: a malformed object, a 503, and an end fail the call; what came before them stands.
func TestFailedCalls(t *testing.T) {
	for _, text := range []string{
		"{\"revision\":\n", "[]\n", `{"revision":1,"members":[{"phase":"in_service"}]}` + "\n",
		`{"revision":1,"members":[{"id":7}]}` + "\n", "",
	} {
		c, events := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { send(w, text) })
		if c.Watch(); nextEvent(t, events).err == nil {
			t.Errorf("%q is taken for a list", text)
		}
	}
	c, events := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	if c.Poll(); nextEvent(t, events).err == nil {
		t.Error("a 503 is taken for a list")
	}
	c.Addr = "127.0.0.1:1"
	if c.Watch(); nextEvent(t, events).err == nil {
		t.Error("a refused call did not fail")
	}
}

// TestSwitchToDuringCall: a client that switches to another service during a call has a watch running all the while. The end of
// the old call, reported late, is no reason to start the new one again.
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
		t.Errorf("%+v of a call that was replaced", e)
	case <-time.After(50 * time.Millisecond):
	}
}

// TestTimeoutsAddUp: what calls may wait for is less than the 6 s after which a change counts as known. A watch that falls
// silent, or a call that never reaches the service, each with the backoff of the decision module, leave time for the header of
// another call.
func TestTimeoutsAddUp(t *testing.T) {
	const maxDelay, shortestBackoff, longestBackoff, responseTime = 6 * time.Second, time.Second, 1500 * time.Millisecond, 1500 * time.Millisecond
	if sum := DefaultIdleTimeout + shortestBackoff + responseTime; sum > maxDelay {
		t.Errorf("behind a watch that falls silent a change is known after %v", sum)
	}
	if sum := defaultHeaderTimeout + longestBackoff + responseTime; sum > maxDelay {
		t.Errorf("behind a call that never reaches the service a change is known after %v", sum)
	}
	if defaultHeaderTimeout+DefaultIdleTimeout > maxDelay || defaultDialTimeout > defaultHeaderTimeout || DefaultIdleTimeout < 3*time.Second || defaultHeaderTimeout <= 2*time.Second {
		t.Errorf("%v, %v, %v: a call alone takes too long, or what discovery may take is not waited for", defaultDialTimeout, defaultHeaderTimeout, DefaultIdleTimeout)
	}
}

// TestWatchIsReplaced: a later watch replaces the one before, whose end is not reported then.
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
