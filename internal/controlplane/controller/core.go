// Package controller decides what the control plane sends to proxies.
//
// The core is the part without I/O and without a clock: it applies endpoint-list updates and load reports, runs a decision module
// for each zone of proxies, and builds the snapshots that proxies of each zone get. Controller is the goroutine that owns a
// core; discovery is on its one side, the streams of proxies are on the other.
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
	// maxStepWaitMs and minStepWaitMs bound the wait between two steps.
	maxStepWaitMs = 1000
	minStepWaitMs = 1

	// minSlotRetentionMs is the least time for which the slot of a server that is gone is not reused, beyond the drain limit.
	minSlotRetentionMs = 1000

	// unzonedProxies is the zone that the decision module for proxies of no known zone runs in. It must differ from -1, the zone of
	// servers whose zone is not configured, so that no server is near such proxies.
	unzonedProxies fleet.ZoneID = -2
)

// Config configures a core.
type Config struct {
	Cluster         string // name of the resources
	Deployment      settings.Deployment
	BatchIntervalMs float64 // least time between snapshots that differ only in ring point adjustments; drains are not delayed
	LoadReports     loadreport.Config
}

// pendingChange says what the next snapshots have to carry. Values are ordered: a higher one includes the lower ones.
type pendingChange uint8

const (
	noChange          pendingChange = iota
	pointsMoved                     // ring points may have been adjusted; built once the batch interval has passed
	membershipChanged               // a server was added, changed or removed; built at once
	serverRemoved                   // a server that proxies may be sending to was removed; earlier snapshots must not be used
)

// core is the state of the control plane. It is not safe for concurrent use. All times are Unix milliseconds.
type core struct {
	config      Config
	zones       []zoneModule // one for each configured zone, and a last one for proxies of no known zone
	loadReports *loadreport.Aggregator

	slots           []serverSlot
	slotByID        map[string]fleet.ServerID
	starts          serverstart.Tracker
	slotRetentionMs float64 // how long the slot of a server that is gone is not reused
	hasEndpoints    bool    // the endpoint list has arrived

	epoch           uint64 // of this process's snapshots
	epochRaisedAtMs float64
	sequence        uint64 // of the newest snapshots within the epoch
	minSequence     uint64 // the oldest sequence that proxies may still use
	snapshots       []*snapshot.Snapshot
	builtAtMs       float64
	pending         pendingChange

	errs          []error        // for the log, since the last TakeErrors
	learnedBuffer fleet.Snapshot // reused by LearnedState
}

// zoneModule is the decision module of the proxies of one zone.
type zoneModule struct {
	*decide.Node
	slab    *fleet.Slab
	zone    string // empty: proxies of no known zone
	builder snapshot.Builder
}

// newCore returns a core without servers. Its epoch is the time, and so above that of every earlier process whose clock was
// right; ObserveVersion makes up for the others.
func newCore(now float64, config Config) *core {
	c := &core{
		config:      config,
		loadReports: loadreport.New(config.LoadReports),
		slotByID:    map[string]fleet.ServerID{},
		epoch:       uint64(max(1, now)),
	}
	limits := config.Deployment.Limits
	limits.Subscribe = true // discovery is followed by a watch
	longestTimeout := float64(minSlotRetentionMs)
	for _, class := range limits.Classes {
		longestTimeout = max(longestTimeout, class.ClientTimeout)
	}
	c.slotRetentionMs = longestTimeout + limits.StopSendingWithin
	// All modules have the same seed and get the same input, so that the ring of all servers is the same in each of them.
	for i, zone := range config.Deployment.Zones {
		limits.Zone = fleet.ZoneID(i)
		c.addZone(now, zone, limits)
	}
	limits.Zone = unzonedProxies
	c.addZone(now, "", limits)
	c.snapshots = make([]*snapshot.Snapshot, len(c.zones))
	return c
}

func (c *core) addZone(now float64, zone string, limits fleet.Limits) {
	module := zoneModule{slab: &fleet.Slab{}, zone: zone}
	module.Node = decide.New(now, limits, module.slab)
	c.zones = append(c.zones, module)
}

// ZoneIndex returns the index of the snapshot for proxies of a zone. Proxies of an unknown zone share the last one.
func (c *core) ZoneIndex(zone string) int {
	if i := slices.Index(c.config.Deployment.Zones, zone); i >= 0 {
		return i
	}
	return len(c.zones) - 1
}

// Snapshots returns the newest snapshots by zone index; they are nil until the endpoint list has arrived.
func (c *core) Snapshots() []*snapshot.Snapshot { return slices.Clone(c.snapshots) }

// TakeErrors returns the errors since the last call.
func (c *core) TakeErrors() []error {
	errs := c.errs
	c.errs = nil
	return errs
}

// StepResult is what a step requires of its caller.
type StepResult struct {
	WaitMs         float64 // time until the next step is due, unless something happens earlier
	WatchDiscovery bool    // the watch of the endpoint list has to be started or replaced
	SnapshotsBuilt bool    // Snapshots returns newer ones
}

// Step does what is due now: the modules adjust ring points, and new snapshots are built.
func (c *core) Step(now float64) StepResult {
	result := StepResult{WaitMs: maxStepWaitMs}
	for i := range c.zones {
		waitMs, watch := c.runModule(&c.zones[i], now)
		result.WaitMs = min(result.WaitMs, waitMs)
		// All modules follow one list, so that one of them speaks for all.
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

// runModule executes the actions that a module has due. It returns the time until the next one, and whether one of them was to
// watch or poll the endpoint list.
func (c *core) runModule(module *zoneModule, now float64) (waitMs float64, watch bool) {
	for {
		if _, waitMs = module.NextDue(now); waitMs > 0 {
			return waitMs, watch
		}
		switch module.Route(now, nil).Action {
		case fleet.Subscribe, fleet.PollList:
			watch = true
		default:
			c.notePending(pointsMoved)
		}
	}
}

// notePending records that the next snapshots have to carry a change.
func (c *core) notePending(change pendingChange) { c.pending = max(c.pending, change) }

// AddLoadReports applies what a proxy reports of the servers at some addresses. It returns how many of the reports count.
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
