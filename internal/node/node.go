package node

import (
	"cmp"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/decide"
	"mintspring/internal/clock"
	"mintspring/internal/config/settings"
	"mintspring/internal/fleet"
	"mintspring/internal/node/admin"
	"mintspring/internal/node/clients"
	"mintspring/internal/node/connpool"
	"mintspring/internal/node/discovery"
	"mintspring/internal/node/exclusion"
	"mintspring/internal/node/fdlimit"
	"mintspring/internal/node/inflight"
	"mintspring/internal/node/lifecycle"
	"mintspring/internal/node/memlimit"
	"mintspring/internal/node/requestclass"
	"mintspring/internal/node/serverstart"
	"mintspring/internal/node/servertable"
	"mintspring/internal/node/upstream"
)

// Node is one running node. Its exported methods may be called from any goroutine.
type Node struct {
	// Set by New and not changed after.
	log          *logrus.Entry
	name         string
	seed         uint64
	adminEnabled bool
	memoryMB     int
	clock        *clock.Clock
	quit         chan struct{} // closed when the loop is to end

	// Safe for concurrent use.
	descriptors *fdlimit.Budget
	frontend    *clients.Server
	upstreams   *upstream.Group
	discovery   *discovery.Client
	inbox       inbox
	lifecycle   lifecycle.State
	handover    handover
	randomDraws atomic.Uint64

	// Owned by the loop. New and StartHandover use them before the loop runs.
	deployment                        settings.Deployment
	inflight                          *inflight.Table[*upstream.Attempt]
	exclusions                        *exclusion.Set // set by operators on the admin port
	classes                           requestclass.Table
	serverTable                       *servertable.Table
	servers                           []*server        // indexed by slot of the server table
	addresses                         addressIndex     // of the entries of servers
	listSource                        discovery.Source // of the endpoint list as far as the loop has applied it
	serverStarts                      serverstart.Tracker
	cachePoolConfig, originPoolConfig connpool.Config
	traffic                           trafficCounters
	nextSweepAt                       float64
	restoredSnapshotTime              float64 // when the last restored snapshot was taken; 0: none has been restored
	shutdown                          shutdown

	// Optional parts, owned by the loop unless the comments in their types say otherwise.
	snapshots     *snapshotStore   // nil: no snapshots are written
	clusterMember *clusterMember   // nil: the node has no peers, or its peer address is still in use
	maintenance   *maintenanceTask // nil: the node has no consensus group
	idempotency   *claimManager    // nil: no idempotency records are kept
}

// New makes a node with the endpoint list known at the start. An optional part that cannot be started is logged and left out.
func New(config Config, log *logrus.Logger) *Node {
	n := &Node{
		log:          log.WithField("node", config.Name),
		name:         config.Name,
		seed:         config.Deployment.Limits.Seed,
		adminEnabled: config.AdminEnabled,
		memoryMB:     config.MemoryMB,
		deployment:   config.Deployment,
		clock:        cmp.Or(config.Clock, clock.New()),
		exclusions:   exclusion.New(),
		inbox:        newInbox(),
		shutdown:     newShutdown(),
		quit:         make(chan struct{}),
		handover:     handover{takenOver: make(chan struct{})},
	}
	n.inflight = inflight.New(inflight.Dispatcher[*upstream.Attempt](dispatcher{n}))
	n.descriptors = newDescriptorBudget(&config)
	n.upstreams = n.newUpstreams(&config)
	n.frontend = n.newFrontend(&config)
	if err := n.classes.Update(n.clock.Now(), config.Deployment.RequestClasses, config.Deployment.Limits.Classes); err != nil {
		n.log.WithError(err).Error("cannot use the request classes")
	}
	n.frontend.SetConfig(clients.NewConfig(config.Deployment, n.classes.ID))
	n.discovery = n.newDiscovery(config.Discovery)
	n.addEvictors()
	n.cachePoolConfig, n.originPoolConfig = PoolConfigs(&config.Deployment, config.Operator)
	n.serverTable = servertable.New(SlotRetention(&config.Deployment))
	now := n.clock.Now()
	config.Deployment = EffectiveDeployment(config.Deployment)
	n.inflight.Policy = newPolicy(now, &config, &n.inflight.Slab)
	n.startOptionalParts(&config)
	n.discovery.SetRevision(config.CachedList.Revision)
	known := discovery.Source{Addr: config.Discovery, Revision: config.CachedList.Revision}
	n.applyStoredList(now, config.CachedList.Members, known)
	return n
}

// EffectiveDeployment returns the deployment for which a node configures its decision module: Subscribe is always set, because over HTTP
// the node learns of a change of the endpoint list only by watching it. The policy hash in snapshot files is that of this deployment.
// The policy hash in the state for a successor is that of the unmodified deployment: both builds in a hot restart must agree on it.
func EffectiveDeployment(deployment settings.Deployment) settings.Deployment {
	deployment.Limits.Subscribe = true
	return deployment
}

func newDescriptorBudget(config *Config) *fdlimit.Budget {
	reserved := 0
	if config.AdminEnabled {
		reserved = admin.MaxConnections
	}
	return fdlimit.New(config.MaxDescriptors, reserved)
}

