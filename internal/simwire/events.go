package simwire

import (
	"fmt"
	"math"

	"mintspring/decide"
	"mintspring/internal/config/settings"
	"mintspring/internal/fleet"
)

// handleEvent reads one message of a batch into the call on the module that it stands for. Events of instances that have exited
// are read and dropped.
func (h *Host) handleEvent() error {
	m := &h.message
	if string(m.name) == "LEDGER" {
		return h.readEndpointList()
	}
	id := m.requiredInteger("Who")
	n := h.instances[id]
	h.touch(n)
	switch string(m.name) {
	case "SPAWN":
		return h.handleSpawn(id, n)
	case "EXIT":
		h.handleExit(n)
	case "KNOCK":
		return h.handleRequest(n)
	case "VERDICT":
		h.handleOutcome(n)
	case "ELAPSED":
		h.handleTimer(n)
	case "DROPPED":
		h.handleClientGone(n)
	case "BEGUN":
		h.handleAttemptStarted(n)
	case "ANNOUNCE":
		return h.handleListEvent(n)
	case "STATUS_BACK":
		h.handleProbeResult(n)
	case "INBOX":
		m.integer("From") // messages of other nodes are checked and not used: no decision may depend on their arrival
		m.base64("Contents")
	default:
		return fmt.Errorf("message %q is not known", m.name)
	}
	return m.err
}

// handleSpawn starts an instance, in place of the one that had its number.
func (h *Host) handleSpawn(id int64, previous *instance) error {
	m := &h.message
	seed := m.requiredInteger("Prng")
	text, _ := m.field("Env")
	if m.err != nil {
		return m.err
	}
	deployment, err := settings.Parse(text, uint64(seed))
	if err != nil {
		return err
	}
	if previous != nil {
		previous.exited = true
	}
	deployment.Limits.FullServersRefuse = true // the wire has one outcome for a server that is down and for one with no connection left
	n := &instance{
		id: id, requests: map[fleet.RequestID]fleet.Ref{}, serverIDs: map[string]fleet.ServerID{},
		classCount: len(deployment.RequestClasses), timerDueMs: math.Inf(1),
	}
	n.module = decide.New(h.nowMs, deployment.Limits, &n.slab)
	h.instances[id] = n
	h.touch(n)
	return nil
}

// handleExit ends an instance.
func (h *Host) handleExit(n *instance) {
	if n != nil && h.message.err == nil {
		n.exited = true
		delete(h.instances, n.id)
	}
}

// handleRequest handles a request of a client.
func (h *Host) handleRequest(n *instance) error {
	m := &h.message
	id, class, tenant := m.requiredInteger("Job"), m.integer("Priority"), m.integer("Team")
	key, hasKey := m.ringKey("PathKey")
	deadline, work, size, write := m.milliseconds("DropDead"), m.milliseconds("Expected"), m.float("ObjectSize"), m.boolean("Write")
	if m.err != nil || n == nil {
		return m.err
	}
	if class < 0 || class >= int64(n.classCount) {
		return fmt.Errorf("workload %d is not among the settings", class)
	}
	q := n.slab.Alloc()
	q.ID, q.Class, q.Tenant = fleet.RequestID(id), fleet.ClassID(class), fleet.TenantID(tenant)
	q.Key, q.HasKey, q.Write = key, hasKey, write
	q.ArrivedAt, q.Deadline, q.Work, q.ValueSize = h.nowMs, deadline, work, size
	n.requests[q.ID] = q.Ref
	h.apply(n, q, n.module.Route(h.nowMs, q))
	return nil
}

// handleOutcome records how an attempt ended.
func (h *Host) handleOutcome(n *instance) {
	m := &h.message
	id := fleet.RequestID(m.requiredInteger("Job"))
	outcome := fleet.Outcome{
		Attempt: int(m.integer("Go")), Result: m.result(), Took: m.milliseconds("CostTime"),
		Closed: m.boolean("Over"), Report: m.loadReport(),
	}
	if status := m.integer("Detail"); status >= 0 && status <= maxCacheStatus {
		outcome.Cache = fleet.CacheStatus(status)
	}
	if m.err != nil || n == nil {
		return
	}
	if q := n.request(id); q != nil {
		h.apply(n, q, n.module.AttemptDone(h.nowMs, q, outcome))
	}
}

