// Package controller builds the snapshots that the control plane sends to proxies.
//
// The core does no I/O and reads no clock: it applies endpoint list updates and load reports, runs a decision module for each zone of
// proxies, and builds the snapshots for each zone. A Controller runs a core on one goroutine. It follows the endpoint list of the discovery
// service and publishes the snapshots to the streams of proxies.
package controller

import (
	"slices"

	"mintspring/decide"
	"mintspring/internal/config/settings"
	"mintspring/internal/controlplane/loadreport"
	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/fleet"
	"mintspring/internal/node/serverstart"
)

const (
	// maxStepWaitMs and minStepWaitMs limit the time between two steps.
	maxStepWaitMs = 1000
	minStepWaitMs = 1

	// minSlotRetentionMs is the minimum time, in addition to the limit StopSendingWithin, before the slot of a removed server is reused.
	minSlotRetentionMs = 1000

	// unknownZone is the zone of the decision module for proxies whose zone is not configured. It must differ from -1, the zone of servers
	// whose zone is not configured, so that no server counts as local to these proxies.
	unknownZone fleet.ZoneID = -2
)

// Config configures a core.
type Config struct {
	Cluster         string // name of the cluster resource
	Deployment      settings.Deployment
	BatchIntervalMs float64 // minimum time between snapshots that differ only in ring points; drains are not delayed
	LoadReports     loadreport.Config
}

// pendingChange classifies the changes that no snapshot contains yet. A higher value includes the lower ones.
type pendingChange uint8

const (
	noChange          pendingChange = iota
	pointsAdjusted                  // ring points may have been adjusted; built once the batch interval has passed
	membershipChanged               // a server was added, changed or removed; built at once
	serverRemoved                   // a server that proxies may be sending to was removed; earlier snapshots must not be used
)

// core holds the state from which snapshots are built. It is not safe for concurrent use. All times are Unix milliseconds.
type core struct {
	config      Config
	zones       []zoneModule // one for each configured zone; the last one is for proxies whose zone is not configured
	loadReports *loadreport.Aggregator

	slots           []serverSlot
	slotByID        map[string]fleet.ServerID
	starts          serverstart.Tracker
	slotRetentionMs float64 // minimum time before the slot of a removed server is reused
	hasEndpoints    bool    // an endpoint list has arrived

	epoch           uint64 // of this process's snapshots
	epochRaisedAtMs float64
	sequence        uint64 // of the newest snapshots within the epoch
	minSequence     uint64 // the oldest sequence that proxies may still use
	snapshots       []*snapshot.Snapshot
	builtAtMs       float64
	pending         pendingChange

	errs          []error        // collected since the last TakeErrors
	learnedBuffer fleet.Snapshot // reused by LearnedState
}

// zoneModule is the decision module and the snapshot builder for the proxies of one zone.
type zoneModule struct {
	*decide.Node
	slab    *fleet.Slab
	zone    string // empty: proxies whose zone is not configured
	builder snapshot.Builder
}

// newCore returns a core without servers. Its epoch is the current time, which is above the epoch of every earlier process unless the clock
// has been set back. ObserveVersion raises the epoch in that case.
func newCore(now float64, config Config) *core {
	c := &core{
		config:      config,
		loadReports: loadreport.New(config.LoadReports),
		slotByID:    map[string]fleet.ServerID{},
		epoch:       uint64(max(1, now)),
	}
	limits := config.Deployment.Limits
	limits.Subscribe = true // the endpoint list is watched, not polled
	longestTimeout := float64(minSlotRetentionMs)
	for _, class := range limits.Classes {
		longestTimeout = max(longestTimeout, class.ClientTimeout)
	}
	c.slotRetentionMs = longestTimeout + limits.StopSendingWithin
	// All modules have the same seed and the same input, so that each of them computes the same ring of all servers.
	for i, zone := range config.Deployment.Zones {
		limits.Zone = fleet.ZoneID(i)
		c.addZone(now, zone, limits)
	}
	limits.Zone = unknownZone
	c.addZone(now, "", limits)
	c.snapshots = make([]*snapshot.Snapshot, len(c.zones))
	return c
}