func newPolicy(now float64, config *Config, slab *fleet.Slab) Policy {
	if config.NewPolicy != nil {
		return config.NewPolicy(now, config.Deployment.Limits, slab)
	}
	return decide.New(now, config.Deployment.Limits, slab)
}

func (n *Node) newUpstreams(config *Config) *upstream.Group {
	_, longestTimeout := config.Deployment.TimeBounds()
	return &upstream.Group{
		Clock:              n.clock,
		Sockets:            n.descriptors,
		OnDone:             n.attemptDone,
		OnResponding:       n.serverResponding,
		OnStreamEnd:        n.logStream,
		OnPanic:            n.logPanic,
		ConnectTimeout:     ConnectTimeout(&config.Deployment),
		StreamStallTimeout: max(longestTimeout, minStreamStall),
		DiscardTimeout:     longestTimeout,
		Memory:             memlimit.New(config.memoryShare()),
		Random:             n.random,
	}
}

func (n *Node) newFrontend(config *Config) *clients.Server {
	return &clients.Server{
		Handler:        n,
		Lifecycle:      &n.lifecycle,
		Random:         n.random,
		Clock:          n.clock,
		Sockets:        n.descriptors,
		OnPanic:        n.logPanic,
		LogError:       func(message string, err error) { n.log.WithError(err).Warn(message) },
		CommandTimeout: firstRequestTimeout,
		MaxBuffered:    config.memoryShare(),
		InputMemory:    memlimit.New(config.memoryShare()),
		ReplyMemory:    clients.NewReplyMemory(int64(config.MemoryMB) << 20 / replyMemoryDivisor),
		Memory:         memlimit.New(config.memoryShare()),

		UnattendedListener: config.UnattendedListener,
	}
}

// memoryShare returns 1/memoryDivisor of the memory limit, in bytes.
func (c *Config) memoryShare() int64 { return int64(c.MemoryMB) << 20 / memoryDivisor }

func (n *Node) newDiscovery(addr string) *discovery.Client {
	return &discovery.Client{
		Addr: addr,
		OnUpdate: func(u discovery.Update) {
			mode := fleet.ListDelta
			if u.Complete {
				mode = fleet.ListFull
			}
			confirmedAt := serverstart.NeverConfirmed()
			if u.ConfirmedAgo >= 0 {
				confirmedAt = n.clock.Now() - float64(u.ConfirmedAgo)/float64(time.Millisecond)
			}
			n.inbox.post(listChanged{mode, u.Entries, confirmedAt, u.Source})
		},
		OnError: func(err error) { n.inbox.post(listFailed{err}) },
	}
}

// addEvictors sets the order in which connections are closed when descriptors run out. Idle clients that have had a response are
// evicted before clients that have just connected: otherwise, once silent clients hold all descriptors, each new client evicts the
// previous one while its request is still being read.
func (n *Node) addEvictors() {
	const clientConn, serverConn = fdlimit.Client, fdlimit.Server
	n.descriptors.AddEvictor(clientConn, func() bool { return n.frontend.EvictAnswered(minIdleBeforeEviction) })
	n.descriptors.AddEvictor(clientConn, func() bool { return n.frontend.EvictOldest(clients.Silent, 0) })
	n.descriptors.AddEvictor(serverConn, n.upstreams.CloseOldestUnused)
	n.descriptors.AddEvictor(clientConn, func() bool { return n.frontend.EvictOldest(clients.Idle, 0) })
	n.descriptors.AddEvictor(clientConn, func() bool { return n.frontend.EvictOldest(clients.Incomplete, 0) })
}

func (n *Node) startOptionalParts(config *Config) {
	if err := n.joinCluster(config); err != nil {
		n.log.WithError(err).Error("continuing without peers")
	}
	if err := n.joinConsensus(config); err != nil {
		n.log.WithError(err).Error("continuing without a consensus group")
	}
	if err := n.startIdempotency(config); err != nil {
		n.log.WithError(err).Error("continuing without idempotency records")
	}
	n.openSnapshots(config)
}

// Serve runs the loop and accepts clients on a listener. It returns after Stop has closed the listener.
func (n *Node) Serve(ln net.Listener) error {
	go n.loop()
	return n.frontend.Serve(ln)
}

// SetDiscovery switches to a discovery service at another address. Requests in flight and clients are not affected.
func (n *Node) SetDiscovery(addr string) { n.discovery.SwitchTo(addr) }

// MaxRequestTimeout returns the longest timeout of any request class, in ms.
func (n *Node) MaxRequestTimeout() float64 { return n.frontend.Config().LongestTimeout }

// random returns a pseudorandom number in [0,1). The sequence depends on the seed alone.
func (n *Node) random() float64 { return fleet.UnitInterval(n.seed + n.randomDraws.Add(1)) }

func (n *Node) logPanic(p any) {
	n.log.WithFields(logrus.Fields{"panic": p, "stack": string(debug.Stack())}).Error("recovered from a panic")
}
