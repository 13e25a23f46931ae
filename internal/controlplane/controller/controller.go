package controller

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/clock"
	"mintspring/internal/controlplane/loadreport"
	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/node/discovery"
	"mintspring/internal/state/snapshotfile"
)

// eventQueueSize is the number of events that the queue to the goroutine that owns the core can hold. While it is full, post blocks.
const eventQueueSize = 256

// event is a call that the goroutine which owns the core executes. now is in Unix milliseconds.
type event func(now float64)

// Controller owns a core and runs it on the goroutine that calls Run. All other methods may be called from any goroutine.
type Controller struct {
	log       *logrus.Logger
	clock     *clock.Clock
	discovery *discovery.Client
	events    chan event
	stopping  chan struct{} // closed by Stop
	done      chan struct{} // closed when Run has returned

	watchCalls sync.WaitGroup // unfinished calls of discovery.Watch; only Run's goroutine adds to it

	// Owned by Run's goroutine.
	core  *core
	state *stateStore // nil: no state is saved

	snapshots               atomic.Pointer[[]*snapshot.Snapshot] // newest snapshots by zone index
	lastDiscoveryActivityMs atomic.Int64                         // last data from discovery, Unix ms

	mu       sync.Mutex // guards watchers
	watchers map[chan struct{}]bool
}

// New returns a Controller for the endpoint list of the discovery service at an address. It follows the list once Run is called. If
// persistence is nil, no state is kept across restarts.
func New(log *logrus.Logger, config Config, discoveryAddr string, persistence *Persistence) *Controller {
	c := &Controller{
		log:      log,
		clock:    clock.New(),
		events:   make(chan event, eventQueueSize),
		stopping: make(chan struct{}),
		done:     make(chan struct{}),
		watchers: map[chan struct{}]bool{},
	}
	now := c.clock.Now()
	c.core = newCore(now, config)
	c.discovery = &discovery.Client{
		Addr:       discoveryAddr,
		OnActivity: c.recordDiscoveryActivity,
		OnUpdate:   c.handleDiscoveryUpdate,
		OnError:    c.handleDiscoveryError,
	}
	c.lastDiscoveryActivityMs.Store(int64(now))
	c.publish()
	if persistence != nil {
		c.state = &stateStore{config: *persistence}
		c.loadState()
	}
	return c
}

// loadState reads the saved state, then opens and locks the data directory.
func (c *Controller) loadState() {
	var err error
	if c.state.saved, err = snapshotfile.Load(c.state.config.Dir); err != nil {
		c.log.WithError(err).Warn("saved state file unreadable")
	}
	if err := c.state.open(); err != nil {
		c.log.WithError(err).Warn("data directory unavailable, will retry at each save")
	}
}

func (c *Controller) recordDiscoveryActivity() { c.lastDiscoveryActivityMs.Store(int64(c.clock.Now())) }

func (c *Controller) handleDiscoveryUpdate(update discovery.Update) {
	c.recordDiscoveryActivity()
	c.post(func(now float64) { c.updateEndpoints(now, update) })
}

func (c *Controller) handleDiscoveryError(err error) {
	c.post(func(now float64) {
		c.log.WithError(err).WithField("list_age_s", int(c.ListAgeMs()/1000)).Warn("discovery unavailable, keeping the last endpoint list")
		c.core.DiscoveryFailed(now)
	})
}

// post queues an event for the goroutine that owns the core. It blocks while the queue is full. After Stop it may drop the event.
func (c *Controller) post(e event) {
	select {
	case c.events <- e:
	case <-c.stopping:
	}
}

