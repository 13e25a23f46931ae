package list

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

type heard struct {
	u   Update
	err error
}

func follow(t *testing.T, serve http.HandlerFunc) (*Caller, chan heard) {
	s := httptest.NewServer(serve)
	t.Cleanup(s.CloseClientConnections)
	all := make(chan heard, 100)
	return &Caller{Addr: strings.TrimPrefix(s.URL, "http://"),
		Told: func(u Update) { all <- heard{u: u} }, Failed: func(err error) { all <- heard{err: err} }}, all
}

func next(t *testing.T, all chan heard) heard {
	t.Helper()
	select {
	case h := <-all:
		return h
	case <-time.After(10 * time.Second):
		t.Fatal("discovery's answer was not told")
		return heard{}
	}
}

func TestWatch(t *testing.T) {
	asked := make(chan string, 10)
	c, all := follow(t, func(w http.ResponseWriter, q *http.Request) {
		asked <- q.URL.String()
		fmt.Fprint(w, `{"revision":43,"complete":false,"members":[{"id":"s1","phase":"terminating"}]}`+"\n\n")
		w.(http.Flusher).Flush()
		fmt.Fprint(w, `{"revision":44,"complete":true,"members":[]}`+"\n")
	})
	c.Start(41)
	c.Watch()
	if h := next(t, all); h.u.Revision != 43 || h.u.Complete || len(h.u.Members) != 1 {
		t.Errorf("told %+v", h)
	}
	if h := next(t, all); h.u.Revision != 44 || !h.u.Complete {
		t.Errorf("told %+v", h)
	}
	if h := next(t, all); h.err == nil {
		t.Error("the end of the watch was not told")
	}
	c.Watch()
	next(t, all)
	if a, b := <-asked, <-asked; a != "/catalog/members?watch=1&from=41" || b != "/catalog/members?watch=1&from=44" {
		t.Errorf("asked for %s, then %s", a, b)
	}
}

// Another discovery is asked for its whole list first: it may count in another way. What the old one goes on
// telling is not taken in.
func TestFollowAnother(t *testing.T) {
	asked := make(chan string, 10)
	stand := func(revision int) http.HandlerFunc {
		return func(w http.ResponseWriter, q *http.Request) {
			asked <- q.URL.String()
			for range 2 {
				fmt.Fprintf(w, `{"revision":%d,"complete":true,"members":[]}`+"\n", revision)
				w.(http.Flusher).Flush()
				if q.URL.RawQuery == "" {
					return
				}
				<-q.Context().Done()
			}
		}
	}
	c, all := follow(t, stand(900))
	other := httptest.NewServer(stand(7))
	t.Cleanup(other.CloseClientConnections)
	c.Start(800)
	c.Watch()
	if h := next(t, all); h.u.Revision != 900 {
		t.Errorf("told %+v", h)
	}
	c.Follow(strings.TrimPrefix(other.URL, "http://"))
	if a, b := next(t, all), next(t, all); a.u.Revision != 7 || b.u.Revision != 7 {
		t.Errorf("told %+v, then %+v", a, b)
	}
	if a, b, d := <-asked, <-asked, <-asked; a != "/catalog/members?watch=1&from=800" || b != "/catalog/members" ||
		d != "/catalog/members?watch=1&from=7" {
		t.Errorf("asked for %s, %s and %s", a, b, d)
	}
}

// A malformed line, a 503, and an end are failed calls; what came before them stands.
func TestFailedCalls(t *testing.T) {
	for _, text := range []string{"{\"revision\":\n", "[]\n", `{"revision":1,"members":[{"phase":"in_service"}]}` + "\n",
		`{"revision":1,"members":[{"id":7}]}` + "\n", ""} {
		c, all := follow(t, func(w http.ResponseWriter, q *http.Request) { fmt.Fprint(w, text) })
		if c.Watch(); next(t, all).err == nil {
			t.Errorf("%q was taken for a list", text)
		}
	}
	c, all := follow(t, func(w http.ResponseWriter, q *http.Request) { w.WriteHeader(503) })
	if c.Ask(); next(t, all).err == nil {
		t.Error("a 503 was taken for a list")
	}
	c.Addr = "127.0.0.1:1"
	if c.Watch(); next(t, all).err == nil {
		t.Error("a refused call did not fail")
	}
}

// A watch that brings nothing, not even its empty lines, is broken: a machine that is cut off says nothing.
func TestSilentWatchEnds(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, all := follow(t, nil)
	c.Addr, c.Silence = ln.Addr().String(), 100*time.Millisecond
	c.Watch()
	var slow net.Error
	if h := next(t, all); !errors.As(h.err, &slow) || !slow.Timeout() {
		t.Errorf("told %+v", h)
	}
}

// A later watch takes the place of the one before, whose end is then nobody's concern.
func TestWatchIsReplaced(t *testing.T) {
	first := true
	c, all := follow(t, func(w http.ResponseWriter, q *http.Request) {
		if first {
			first = false
			fmt.Fprintln(w, `{"revision":1,"members":[]}`)
		} else {
			fmt.Fprintln(w, `{"revision":2,"members":[]}`)
		}
		w.(http.Flusher).Flush()
		<-q.Context().Done()
	})
	c.Watch()
	next(t, all)
	c.Watch()
	if h := next(t, all); h.u.Revision != 2 {
		t.Errorf("told %+v", h)
	}
}

func TestEntryOverWhatWasKnown(t *testing.T) {
	known := Entry{ID: "s1", HostPort: "a:1", Flavor: "m2", Phase: "in_service", Size: 1.5, UpSince: 7}
	e, err := Over(known, json.RawMessage(`{"id":"s1","phase":"terminated","new":{}}`))
	if want := known; err != nil || e.Phase != "terminated" || e.HostPort != want.HostPort || e.UpSince != 7 {
		t.Errorf("%+v, %v", e, err)
	}
}