func (c *core) addZone(now float64, zone string, limits fleet.Limits) {
	module := zoneModule{slab: &fleet.Slab{}, zone: zone}
	module.Node = decide.New(now, limits, module.slab)
	c.zones = append(c.zones, module)
}

// ZoneIndex returns the index of the snapshot for proxies of a zone. Proxies whose zone is not configured share the last one.
func (c *core) ZoneIndex(zone string) int {
	if i := slices.Index(c.config.Deployment.Zones, zone); i >= 0 {
		return i
	}
	return len(c.zones) - 1
}

// Snapshots returns the newest snapshots by zone index. They are nil until the first ones are built, once an endpoint list has arrived.
func (c *core) Snapshots() []*snapshot.Snapshot { return slices.Clone(c.snapshots) }

// TakeErrors returns the errors collected since the last call.
func (c *core) TakeErrors() []error {
	errs := c.errs
	c.errs = nil
	return errs
}

// StepResult tells the caller of Step what to do next.
type StepResult struct {
	WaitMs         float64 // time until the next step is due, unless an event comes first
	WatchDiscovery bool    // the watch of the endpoint list must be started or replaced
	SnapshotsBuilt bool    // Snapshots returns new snapshots
}

// Step runs the due actions of the decision modules, such as ring point adjustments, and builds new snapshots if they are due.
func (c *core) Step(now float64) StepResult {
	result := StepResult{WaitMs: maxStepWaitMs}
	for i := range c.zones {
		waitMs, watch := c.runModule(&c.zones[i], now)
		result.WaitMs = min(result.WaitMs, waitMs)
		// All modules use the same endpoint list, so that one watch, requested by the first module, serves all of them.
		result.WatchDiscovery = result.WatchDiscovery || watch && i == 0
	}
	if !c.hasEndpoints {
		return result
	}
	due := c.builtAtMs + c.config.BatchIntervalMs
	switch changed := c.pending != noChange || c.warmingUp(now); {
	case c.pending >= membershipChanged, changed && now >= due:
		result.SnapshotsBuilt = c.buildSnapshots(now)
	case changed:
		result.WaitMs = min(result.WaitMs, due-now)
	}
	result.WaitMs = max(result.WaitMs, minStepWaitMs)
	return result
}

// runModule executes the due actions of a module. It returns the time until the next one, and whether the module requested a watch or a
// poll of the endpoint list.
func (c *core) runModule(module *zoneModule, now float64) (waitMs float64, watch bool) {
	for {
		if _, waitMs = module.NextDue(now); waitMs > 0 {
			return waitMs, watch
		}
		switch module.Route(now, nil).Action {
		case fleet.Subscribe, fleet.PollList:
			watch = true
		default:
			c.markPending(pointsAdjusted)
		}
	}
}

// markPending records a change that the next snapshots have to include.
func (c *core) markPending(change pendingChange) { c.pending = max(c.pending, change) }

// AddLoadReports applies the load reports of a proxy, by server address. It returns how many of them were accepted.
func (c *core) AddLoadReports(now float64, proxy string, reports map[string]loadreport.Report) (accepted int) {
	for i := range c.slots {
		slot := &c.slots[i]
		report, ok := reports[slot.entry.HostPort]
		if !ok || !slot.ready() || !c.loadReports.Add(now, proxy, slot.entry.ID, report) {
			continue
		}
		accepted++
		aggregate, ok := c.loadReports.Aggregate(now, slot.entry.ID)
		if !ok {
			continue
		}
		for _, module := range c.zones {
			module.ProbeDone(now, fleet.ServerID(i), fleet.Completed, 0, aggregate)
		}
	}
	return accepted
}
