package node

import (
	"encoding/json"

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
	entry    discovery.Entry // merged from all updates
	started  float64         // of its process, by the node's clock; 0: long ago
	endpoint *upstream.Endpoint
}

// listChanged: the discovery service has sent entries of the endpoint list.
type listChanged struct {
	mode        fleet.ListMode
	entries     []json.RawMessage
	confirmedAt float64 // when the list was last known to be complete without these entries
}

func (e listChanged) handle(n *Node, now float64) {
	endpoints := make([]fleet.Endpoint, 0, len(e.entries))
	confirmedAt := n.startsConfirmedAt(now, e)
	for _, text := range e.entries {
		endpoint, err := n.applyEntry(now, text, confirmedAt)
		if err != nil {
			n.log.WithError(err).Warn("cannot parse an endpoint list entry")
			continue
		}
		endpoints = append(endpoints, endpoint)
	}
	if e.mode != fleet.ListDelta {
		for _, id := range n.serverTable.Missing(endpoints) {
			n.setServerState(now, id, fleet.Gone)
		}
	}
	n.inflight.Policy.UpdateEndpoints(now, e.mode, endpoints)
	if n.snapshots != nil && e.mode != fleet.ListCached {
		n.snapshots.listReceived(now)
	}
	if n.hasReadyServer() && n.life.MarkEndpointsKnown() {
		n.log.WithField("servers", len(endpoints)).Info("serving")
	}
}

func (n *Node) hasReadyServer() bool {
	for id := range n.servers {
		if n.serverTable.State(fleet.ServerID(id)) == fleet.Ready {
			return true
		}
	}
	return false
}

// listFailed: a request to the discovery service has failed, or its watch has ended. The current list stays in use.
type listFailed struct{ err error }

func (e listFailed) handle(n *Node, now float64) {
	n.log.WithError(e.err).Warn("cannot get the endpoint list; keeping the current one")
	if n.discovery.Watching() {
		return // it was an earlier call that failed: another one is under way
	}
	n.inflight.Policy.UpdateEndpoints(now, fleet.ListFailed, nil)
}

// startsConfirmedAt returns the time before which no start can have been that the list changes bring. The first list of a process
// that knew another one at its start brings starts since then, at any time: one so long ago that its server would be warm is not
// believed, for the clocks may be apart.
func (n *Node) startsConfirmedAt(now float64, e listChanged) float64 {
	if e.mode == fleet.ListFull && e.confirmedAt == serverstart.NeverConfirmed() && len(n.servers) > 0 {
		return now - n.deployment.Limits.WarmUpTime
	}
	return e.confirmedAt
}

// applyEntry merges an entry of the endpoint list into what is known of its server, and points the connections at it.
func (n *Node) applyEntry(now float64, text json.RawMessage, confirmedAt float64) (fleet.Endpoint, error) {
	entry, err := discovery.Merge(discovery.Entry{}, text)
	if err != nil {
		return fleet.Endpoint{}, err
	}
	id, added, replaced := n.serverTable.Assign(now, entry.ID)
	if added {
		n.addServer(id, &entry, replaced)
	} else if entry, err = discovery.Merge(n.servers[id].entry, text); err != nil {
		return fleet.Endpoint{}, err
	}
	n.servers[id].entry = entry
	n.servers[id].started = n.serverStarts.Observe(now, entry.ID, entry.UpSince, confirmedAt)
	return n.effectiveEndpoint(now, id), nil
}

// addServer makes the connections to a new server. Its slot is a new one, or that of a server that is long gone, named replaced.
func (n *Node) addServer(id fleet.ServerID, entry *discovery.Entry, replaced string) {
	if replaced != "" {
		n.exclusions.ForgetReadmission(replaced)
		n.serverStarts.Forget(replaced)
		n.servers[id].endpoint.Remove()
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
		return origin.Protocol{}, n.originPool
	}
	return cacheserver.Protocol{}, n.cachePool
}

// effectiveEndpoint returns a server's entry as the decision module sees it: the entry of the list, changed by what operators and
// the rolling maintenance have excluded. It applies the state to the server's connections.
func (n *Node) effectiveEndpoint(now float64, id fleet.ServerID) fleet.Endpoint {
	s := n.servers[id]
	endpoint := s.entry.Endpoint(id, &n.deployment)
	endpoint.StartedAt = n.exclusions.StartedAt(s.entry.ID, s.started)
	if s.entry.Flavor != discovery.OriginFlavor {
		endpoint.State = n.exclusions.EffectiveState(s.entry.ID, endpoint.State)
		if n.maintenance != nil {
			endpoint = n.maintenance.apply(s.entry.ID, endpoint)
		}
	}
	s.endpoint.ServerStarted(endpoint.StartedAt)
	n.setServerState(now, id, endpoint.State)
	return endpoint
}

// setServerState takes over the state of a server, and opens or closes its connections.
func (n *Node) setServerState(now float64, id fleet.ServerID, state fleet.State) {
	n.serverTable.SetState(now, id, state)
	if n.clusterMember != nil {
		n.clusterMember.endpointChanged(now, id, state)
	}
	s := n.servers[id]
	s.endpoint.SetTarget(s.entry.HostPort, state == fleet.Ready)
}

// reapplyExclusions gives the decision module all servers anew, after exclusions or settings have changed as a whole.
func (n *Node) reapplyExclusions(now float64) {
	var all []fleet.Endpoint
	for id := range n.servers {
		all = append(all, n.effectiveEndpoint(now, fleet.ServerID(id)))
	}
	n.inflight.Policy.UpdateEndpoints(now, fleet.ListLocal, all)
}
