package standin

import (
	"encoding/json"
	"net"
	"net/http"
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

// Discovery is the discovery service. Its list does not change.
type Discovery struct {
	Addr string
	run  *Run
	list []byte
}

// StartDiscovery starts the discovery service with a list.
func (r *Run) StartDiscovery(members []Member) *Discovery {
	list, err := json.Marshal(map[string]any{"revision": 1, "complete": true, "members": members})
	r.Check(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Check(err)
	d := &Discovery{Addr: l.Addr().String(), run: r, list: append(list, '\n')}
	go func() { _ = http.Serve(l, d) }() //nolint:gosec // it serves the node alone, and ends with the process
	return d
}

// ServeHTTP answers a call or a watch.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	flusher, ok := w.(http.Flusher)
	if _, err := w.Write(d.list); err != nil || !ok || req.URL.Query().Get("watch") == "" {
		return
	}
	flusher.Flush()
	d.run.Logf("discovery: a watch has got the list")
	for {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(2 * time.Second):
			_, _ = w.Write([]byte("\n")) // the context ends with the connection
			flusher.Flush()
		}
	}
}
