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

// membersPath is the URL path of the list of servers.
const membersPath = "/catalog/members"

// fullList is the revision that requests the full list instead of changes.
const fullList = -1

// changeMargin is added to the wait for a delayed change, so that the change is due when the wait ends.
const changeMargin = 100 * time.Microsecond

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

// handle serves one call of a node: a poll, or a watch that lasts until the node disconnects or the service becomes unavailable.
func (d *Discovery) handle(node servermodel.NodeID, w http.ResponseWriter, r *http.Request) {
	if !d.admit(w, r) {
		return
	}
	if r.URL.Query().Get("watch") != "1" {
		d.mu.Lock()
		line, _, _ := d.nextUpdate(node, fullList, NowMs())
		d.mu.Unlock()
		_, _ = w.Write(line) // fails only if the node has disconnected
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from == 0 {
		from = fullList
	}
	d.watch(node, from, w, r)
}

// admit counts a call and waits for the end of a stall. It returns false if the call has ended or was answered with an error.
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

// watch streams the changes after a revision, and heartbeats between them.
func (d *Discovery) watch(node servermodel.NodeID, from int64, w http.ResponseWriter, r *http.Request) {
	flush := http.NewResponseController(w).Flush
	for {
		d.mu.Lock()
		if !d.waitWhileStalled(r) {
			d.mu.Unlock()
			return
		}
		now := NowMs()
		line, revision, nextChangeMs := d.nextUpdate(node, from, now)
		changed, unavailable := d.changed, d.unavailable
		d.mu.Unlock()
		if unavailable {
			return
		}
		from = revision
		if line == nil {
			line = []byte("\n")
		}
		if _, err := w.Write(line); err != nil {
			return
		}
		if err := flush(); err != nil {
			return
		}
		if !d.waitForChange(r, changed, quietTime(nextChangeMs, now)) {
			return
		}
	}
}

// quietTime returns how long a watch sends nothing: until the next heartbeat, or until a delayed change is due.
func quietTime(nextChangeMs, nowMs float64) time.Duration {
	if math.IsInf(nextChangeMs, 1) {
		return Heartbeat
	}
	return min(Heartbeat, msDuration(nextChangeMs-nowMs)+changeMargin)
}

// waitForChange waits until the state has changed or the time has passed. It returns false if the call has ended.
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

// waitWhileStalled waits for the end of a stall. It returns false if the call has ended. Called with the lock held, which it releases while
// it waits.
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
func (d *Discovery) nextUpdate(node servermodel.NodeID, from int64, nowMs float64) (line []byte, revision int64, nextChangeMs float64) {
	updates, complete, revision, nextChangeMs := d.endpoints.ChangesSince(from, nowMs)
	for _, u := range updates {
		d.notifications = append(d.notifications, Notification{NowMs(), node, u.Server, u.Name, u.Phase, u.Started})
	}
	message := d.message(node, updates, complete, revision)
	if len(message.Members) == 0 && !complete {
		return nil, from, nextChangeMs
	}
	line = append(message.encode(), '\n')
	d.bytesWritten += len(line)
	return line, revision, nextChangeMs
}

// message returns the message with updates for a node.
func (d *Discovery) message(node servermodel.NodeID, updates []servermodel.EndpointUpdate, complete bool, revision int64) updateJSON {
	message := updateJSON{Revision: revision, Complete: complete, Members: []memberJSON{}}
	for _, u := range updates {
		if complete && u.Phase == Terminated {
			continue // a complete list omits terminated servers
		}
		message.Members = append(message.Members, d.fleet.servers[u.Server].memberJSON(node, u))
	}
	return message
}

func (m *updateJSON) encode() []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("encoding the list of servers: %v", err)) // numbers and strings can always be encoded
	}
	return text
}

// List returns the whole list for a node, as a platform stores it. It does not count as a notification.
func (d *Discovery) List(node servermodel.NodeID) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	updates, complete, revision, _ := d.endpoints.ChangesSince(fullList, NowMs())
	message := d.message(node, updates, complete, revision)
	return message.encode()
}

// memberJSON returns the server's entry in the list that a node receives.
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