// handleTimer records that a timer has fired. One that was set again meanwhile is still pending.
func (h *Host) handleTimer(n *instance) {
	if sequence := h.message.integer("KeyBack"); n != nil && sequence == n.timerSequence {
		n.timerDueMs = math.Inf(1)
	}
}

// handleClientGone records that the client of a request has gone.
func (h *Host) handleClientGone(n *instance) {
	id := fleet.RequestID(h.message.requiredInteger("Job"))
	if n == nil || h.message.err != nil {
		return
	}
	if q := n.request(id); q != nil && !q.Closed {
		n.module.ClientGone(h.nowMs, q)
		n.releaseIfDone(q)
	}
}

// handleAttemptStarted records that a server has begun to work on an attempt.
func (h *Host) handleAttemptStarted(n *instance) {
	m := &h.message
	id := fleet.RequestID(m.requiredInteger("Job"))
	m.integer("Go") // the module does not need the attempt's number, but a field that is not a number is an error
	if n == nil || m.err != nil {
		return
	}
	if q := n.request(id); q != nil {
		n.module.ResponseStarted(h.nowMs, q)
	}
}

// handleProbeResult handles the result of a health check.
func (h *Host) handleProbeResult(n *instance) {
	m := &h.message
	result, took, report := m.result(), m.milliseconds("CostTime"), m.loadReport()
	name, _ := m.field("Server")
	if n == nil || m.err != nil {
		return
	}
	if id, known := n.serverIDs[string(name)]; known {
		n.module.ProbeDone(h.nowMs, id, result, took, report)
	}
}

// Bounds of codes on the wire.
const (
	maxServerState = int64(fleet.Ready)
	maxListMode    = 3
	maxCacheStatus = 3
)

// readEndpointList reads a list into its slot, in place of the one that was there, also within a batch.
func (h *Host) readEndpointList() error {
	m := &h.message
	slot, count := m.requiredInteger("Slot"), m.requiredInteger("Elements")
	if m.err != nil {
		return m.err
	}
	if slot < 0 || slot >= maxEndpointLists || count < 0 {
		return fmt.Errorf("list %d with %d entries is out of range", slot, count)
	}
	list := h.endpointLists[slot][:0]
	for range count {
		entry, err := h.readListEntry()
		if err != nil {
			return err
		}
		list = append(list, entry)
	}
	h.endpointLists[slot] = list
	return nil
}

// readListEntry reads one entry of a list.
func (h *Host) readListEntry() (listEntry, error) {
	if err := h.readMessage(); err != nil {
		return listEntry{}, err
	}
	m := &h.message
	name, found := m.field("Server")
	if string(m.name) != "SERVER" || !found {
		return listEntry{}, fmt.Errorf("message %q where a list entry should stand", m.name)
	}
	state := m.integer("Mode")
	if state < 0 || state > maxServerState {
		return listEntry{}, fmt.Errorf("bad value %d for Mode", state)
	}
	return listEntry{string(name), fleet.Endpoint{
		State: fleet.State(state),
		Kind:  fleet.KindID(m.integer("Flavor")), Zone: fleet.ZoneID(m.integer("Campus")),
		Cell: fleet.CellID(m.integer("UnitGroup")), NominalCapacity: m.float("Size"), StartedAt: m.milliseconds("OnlineSince"),
	}}, m.err
}

// handleListEvent hands a list of a slot to an instance.
func (h *Host) handleListEvent(n *instance) error {
	m := &h.message
	mode, slot := m.integer("Mode"), m.integer("Slot")
	if m.err != nil {
		return m.err
	}
	if mode < 0 || mode > maxListMode || slot < 0 || slot >= maxEndpointLists {
		return fmt.Errorf("list event of mode %d for list %d is out of range", mode, slot)
	}
	if n == nil {
		return nil
	}
	h.endpointBuffer = h.endpointBuffer[:0]
	if fleet.ListMode(mode) != fleet.ListFailed {
		for i := range h.endpointLists[slot] {
			entry := &h.endpointLists[slot][i]
			endpoint := entry.Endpoint
			endpoint.ID, endpoint.Name = n.serverID(entry.name), entry.name
			h.endpointBuffer = append(h.endpointBuffer, endpoint)
		}
	}
	n.module.UpdateEndpoints(h.nowMs, fleet.ListMode(mode), h.endpointBuffer)
	return nil
}
