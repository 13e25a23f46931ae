package node

import (
	"encoding/json"
	"slices"

	"github.com/sirupsen/logrus"

	"mintspring/internal/fleet"
	"mintspring/internal/node/cacheserver"
	"mintspring/internal/node/connpool"
	"mintspring/internal/node/discovery"
	"mintspring/internal/node/origin"
	"mintspring/internal/node/serverstart"
	"mintspring/internal/node/upstream"
)

// server is one server of the endpoint list, with the connections to it.
type server struct {
	entry     discovery.Entry // merged from all updates
	removed   bool            // not in the last complete list, or another server has its address, and no later update has named it
	startedAt float64         // start of its process by the node's clock; 0: long ago
	endpoint  *upstream.Endpoint

	checkedEntry discovery.Entry // the entry for which removeReplaced has compared the address; empty: none
}

// listChanged is the event that the discovery service has sent entries of the endpoint list.
type listChanged struct {
	mode        fleet.ListMode
	entries     []discovery.EntryUpdate
	confirmedAt float64 // last time at which the list was known to be complete without these entries
	source      discovery.Source
}

func (e listChanged) handle(n *Node, now float64) {
	defer n.logListChange(&e, n.clock.Now())
	n.listSource = e.source
	endpoints := make([]fleet.Endpoint, 0, len(e.entries))
	confirmedAt := n.earliestStart(now, e)
	for i := range e.entries {
		endpoints = append(endpoints, n.applyEntry(now, &e.entries[i], confirmedAt))
	}
	endpoints = n.removeReplaced(now, endpoints)
	if e.mode != fleet.ListDelta {
		for _, id := range n.serverTable.Missing(endpoints) {
			n.servers[id].removed = true
			n.setServerState(now, id, fleet.Gone)
		}
	}
	n.inflight.Policy.UpdateEndpoints(now, e.mode, endpoints)
	if n.snapshots != nil && e.mode != fleet.ListCached {
		n.snapshots.listReceived(now)
	}
	if n.hasReadyServer() && n.lifecycle.MarkEndpointsKnown() {
		n.log.WithField("servers", len(endpoints)).Info("serving")
	}
}

// slowListChange is the time in ms from which on a change of the list is logged as slow: requests wait for it.
const slowListChange = 50

// logListChange logs a change of the list that was applied from startedAt on.
func (n *Node) logListChange(e *listChanged, startedAt float64) {
	took, level := n.clock.Now()-startedAt, logrus.DebugLevel
	if took >= slowListChange {
		level = logrus.InfoLevel
	}
	n.log.WithFields(logrus.Fields{
		"entries": len(e.entries), "servers": len(n.servers), "took_ms": roundToMicroseconds(took), "revision": e.source.Revision,
	}).Log(level, "applied a change of the endpoint list")
}

// mergeListChanges merges changes of the list that follow one another: the policy lays out its rings once for all of them, however many came
// while the loop was busy. It reuses the slice.
func mergeListChanges(events []event) []event {
	merged := events[:0]
	for i := 0; i < len(events); {
		run := deltaRun(events[i:])
		if len(run) < 2 {
			merged = append(merged, events[i])
			i++
			continue
		}
		i += len(run)
		merged = append(merged, mergeDeltas(run))
	}
	clear(events[len(merged):])
	return merged
}

// deltaRun returns the changes of single entries at the head of events.
func deltaRun(events []event) (run []listChanged) {
	for _, e := range events {
		change, ok := e.(listChanged)
		if !ok || change.mode != fleet.ListDelta {
			break
		}
		run = append(run, change)
	}
	return run
}

// mergeDeltas returns one change with the entries of several, in their order. The time of the last confirmation counts for all of them: at
// worst a server that has just started is held to have started a little later.
func mergeDeltas(run []listChanged) listChanged {
	merged := run[len(run)-1]
	merged.entries = nil
	for _, change := range run {
		merged.entries = append(merged.entries, change.entries...)
	}
	return merged
}

// removeReplaced removes servers whose address belongs to another server in service: their processes have gone, although the discovery service may
// be seconds late to say so, and what is sent to them would reach the new process. Of two servers with one address the process that started
// later has it. removeReplaced returns the updated endpoints with those of servers that it has removed.
func (n *Node) removeReplaced(now float64, updated []fleet.Endpoint) []fleet.Endpoint {
	for _, endpoint := range slices.Clone(updated) {
		s := n.servers[endpoint.ID]
		if s.checkedEntry == s.entry {
			continue
		}
		s.checkedEntry = s.entry
		if !s.inService() {
			continue
		}
		for _, id := range n.addresses.at(s.entry.HostPort) {
			other := n.servers[id]
			if other == s || !other.inService() {
				continue
			}
			replaced := id
			if other.entry.UpSince > s.entry.UpSince {
				replaced = endpoint.ID
			}
			n.servers[replaced].removed, n.servers[replaced].checkedEntry = true, discovery.Entry{}
			updated = append(updated, n.effectiveEndpoint(now, replaced))
		}
	}
	return updated
}

// inService reports whether a server is listed as in service with an address that is its own.
func (s *server) inService() bool {
	return !s.removed && s.entry.Phase == discovery.PhaseInService && s.entry.HostPort != ""
}

func (n *Node) hasReadyServer() bool {
	for id := range n.servers {
		if n.serverTable.State(fleet.ServerID(id)) == fleet.Ready {
			return true
		}
	}
	return false
}

