package simwire

import (
	"fmt"
	"math"

	"mintspring/decide"
	"mintspring/internal/config/settings"
	"mintspring/internal/fleet"
)

// handleEvent handles a message of a batch by making the corresponding call on the module. Messages for instances that have exited
// are parsed and dropped.
func (h *Host) handleEvent() error {
	m := &h.message
	if string(m.name) == "LEDGER" {
		return h.readEndpointList()
	}
	id := m.requiredInteger("Who")
	inst := h.instances[id]
	h.touch(inst)
	switch string(m.name) {
	case "SPAWN":
		return h.handleSpawn(id, inst)
	case "EXIT":
		h.handleExit(inst)
	case "KNOCK":
		return h.handleRequest(inst)
	case "VERDICT":
		h.handleOutcome(inst)
	case "ELAPSED":
		h.handleTimer(inst)
	case "DROPPED":
		h.handleClientGone(inst)
	case "BEGUN":
		h.handleAttemptStarted(inst)
	case "ANNOUNCE":
		return h.handleListEvent(inst)
	case "STATUS_BACK":
		h.handleProbeResult(inst)
	case "INBOX":
		m.integer("From") // messages of other nodes are parsed but not used: no decision may depend on their arrival
		m.base64("Contents")
	default:
		return fmt.Errorf("message %q is not known", m.name)
	}
	return m.err
}

// handleSpawn starts an instance and replaces a previous one with the same ID.
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
	deployment.Limits.FullServersRefuse = true // the wire has one result for a server that is down and for one at its connection limit
	inst := &instance{
		id: id, requests: map[fleet.RequestID]fleet.Ref{}, serverIDs: map[string]fleet.ServerID{},
		classCount: len(deployment.RequestClasses), timerDueMs: math.Inf(1),
	}
	inst.module = decide.New(h.nowMs, deployment.Limits, &inst.slab)
	h.instances[id] = inst
	h.touch(inst)
	return nil
}

// handleExit ends an instance.
func (h *Host) handleExit(inst *instance) {
	if inst != nil && h.message.err == nil {
		inst.exited = true
		delete(h.instances, inst.id)
	}
}

// handleRequest routes a client's request.
func (h *Host) handleRequest(inst *instance) error {
	m := &h.message
	id, class, tenant := m.requiredInteger("Job"), m.integer("Priority"), m.integer("Team")
	key, hasKey := m.ringKey("PathKey")
	deadline, work, size, write := m.milliseconds("DropDead"), m.milliseconds("Expected"), m.float("ObjectSize"), m.boolean("Write")
	if m.err != nil || inst == nil {
		return m.err
	}
	if class < 0 || class >= int64(inst.classCount) {
		return fmt.Errorf("workload %d is not in the settings", class)
	}
	request := inst.slab.Alloc()
	request.ID, request.Class, request.Tenant = fleet.RequestID(id), fleet.ClassID(class), fleet.TenantID(tenant)
	request.Key, request.HasKey, request.Write = key, hasKey, write
	request.ArrivedAt, request.Deadline, request.Work, request.ValueSize = h.nowMs, deadline, work, size
	inst.requests[request.ID] = request.Ref
	h.apply(inst, request, inst.module.Route(h.nowMs, request))
	return nil
}

// handleOutcome reports the end of an attempt to the module.
func (h *Host) handleOutcome(inst *instance) {
	m := &h.message
	id := fleet.RequestID(m.requiredInteger("Job"))
	outcome := fleet.Outcome{
		Attempt: int(m.integer("Go")), Result: m.result(), Took: m.milliseconds("CostTime"),
		Closed: m.boolean("Over"), Report: m.loadReport(),
	}
	if status := m.integer("Detail"); status >= 0 && status <= maxCacheStatus {
		outcome.Cache = fleet.CacheStatus(status)
	}
	if m.err != nil || inst == nil {
		return
	}
	if request := inst.request(id); request != nil {
		h.apply(inst, request, inst.module.AttemptDone(h.nowMs, request, outcome))
	}
}

// handleTimer records that a timer has fired. It ignores timers that a later one has replaced.
func (h *Host) handleTimer(inst *instance) {
	if sequence := h.message.integer("KeyBack"); inst != nil && sequence == inst.timerSequence {
		inst.timerDueMs = math.Inf(1)
	}
}

// handleClientGone reports to the module that the client of a request has disconnected.
func (h *Host) handleClientGone(inst *instance) {
	id := fleet.RequestID(h.message.requiredInteger("Job"))
	if inst == nil || h.message.err != nil {
		return
	}
	if request := inst.request(id); request != nil && !request.Closed {
		inst.module.ClientGone(h.nowMs, request)
		inst.releaseIfDone(request)
	}
}

// handleAttemptStarted reports to the module that a server has begun to work on an attempt.
func (h *Host) handleAttemptStarted(inst *instance) {
	m := &h.message
	id := fleet.RequestID(m.requiredInteger("Job"))
	m.integer("Go") // not used, but a value that is not a number is an error
	if inst == nil || m.err != nil {
		return
	}
	if request := inst.request(id); request != nil {
		inst.module.ResponseStarted(h.nowMs, request)
	}
}

// handleProbeResult reports the result of a health check to the module.
func (h *Host) handleProbeResult(inst *instance) {
	m := &h.message
	result, took, report := m.result(), m.milliseconds("CostTime"), m.loadReport()
	name, _ := m.field("Server")
	if inst == nil || m.err != nil {
		return
	}
	if id, known := inst.serverIDs[string(name)]; known {
		inst.module.ProbeDone(h.nowMs, id, result, took, report)
	}
}

// Highest codes on the wire.
const (
	maxServerState = int64(fleet.Ready)
	maxListMode    = 3
	maxCacheStatus = 3
)

// readEndpointList reads an endpoint list and replaces the list in its slot, also for later messages of the same batch.
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

// readListEntry reads the next message, which must be an entry of an endpoint list.
func (h *Host) readListEntry() (listEntry, error) {
	if err := h.readMessage(); err != nil {
		return listEntry{}, err
	}
	m := &h.message
	name, found := m.field("Server")
	if string(m.name) != "SERVER" || !found {
		return listEntry{}, fmt.Errorf("message %q where a list entry is expected", m.name)
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

// handleListEvent gives the endpoint list in a slot to an instance.
func (h *Host) handleListEvent(inst *instance) error {
	m := &h.message
	mode, slot := m.integer("Mode"), m.integer("Slot")
	if m.err != nil {
		return m.err
	}
	if mode < 0 || mode > maxListMode || slot < 0 || slot >= maxEndpointLists {
		return fmt.Errorf("list event of mode %d for list %d is out of range", mode, slot)
	}
	if inst == nil {
		return nil
	}
	h.endpointBuffer = h.endpointBuffer[:0]
	if fleet.ListMode(mode) != fleet.ListFailed {
		for i := range h.endpointLists[slot] {
			entry := &h.endpointLists[slot][i]
			endpoint := entry.Endpoint
			endpoint.ID, endpoint.Name = inst.serverID(entry.name), entry.name
			h.endpointBuffer = append(h.endpointBuffer, endpoint)
		}
	}
	inst.module.UpdateEndpoints(h.nowMs, fleet.ListMode(mode), h.endpointBuffer)
	return nil
}