// Run follows the endpoint list, builds snapshots and saves the state at an interval, until Stop is called.
func (c *Controller) Run() {
	defer close(c.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var saveDue <-chan time.Time
	if c.state != nil {
		ticker := time.NewTicker(c.state.config.Interval)
		defer ticker.Stop()
		saveDue = ticker.C
	}
	for {
		timer.Reset(clock.Duration(c.step()))
		select {
		case <-c.stopping:
			c.saveState()
			return
		case e := <-c.events:
			e(c.clock.Now())
			c.handleQueuedEvents()
		case <-timer.C:
		case <-saveDue:
			c.saveState()
		}
	}
}

// step runs a step of the core, starts a watch of discovery if it is due, and publishes new snapshots. It returns the milliseconds until
// the next step.
func (c *Controller) step() (waitMs float64) {
	result := c.core.Step(c.clock.Now())
	if result.WatchDiscovery {
		// Watch must not run on this goroutine. It takes the lock of the discovery client, which holds that lock while it posts an event,
		// and only this goroutine empties the event queue. Watch returns as soon as it has got the lock.
		c.watchCalls.Go(c.discovery.Watch)
	}
	if result.SnapshotsBuilt {
		c.publish()
	}
	for _, err := range c.core.TakeErrors() {
		c.log.WithError(err).Warn("snapshot incomplete")
	}
	return result.WaitMs
}

// handleQueuedEvents executes all queued events, so that the next snapshots include all of them.
func (c *Controller) handleQueuedEvents() {
	for {
		select {
		case e := <-c.events:
			e(c.clock.Now())
		default:
			return
		}
	}
}

func (c *Controller) updateEndpoints(now float64, update discovery.Update) {
	previous := c.core.ReadyServers()
	c.core.UpdateEndpoints(now, update)
	if c.state != nil {
		if trust, restored := c.state.restore(now, c.core); restored {
			c.log.WithField("trust", trust.Global).WithField("reasons", trust.Reasons).Info("restored saved state")
		}
	}
	if count := c.core.ReadyServers(); count != previous {
		c.log.WithField("servers", count).Info("endpoint list changed")
	}
}

func (c *Controller) saveState() {
	if c.state == nil {
		return
	}
	if err := c.state.save(c.clock.Now, c.core); err != nil {
		c.log.WithError(err).Warn("saving state failed")
	}
}

// Stop ends Run, which first saves the state once more. It then ends the watch of discovery and releases the data directory. It must be
// called exactly once, after Run was started. SetDiscovery must not be called after it.
func (c *Controller) Stop() {
	close(c.stopping)
	<-c.done
	c.watchCalls.Wait()
	c.discovery.Close()
	if c.state != nil {
		c.state.close()
	}
}

// SetDiscovery switches to the discovery service at another address.
func (c *Controller) SetDiscovery(addr string) { c.discovery.SwitchTo(addr) }

// publish makes the newest snapshots available to Snapshot and notifies the watchers.
func (c *Controller) publish() {
	snapshots := c.core.Snapshots()
	c.snapshots.Store(&snapshots)
	c.mu.Lock()
	defer c.mu.Unlock()
	for watcher := range c.watchers {
		select {
		case watcher <- struct{}{}:
		default: // a notification is already pending; the watcher will read the newest snapshots
		}
	}
}

// ZoneIndex returns the index of the snapshots for proxies of a zone.
func (c *Controller) ZoneIndex(zone string) int { return c.core.ZoneIndex(zone) }

// Snapshot returns the newest snapshot of a zone index, or nil if none has been built.
func (c *Controller) Snapshot(zone int) *snapshot.Snapshot { return (*c.snapshots.Load())[zone] }

// ListAgeMs returns the milliseconds since the discovery service last sent data, or since New if it has sent none.
func (c *Controller) ListAgeMs() float64 {
	return max(0, c.clock.Now()-float64(c.lastDiscoveryActivityMs.Load()))
}

// Watch returns a channel that receives a value after new snapshots were published, and a function that cancels the notifications.
func (c *Controller) Watch() (updates <-chan struct{}, cancel func()) {
	watcher := make(chan struct{}, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchers[watcher] = true
	return watcher, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.watchers, watcher)
	}
}

// ObserveVersion handles the version of the snapshot that a proxy holds. If it is newer than the published snapshots, ObserveVersion raises
// the epoch and returns once still newer snapshots are published, unless the core rejects the version.
func (c *Controller) ObserveVersion(held snapshot.Version) {
	handled := make(chan struct{})
	c.post(func(now float64) {
		defer close(handled)
		if !c.core.ObserveVersion(now, held) {
			return
		}
		c.log.WithField("snapshot", held.String()).Warn("proxy holds a newer snapshot than this process has built, raising the epoch")
		c.step() // its result is not needed, since Run steps again after this event
	})
	select {
	case <-handled:
	case <-c.stopping:
	}
}

// AddLoadReports applies the load reports of a proxy, by server address.
func (c *Controller) AddLoadReports(proxy string, reports map[string]loadreport.Report) {
	c.post(func(now float64) { c.core.AddLoadReports(now, proxy, reports) })
}
