package controller

import (
	"encoding/json"
	"fmt"
	"time"

	"mintspring/internal/fleet"
	"mintspring/internal/node/discovery"
	"mintspring/internal/node/serverstart"
)

// serverSlot is one entry of the server table.
type serverSlot struct {
	entry       discovery.Entry
	startedMs   float64 // start of the server's process, by the controller's clock; 0: long ago
	state       fleet.State
	goneSinceMs float64 // meaningful while state is fleet.Gone
}

// ready reports whether the slot holds a cache server that is in service.
func (s *serverSlot) ready() bool {
	return s.state == fleet.Ready && s.entry.Flavor != discovery.OriginFlavor
}

// UpdateEndpoints applies an update of the endpoint list. It skips entries that cannot be parsed and adds an error for each to those that
// TakeErrors returns.
func (c *core) UpdateEndpoints(now float64, update discovery.Update) {
	mode := fleet.ListDelta
	if update.Complete {
		mode = fleet.ListFull
	}
	confirmedAt := serverstart.NeverConfirmed()
	if update.ConfirmedAgo >= 0 {
		confirmedAt = now - float64(update.ConfirmedAgo)/float64(time.Millisecond)
	}
	listed := map[fleet.ServerID]bool{}
	var endpoints []fleet.Endpoint
	for _, text := range update.Members {
		endpoint, err := c.updateEndpoint(now, text, confirmedAt)
		if err != nil {
			c.errs = append(c.errs, fmt.Errorf("parsing an endpoint list entry: %w", err))
			continue
		}
		endpoints = append(endpoints, endpoint)
		listed[endpoint.ID] = true
	}
	if update.Complete {
		for i := range c.slots {
			if id := fleet.ServerID(i); !listed[id] {
				c.setState(now, id, fleet.Gone)
			}
		}
	}
	for _, module := range c.zones {
		module.UpdateEndpoints(now, mode, endpoints)
	}
	c.hasEndpoints = c.hasEndpoints || update.Complete || len(endpoints) > 0
	c.loadReports.Retain(func(server string) bool {
		id, known := c.slotByID[server]
		return known && c.slots[id].state != fleet.Gone
	})
}

// updateEndpoint merges an entry of the endpoint list into the slot of its server. A new server gets a slot first.
func (c *core) updateEndpoint(now float64, text json.RawMessage, confirmedAt float64) (fleet.Endpoint, error) {
	update, err := discovery.ParseEntry(text)
	if err != nil {
		return fleet.Endpoint{}, err
	}
	id, known := c.slotByID[update.ID]
	var previous discovery.Entry
	if known {
		previous = c.slots[id].entry
	} else {
		id = c.allocateSlot(now)
		c.slotByID[update.ID] = id
	}
	entry := update.ApplyTo(previous)
	c.slots[id].entry = entry
	endpoint := entry.Endpoint(id, &c.config.Deployment)
	endpoint.StartedAt = c.starts.Observe(now, entry.ID, entry.UpSince, confirmedAt)
	c.slots[id].startedMs = endpoint.StartedAt
	// If the address, the start time or the zone has changed, the same ID now stands for another server, and proxies must stop sending to
	// the previous one.
	if known && (previous.HostPort != entry.HostPort || previous.UpSince != entry.UpSince || previous.Locality != entry.Locality) {
		c.markPending(serverRemoved)
	}
	c.setState(now, id, endpoint.State)
	return endpoint, nil
}

// setState sets the state of a server and marks the change as pending.
func (c *core) setState(now float64, id fleet.ServerID, state fleet.State) {
	slot := &c.slots[id]
	if slot.state == state {
		return
	}
	if state == fleet.Gone {
		slot.goneSinceMs = now
	}
	if slot.state == fleet.Ready {
		c.markPending(serverRemoved)
	} else {
		c.markPending(membershipChanged)
	}
	slot.state = state
}

// allocateSlot returns a slot for a new server: the slot of a server that was removed longer ago than the retention time, or else an
// additional one.
func (c *core) allocateSlot(now float64) fleet.ServerID {
	for i := range c.slots {
		slot := &c.slots[i]
		if slot.state == fleet.Gone && now-slot.goneSinceMs > c.slotRetentionMs {
			delete(c.slotByID, slot.entry.ID)
			c.starts.Forget(slot.entry.ID)
			*slot = serverSlot{}
			return fleet.ServerID(i)
		}
	}
	c.slots = append(c.slots, serverSlot{})
	return fleet.ServerID(len(c.slots) - 1)
}

// DiscoveryFailed records that a call to discovery has failed. The last endpoint list stays in use.
func (c *core) DiscoveryFailed(now float64) {
	for _, module := range c.zones {
		module.UpdateEndpoints(now, fleet.ListFailed, nil)
	}
}

// HasEndpoints reports whether an endpoint list has arrived.
func (c *core) HasEndpoints() bool { return c.hasEndpoints }

// ReadyServers returns the number of cache servers in service.
func (c *core) ReadyServers() int {
	count := 0
	for i := range c.slots {
		if c.slots[i].ready() {
			count++
		}
	}
	return count
}
