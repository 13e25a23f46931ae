package fakes

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"mintspring/internal/testbed/servermodel"
)

// membersPath is where the list of servers is served.
const membersPath = "/catalog/members"

// fullList is the revision that requests the full list instead of changes.
const fullList = -1

// dueMargin is added to the wait for a delayed change, so that it is due when the wait is over.
const dueMargin = 100 * time.Microsecond

// updateJSON is one line of the discovery protocol.
type updateJSON struct {
	Revision int64        `json:"revision"`
	Complete bool         `json:"complete"`
	Members  []memberJSON `json:"members"`
}

type memberJSON struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  float64 `json:"up_since_ms"`
}

// handle answers one call of a node: a poll, or a watch until the node leaves or the service becomes unavailable.
func (d *Discovery) handle(node servermodel.NodeID, w http.ResponseWriter, r *http.Request) {
	if !d.admit(w, r) {
		return
	}
	if r.URL.Query().Get("watch") != "1" {
		d.mu.Lock()
		line, _, _ := d.nextUpdate(node, fullList, NowMs())
		d.mu.Unlock()
		_, _ = w.Write(line) // a node that has left misses it
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from == 0 {
		from = fullList
	}
	d.watch(node, from, w, r)
}

// admit counts a call and reports whether it is to be answered. One that is not has its response, or has ended.
func (d *Discovery) admit(w http.ResponseWriter, r *http.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callCount++
	if !d.waitWhileStalled(r) {
		return false
	}
	if d.unavailable || r.URL.Path != membersPath {
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	return true
}

// watch streams the changes after a revision.
func (d *Discovery) watch(node servermodel.NodeID, from int64, w http.ResponseWriter, r *http.Request) {
	flush := http.NewResponseController(w).Flush
	for {
		d.mu.Lock()
		if !d.waitWhileStalled(r) {
			d.mu.Unlock()
			return
		}
		now := NowMs()
		line, upTo, due := d.nextUpdate(node, from, now)
		changed, unavailable := d.changed, d.unavailable
		d.mu.Unlock()
		if unavailable {
			return
		}
		from = upTo
		if line == nil {
			line = []byte("\n")
		}
		if _, err := w.Write(line); err != nil {
			return
		}
		if err := flush(); err != nil {
			return
		}
		if !d.waitForChange(r, changed, heartbeatWait(due, now)) {
			return
		}
	}
}

// heartbeatWait returns how long a watch is quiet: until the next heartbeat, or until a delayed change is due.
func heartbeatWait(dueMs, nowMs float64) time.Duration {
	if math.IsInf(dueMs, 1) {
		return Heartbeat
	}
	return min(Heartbeat, msDuration(dueMs-nowMs)+dueMargin)
}

// waitForChange waits until something has changed or a time has passed; false: the call is over.
func (d *Discovery) waitForChange(r *http.Request, changed <-chan struct{}, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
		return false
	case <-d.done:
		return false
	}
	return true
}

// waitWhileStalled waits for the end of a stall; false: the call is over. Called with the lock held, which it releases meanwhile.
func (d *Discovery) waitWhileStalled(r *http.Request) bool {
	for d.stalled {
		changed := d.changed
		d.mu.Unlock()
		callOver := false
		select {
		case <-changed:
		case <-r.Context().Done():
			callOver = true
		case <-d.done:
			callOver = true
		}
		if d.mu.Lock(); callOver {
			return false
		}
	}
	return true
}

// nextUpdate returns the line that a node receives now: the changes after a revision, or the whole list. It is nil where there is
// nothing new. upTo is the revision that the node has then, and dueMs when the next delayed change is due, +Inf for none. Called
// with the lock held.
func (d *Discovery) nextUpdate(node servermodel.NodeID, from int64, nowMs float64) (line []byte, upTo int64, dueMs float64) {
	updates, complete, upTo, dueMs := d.endpoints.ChangesSince(from, nowMs)
	message := updateJSON{Revision: upTo, Complete: complete, Members: []memberJSON{}}
	for _, u := range updates {
		d.notifications = append(d.notifications, Notification{NowMs(), node, u.Server, u.Name, u.Phase, u.Started})
		if complete && u.Phase == Terminated {
			continue // a complete list says so by leaving it out
		}
		message.Members = append(message.Members, d.fleet.servers[u.Server].memberJSON(node, u))
	}
	if len(message.Members) == 0 && !complete {
		return nil, from, dueMs
	}
	line, err := json.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("encoding the list of servers: %v", err)) // plain numbers and texts always can be
	}
	return append(line, '\n'), upTo, dueMs
}

// memberJSON is the server's entry in the list of a node.
func (s *Server) memberJSON(node servermodel.NodeID, u servermodel.EndpointUpdate) memberJSON {
	flavor := CacheKind
	if s.Origin {
		flavor = OriginKind
	}
	return memberJSON{
		ID: u.Name, HostPort: s.Addr(node), Locality: s.Zone, Flavor: flavor, Cell: s.Cell, Phase: u.Phase, Size: s.Size,
		UpSince: u.ListedStart(),
	}
}
