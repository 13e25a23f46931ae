package operatorfile

import (
	"slices"
	"time"

	"mintspring/internal/cluster/gossip"
	"mintspring/internal/config/tomlfile"
)

// Fleet configures the gossip between the nodes of a fleet. docs/operators/fleet.md describes each field.
type Fleet struct {
	Name          string            `toml:"name"`
	Listen        string            `toml:"listen"`       // default: the platform's peer_listen
	Peers         []string          `toml:"peers"`        // addresses by node number from 0, including this node; default: the platform's
	NodeNumber    *int              `toml:"number"`       // of this node; default: the settings' SelfIndex
	MaxNodes      int               `toml:"max_nodes"`    // default: the number of peers
	QuotaOwners   int               `toml:"quota_owners"` // how many nodes, from number 0 on, own the quotas; default: the number of peers
	Share         []string          `toml:"share"`        // default: all topics
	ProbeInterval tomlfile.Duration `toml:"probe_interval"`
	Lease         tomlfile.Duration `toml:"lease"`
	EvidenceTTL   tomlfile.Duration `toml:"evidence_ttl"`
}

// Values of the field share: what the nodes share.
const (
	ShareQuotas   = "budgets"
	ShareOutliers = "judgements"
	ShareCounters = "counts"
)

const (
	maxFleetNodes = 4096
	// probeTimeoutsPerInterval is the ratio of the probe interval to the probe timeout.
	probeTimeoutsPerInterval = 5
)

// check validates the section, if it is present, and fills in the defaults.
func (f *Fleet) check(source *tomlfile.File) error {
	if f == nil {
		return nil
	}
	if f.Name == "" {
		return source.FieldErrorf("fleet.name", "missing")
	}
	if f.Listen != "" && !isHostPort(f.Listen) {
		return source.FieldErrorf("fleet.listen", "%q is not host:port", f.Listen)
	}
	for i, peer := range f.Peers {
		if !isAddrPort(peer) {
			return source.FieldErrorf("fleet.peers", "peer %d: %q is not address:port", i, peer)
		}
	}
	switch {
	case f.NodeNumber != nil && (*f.NodeNumber < 0 || len(f.Peers) > 0 && *f.NodeNumber >= len(f.Peers)):
		return source.FieldErrorf("fleet.number", "%d is not the number of a peer", *f.NodeNumber)
	case f.MaxNodes < 0 || f.MaxNodes > maxFleetNodes || f.MaxNodes > 0 && f.MaxNodes < len(f.Peers):
		return source.FieldErrorf("fleet.max_nodes", "%d is not between the number of peers and %d", f.MaxNodes, maxFleetNodes)
	case f.QuotaOwners < 0 || f.MaxNodes > 0 && f.QuotaOwners > f.MaxNodes:
		return source.FieldErrorf("fleet.quota_owners", "%d is not between 0 and max_nodes", f.QuotaOwners)
	}
	if f.Share == nil {
		f.Share = []string{ShareQuotas, ShareOutliers, ShareCounters}
	}
	for _, s := range f.Share {
		if s != ShareQuotas && s != ShareOutliers && s != ShareCounters {
			return source.FieldErrorf("fleet.share", "%q is not %s, %s or %s", s, ShareQuotas, ShareOutliers, ShareCounters)
		}
	}
	return applyDurations(source, "fleet", []durationLimit{
		{&f.ProbeInterval, "probe_interval", time.Second, 100 * time.Millisecond, time.Minute},
		{&f.Lease, "lease", 2 * time.Second, 200 * time.Millisecond, time.Minute},
		{&f.EvidenceTTL, "evidence_ttl", 10 * time.Second, time.Second, time.Minute},
	})
}

// shares reports whether the nodes share a topic, which is one of the values of the field share.
func (f *Fleet) shares(topic string) bool { return slices.Contains(f.Share, topic) }

// GossipConfig returns the configuration of gossip between the given number of nodes.
func (f *Fleet) GossipConfig(nodes int) gossip.Config {
	maxNodes, quotaOwners := f.MaxNodes, f.QuotaOwners
	if maxNodes == 0 {
		maxNodes = nodes
	}
	if quotaOwners == 0 {
		quotaOwners = nodes
	}
	return gossip.Config{
		Fleet:           f.Name,
		MaxNodes:        max(maxNodes, nodes),
		QuotaOwners:     quotaOwners,
		ProbeIntervalMs: f.ProbeInterval.Milliseconds(),
		ProbeTimeoutMs:  f.ProbeInterval.Milliseconds() / probeTimeoutsPerInterval,
		LeaseMs:         f.Lease.Milliseconds(),
		EvidenceTTLMs:   f.EvidenceTTL.Milliseconds(),
		ShareQuotas:     f.shares(ShareQuotas),
		ShareEvidence:   f.shares(ShareOutliers),
		ShareCounters:   f.shares(ShareCounters),
	}
}
