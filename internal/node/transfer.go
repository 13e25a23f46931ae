package node

import (
	"encoding/json"
	"time"

	"mintspring/internal/config/operatorfile"
	"mintspring/internal/config/tomlfile"
	"mintspring/internal/fleet"
	"mintspring/internal/node/discovery"
	"mintspring/internal/node/hotrestart"
	"mintspring/internal/state/snapshot"
)

// stateTransfer returns the state from which a successor starts.
func (n *Node) stateTransfer(now float64) hotrestart.State {
	state := hotrestart.State{
		DiscoveryAddr: n.listSource.Addr,
		Exclusions:    n.exclusions.Export(true),
		Descriptors:   n.descriptors.Held(),
		StandbySince:  n.lifecycle.StandbySince(),
		Clock:         now,
		ServerStarts:  n.serverStarts.Export(),
		Endpoints:     discovery.Update{Complete: true, Revision: n.listSource.Revision, Members: n.endpointListEntries()},
	}
	if policy, ok := n.inflight.Policy.(snapshotPolicy); ok {
		var exported fleet.Snapshot
		state.Snapshot = snapshot.Append(nil, n.takeSnapshot(now, policy, n.transferSnapshotConfig(), &exported))
		state.CacheLoad = exported.CacheLoad
	}
	return state
}

// endpointListEntries returns the entries of all servers that are still listed.
func (n *Node) endpointListEntries() []json.RawMessage {
	var entries []json.RawMessage
	for id, s := range n.servers {
		if n.serverTable.State(fleet.ServerID(id)) == fleet.Gone {
			continue
		}
		text, err := json.Marshal(s.entry)
		if err != nil {
			n.log.WithError(err).WithField("server", s.entry.ID).Warn("cannot encode an endpoint list entry")
			continue
		}
		entries = append(entries, text)
	}
	return entries
}

// restoreTransfer restores the state of the predecessor.
func (n *Node) restoreTransfer(now float64, state *hotrestart.State) {
	n.exclusions.Import(state.Exclusions)
	n.serverStarts.Import(state.ServerStarts)
	if state.StandbySince > 0 {
		n.lifecycle.EnterStandby(state.StandbySince)
	}
	if n.discovery.ServiceAddr() == state.DiscoveryAddr {
		n.discovery.SetRevision(state.Endpoints.Revision)
		n.listSource = discovery.Source{Addr: state.DiscoveryAddr, Revision: state.Endpoints.Revision}
	}
	// The predecessor has watched the discovery service until now, so its list is as current as one from the service.
	n.applyStoredList(now, state.Endpoints.Members, n.listSource)
	n.discovery.ConfirmList()
	policy, ok := n.inflight.Policy.(snapshotPolicy)
	if !ok || len(state.Snapshot) == 0 {
		return
	}
	s, err := snapshot.Parse(state.Snapshot)
	if err != nil {
		n.log.WithError(err).Warn("cannot parse the predecessor's snapshot; starting without it")
		return
	}
	s.Global.CacheLoad = state.CacheLoad
	n.restoreSnapshot(now, policy, s, n.transferSnapshotConfig())
}

// transferSnapshotConfig returns the configuration for snapshots in a state transfer. Such snapshots are only moments old, so any
// half-life and maximum age will do.
func (n *Node) transferSnapshotConfig() snapshot.Config {
	return SnapshotConfig(n.name, n.deployment, &operatorfile.Snapshot{
		HalfLife: tomlfile.Duration(10 * time.Minute),
		MaxAge:   tomlfile.Duration(24 * time.Hour),
	})
}