// listFailed is the event that a request to the discovery service has failed or its watch has ended. The current list stays in use.
type listFailed struct{ err error }

func (e listFailed) handle(n *Node, now float64) {
	n.log.WithError(e.err).Warn("cannot get the endpoint list; keeping the current one")
	if n.discovery.Watching() {
		return // an earlier call failed, and a later one is already running
	}
	n.inflight.Policy.UpdateEndpoints(now, fleet.ListFailed, nil)
}

// earliestStart returns the earliest plausible time of a server start that first appears in e. If this process began with a cached list,
// its first full list may report starts from any time since the cached list was saved. A start so long ago that the server would be warm
// is not trusted in that case, because the clock of the server's machine may be wrong.
func (n *Node) earliestStart(now float64, e listChanged) float64 {
	if e.mode == fleet.ListFull && e.confirmedAt == serverstart.NeverConfirmed() && len(n.servers) > 0 {
		return now - n.deployment.Limits.WarmUpTime
	}
	return e.confirmedAt
}

// applyStoredList applies a list that was stored, by the platform or by the predecessor. Entries that cannot be parsed are logged and skipped.
func (n *Node) applyStoredList(now float64, texts []json.RawMessage, source discovery.Source) {
	entries, errs := discovery.ParseEntries(texts)
	for _, err := range errs {
		n.log.WithError(err).Warn("cannot parse an endpoint list entry")
	}
	listChanged{fleet.ListCached, entries, serverstart.NeverConfirmed(), source}.handle(n, now)
}

// applyEntry merges an entry of the endpoint list into the known entry of its server, and updates the connections to it.
func (n *Node) applyEntry(now float64, update *discovery.EntryUpdate, confirmedAt float64) fleet.Endpoint {
	id, added, replacedID := n.serverTable.Assign(now, update.ID)
	if added {
		entry := update.ApplyTo(discovery.Entry{})
		n.addServer(id, &entry, replacedID)
	}
	s := n.servers[id]
	entry := update.ApplyTo(s.entry)
	n.addresses.move(id, s.entry.HostPort, entry.HostPort)
	s.entry, s.removed = entry, false
	s.startedAt = n.serverStarts.Observe(now, entry.ID, entry.UpSince, confirmedAt)
	return n.effectiveEndpoint(now, id)
}

// addServer creates the endpoint of a new server, in a new slot or, if replacedID is not empty, in the slot of that removed server.
func (n *Node) addServer(id fleet.ServerID, entry *discovery.Entry, replacedID string) {
	if replacedID != "" {
		n.exclusions.ForgetReadmission(replacedID)
		n.serverStarts.Forget(replacedID)
		n.addresses.move(id, n.servers[id].entry.HostPort, "")
	} else {
		n.servers = append(n.servers, nil)
	}
	protocol, pool := n.protocolOf(entry)
	if entry.Flavor != discovery.OriginFlavor && n.adminEnabled {
		n.exclusions.MarkListed(entry.ID) // only commands of the admin port need to know whether an id was ever listed
	}
	n.servers[id] = &server{endpoint: upstream.New(n.upstreams, protocol, entry.ID, pool)}
}

func (n *Node) protocolOf(entry *discovery.Entry) (upstream.Protocol, connpool.Config) {
	if entry.Flavor == discovery.OriginFlavor {
		return origin.Protocol{}, n.originPoolConfig
	}
	return cacheserver.Protocol{}, n.cachePoolConfig
}

// effectiveEndpoint returns a server's entry for the decision module: the entry of the list, changed by the removal of the server, and the
// exclusions of operators and of the rolling restart. It applies the state to the server's connections.
func (n *Node) effectiveEndpoint(now float64, id fleet.ServerID) fleet.Endpoint {
	s := n.servers[id]
	endpoint := s.entry.Endpoint(id, &n.deployment)
	if s.removed {
		endpoint.State = fleet.Gone
	}
	endpoint.StartedAt = n.exclusions.StartedAt(s.entry.ID, s.startedAt)
	if s.entry.Flavor != discovery.OriginFlavor {
		endpoint.State = n.exclusions.EffectiveState(s.entry.ID, endpoint.State)
		if n.maintenance != nil {
			endpoint = n.maintenance.applyExclusions(now, s.entry.ID, endpoint)
		}
	}
	s.endpoint.ServerStarted(endpoint.StartedAt)
	n.setServerState(now, id, endpoint.State)
	return endpoint
}

// setServerState applies the state of a server, and opens or closes its connections.
func (n *Node) setServerState(now float64, id fleet.ServerID, state fleet.State) {
	n.serverTable.SetState(now, id, state)
	if n.clusterMember != nil {
		n.clusterMember.endpointChanged(now, id, state)
	}
	s := n.servers[id]
	s.endpoint.SetTarget(s.entry.HostPort, state == fleet.Ready)
}

// reapplyEndpoints passes all servers to the decision module again, after all exclusions or settings were replaced.
func (n *Node) reapplyEndpoints(now float64) {
	var endpoints []fleet.Endpoint
	for id := range n.servers {
		endpoints = append(endpoints, n.effectiveEndpoint(now, fleet.ServerID(id)))
	}
	n.inflight.Policy.UpdateEndpoints(now, fleet.ListLocal, endpoints)
}
