package controller

import (
	"fmt"

	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/fleet"
	"mintspring/internal/node/discovery"
)

// defaultConnectTimeoutMs is sent to proxies if the deployment states none.
const defaultConnectTimeoutMs = 1000

const (
	// minEpochRaiseIntervalMs is the least time between two raises of the epoch. Each raise is a new snapshot for every proxy. One is
	// enough after a start, and a faulty proxy must not make the others fetch snapshots all the time.
	minEpochRaiseIntervalMs = 10_000

	// maxEpochLeadMs is how far ahead of the clock an observed epoch may be. A clock that was set back explains some lead; without a
	// bound one faulty proxy could use up the range of epochs.
	maxEpochLeadMs = 86_400_000
)

// ObserveVersion notes the version of the snapshot that a proxy holds. A version above the newest one of this process was built by an
// earlier process. Proxies reject older snapshots, so the epoch is raised above it; the result reports whether that was done.
func (c *core) ObserveVersion(now float64, held snapshot.Version) bool {
	newest := snapshot.Version{Epoch: c.epoch, Sequence: c.sequence}
	if !newest.Before(held) || float64(held.Epoch) > now+maxEpochLeadMs {
		return false
	}
	if c.epochRaisedAtMs > 0 && now-c.epochRaisedAtMs < minEpochRaiseIntervalMs {
		return false
	}
	c.epochRaisedAtMs = now
	c.epoch, c.sequence, c.minSequence = held.Epoch+1, 0, 0
	c.notePending(membershipChanged)
	return true
}

// warmingUp reports whether a server is in slow start: its share of the ring grows all the time.
func (c *core) warmingUp(now float64) bool {
	window := c.config.Deployment.Limits.WarmUpTime + c.config.BatchIntervalMs
	for i := range c.slots {
		slot := &c.slots[i]
		if slot.state == fleet.Ready && slot.startedMs > 0 && now-slot.startedMs < window {
			return true
		}
	}
	return false
}

// buildSnapshots builds the snapshots of all zones, with one version. It reports false, and keeps the previous ones, if none of them
// has changed or one cannot be built.
func (c *core) buildSnapshots(now float64) bool {
	version := snapshot.Version{Epoch: c.epoch, Sequence: c.sequence + 1}
	minSequence := c.minSequence
	if c.pending == serverRemoved {
		minSequence = version.Sequence
	}
	changed := c.pending >= membershipChanged
	c.builtAtMs = now
	snapshots := make([]*snapshot.Snapshot, len(c.zones))
	builders := make([]snapshot.Builder, len(c.zones)) // copies, so that a failure leaves the previous state
	for i := range c.zones {
		builders[i] = c.zones[i].builder
		built, err := builders[i].Build(version, minSequence, c.snapshotInput(now, &c.zones[i]))
		if err != nil {
			c.errs = append(c.errs, fmt.Errorf("building snapshot %v for zone %q: %w", version, c.zones[i].zone, err))
			if c.pending == pointsMoved {
				c.pending = noChange
			}
			return false
		}
		snapshots[i] = built
		changed = changed || c.snapshots[i] == nil || built.Digest != c.snapshots[i].Digest
	}
	c.pending = noChange
	if !changed {
		return false
	}
	for i := range c.zones {
		c.zones[i].builder = builders[i]
	}
	c.sequence, c.minSequence, c.snapshots = version.Sequence, minSequence, snapshots
	return true
}

// snapshotInput returns what the snapshot of a zone is built from.
func (c *core) snapshotInput(now float64, module *zoneModule) *snapshot.Input {
	input := &snapshot.Input{
		Cluster:          c.config.Cluster,
		Zone:             module.zone,
		Zones:            c.config.Deployment.Zones,
		ConnectTimeoutMs: c.config.Deployment.ConnectTimeout,
	}
	if input.ConnectTimeoutMs <= 0 {
		input.ConnectTimeoutMs = defaultConnectTimeoutMs
	}
	for i := range c.slots {
		slot := &c.slots[i]
		if slot.state == fleet.Gone || slot.entry.Flavor == discovery.OriginFlavor {
			continue
		}
		input.Servers = append(input.Servers, snapshot.Server{
			Slot:        fleet.ServerID(i),
			ID:          slot.entry.ID,
			Addr:        slot.entry.HostPort,
			Zone:        slot.entry.Locality,
			State:       slot.state,
			StartedAtMs: slot.entry.UpSince,
		})
	}
	input.Ring, _ = module.RingPoints(now, false, nil)
	if module.zone != "" {
		input.ZoneRing, input.ZoneShare = module.RingPoints(now, true, nil)
	}
	if len(input.ZoneRing) == 0 {
		input.ZoneShare = 0
	}
	return input
}
