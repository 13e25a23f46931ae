package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Kinds of servers in the list.
const (
	CacheKind  = "cache"
	OriginKind = "origin"
)

// Member is an entry of discovery's list.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  float64 `json:"up_since_ms"`
}

// Discovery is the discovery service.
type Discovery struct {
	Addr string
	run  *Run

	mu       sync.Mutex // guards the fields below
	revision int
	members  []Member
	changed  chan struct{} // closed and replaced with each change
}

// StartDiscovery starts the discovery service with a list.
func (r *Run) StartDiscovery(members []Member) *Discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Check(err)
	d := &Discovery{Addr: l.Addr().String(), run: r, revision: 1, members: members, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, d) }() //nolint:gosec // it serves the node alone, and ends with the process
	return d
}

// list returns the whole list as one line, and the channel that is closed with its next change.
func (d *Discovery) list() ([]byte, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, err := json.Marshal(map[string]any{"revision": d.revision, "complete": true, "members": d.members})
	d.run.Check(err)
	return append(b, '\n'), d.changed
}

// SetPhase changes the phase of a server in the list.
func (d *Discovery) SetPhase(id, phase string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.members {
		if d.members[i].ID == id {
			d.members[i].Phase = phase
		}
	}
	d.revision++
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP answers a call or a watch.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	text, changed := d.list()
	flusher, _ := w.(http.Flusher)
	if _, err := w.Write(text); err != nil || req.URL.Query().Get("watch") == "" {
		return
	}
	flusher.Flush()
	d.run.Logf("discovery: a watch has got the list")
	for {
		select {
		case <-req.Context().Done():
			return
		case <-changed:
			text, changed = d.list()
			_, _ = w.Write(text) // the context ends with the connection
			d.run.Logf("discovery: told the list of %d bytes", len(text))
		case <-time.After(2 * time.Second):
			_, _ = w.Write([]byte("\n")) // as above
		}
		flusher.Flush()
	}
}
