package controller

import (
	"fmt"

	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/fleet"
	"mintspring/internal/node/discovery"
)

// defaultConnectTimeoutMs is the connect timeout for proxies if the deployment settings have none.
const defaultConnectTimeoutMs = 1000

const (
	// minEpochRaiseIntervalMs is the minimum time between two raises of the epoch. Each raise makes every proxy fetch a new snapshot. One
	// raise is enough after a start, and the limit stops a faulty proxy from making the others fetch snapshots continuously.
	minEpochRaiseIntervalMs = 10_000

	// maxEpochLeadMs limits how far an observed epoch may be ahead of the clock. An epoch is ahead if the clock was set back. Without the
	// limit a faulty proxy could use up the range of epochs.
	maxEpochLeadMs = 86_400_000
)

// ObserveVersion handles the version of the snapshot that a proxy holds. A version above the newest one of this process comes from an
// earlier process. Since proxies reject older snapshots, the epoch is then raised above that version. ObserveVersion reports whether it
// raised the epoch.
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
	c.markPending(membershipChanged)
	return true
}

// warmingUp reports whether any server is in slow start, so that its share of the ring grows continuously.
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

// buildSnapshots builds the snapshots of all zones with the same version. If none has changed or one cannot be built, it keeps the previous
// snapshots and returns false.
func (c *core) buildSnapshots(now float64) bool {
	version := snapshot.Version{Epoch: c.epoch, Sequence: c.sequence + 1}
	minSequence := c.minSequence
	if c.pending == serverRemoved {
		minSequence = version.Sequence
	}
	changed := c.pending >= membershipChanged
	c.builtAtMs = now
	snapshots := make([]*snapshot.Snapshot, len(c.zones))
	builders := make([]snapshot.Builder, len(c.zones)) // copies, so that a failed build does not change the originals
	for i := range c.zones {
		builders[i] = c.zones[i].builder
		built, err := builders[i].Build(version, minSequence, c.snapshotInput(now, &c.zones[i]))
		if err != nil {
			c.errs = append(c.errs, fmt.Errorf("building snapshot %v for zone %q: %w", version, c.zones[i].zone, err))
			if c.pending == pointsAdjusted {
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

// snapshotInput returns the input from which the snapshot of a zone is built.
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
