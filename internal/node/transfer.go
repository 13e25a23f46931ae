package node

import (
	"encoding/json"
	"time"

	"mintspring/internal/config/operatorfile"
	"mintspring/internal/config/tomlfile"
	"mintspring/internal/fleet"
	"mintspring/internal/node/discovery"
	"mintspring/internal/node/hotrestart"
	"mintspring/internal/node/serverstart"
	"mintspring/internal/state/snapshot"
)

// stateTransfer returns what a successor starts from.
func (n *Node) stateTransfer(now float64) hotrestart.State {
	addr, revision := n.discovery.ListSource()
	state := hotrestart.State{
		DiscoveryAddr: addr,
		Exclusions:    n.exclusions.Export(true),
		Descriptors:   n.descriptors.Held(),
		StandbySince:  n.life.StandbySince(),
		Clock:         now,
		ServerStarts:  n.serverStarts.Export(),
		Endpoints:     discovery.Update{Complete: true, Revision: revision, Members: n.listEntries()},
	}
	if policy, ok := n.inflight.Policy.(snapshotPolicy); ok {
		var raw fleet.Snapshot
		state.Snapshot = snapshot.Append(nil, n.takeSnapshot(now, policy, n.transferTrust(), &raw))
		state.ColdWorkRate = raw.CacheLoad
	}
	return state
}

// listEntries are the entries of all servers that are still listed.
func (n *Node) listEntries() []json.RawMessage {
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

// restoreTransfer takes over the state of the predecessor.
func (n *Node) restoreTransfer(now float64, state *hotrestart.State) {
	n.exclusions.Import(state.Exclusions)
	n.serverStarts.Import(state.ServerStarts)
	if state.StandbySince > 0 {
		n.life.EnterStandby(state.StandbySince)
	}
	if addr, _ := n.discovery.ListSource(); state.DiscoveryAddr == addr {
		n.discovery.SetRevision(state.Endpoints.Revision)
	}
	// The predecessor has followed the discovery service until now, so that its list is as good as one from there.
	listChanged{fleet.ListCached, state.Endpoints.Members, serverstart.Never()}.handle(n, now)
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
	s.Global.CacheLoad = state.ColdWorkRate
	n.restoreSnapshot(now, policy, s, n.transferTrust())
}

// transferTrust says how far a snapshot of the other process is trusted. It is a moment old, so that any times do.
func (n *Node) transferTrust() snapshot.Config {
	return SnapshotConfig(n.name, n.deployment, &operatorfile.Snapshot{
		HalfLife: tomlfile.Duration(10 * time.Minute),
		MaxAge:   tomlfile.Duration(24 * time.Hour),
	})
}
