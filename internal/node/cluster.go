package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"syscall"

	"mintspring/internal/clock"
	"mintspring/internal/cluster"
	"mintspring/internal/cluster/counters"
	"mintspring/internal/cluster/gossip"
	"mintspring/internal/cluster/participant"
	"mintspring/internal/cluster/quota"
	"mintspring/internal/cluster/wire"
	"mintspring/internal/fleet"
	"mintspring/internal/node/discovery"
	"mintspring/internal/node/upstream"
)

const (
	// clusterTickMs is the interval between two ticks of the cluster member.
	clusterTickMs = 20
	// silentPeriods is the number of probe intervals after which a node logs a warning if it has never received a datagram. The peers
	// of such a node have a different number or address for it. Isolation detection does not notice this, because it covers only nodes that
	// have received datagrams before.
	silentPeriods = 10
)

// clusterTick is the longest wait of the loop while the node takes part in a cluster or a consensus group.
var clusterTick = clock.Duration(clusterTickMs)

// clusterMember is the node as a member of its cluster: the participant and its socket. The loop owns it. It implements participant.Host.
type clusterMember struct {
	participant.DecisionAdapter
	node        *Node
	participant *participant.Participant
	socket      *wire.Socket

	nextTickAt     float64
	isolated       bool    // as last logged
	warnSilentAt   float64 // when to warn that no datagram has arrived since the start; 0: a datagram has arrived, or the warning was logged
	previousOpened int     // total of opened connections at the last call of NodeCounters
}

// clusterConfig has the addresses of the peers, from the operator's file or the platform, and the gossip configuration.
type clusterConfig struct {
	listenAddr string
	peers      []string
	gossip     gossip.Config
}

// newClusterConfig returns the configuration of the cluster, or nil if the operator's file has none.
func (n *Node) newClusterConfig(config *Config) (*clusterConfig, error) {
	if config.Operator == nil || config.Operator.Fleet == nil {
		return nil, nil //nolint:nilnil // a node need not have a cluster
	}
	section := config.Operator.Fleet
	c := &clusterConfig{listenAddr: section.Listen, peers: section.Peers}
	if len(c.peers) == 0 {
		c.peers = config.Peers
	}
	if c.listenAddr == "" {
		c.listenAddr = config.PeerListen
	}
	number := config.Deployment.NodeIndex
	if section.NodeNumber != nil {
		number = *section.NodeNumber
	}
	switch {
	case c.listenAddr == "" || len(c.peers) == 0:
		return nil, errors.New("fleet: neither the operator's file nor the configuration has the addresses of the peers")
	case number < 0 || number >= len(c.peers):
		return nil, fmt.Errorf("fleet: this node's number, %d, is not among %d peers", number, len(c.peers))
	}
	c.gossip = section.GossipConfig(len(c.peers))
	c.gossip.Self, c.gossip.Seed = cluster.NodeID(number), n.seed
	return c, nil
}

// joinCluster joins the cluster that the operator's file configures, if any.
func (n *Node) joinCluster(config *Config) error {
	c, err := n.newClusterConfig(config)
	if c == nil || err != nil {
		return err
	}
	socket, err := wire.Listen(c.listenAddr, c.peers)
	switch {
	case err == nil:
		n.useLeasedQuota(&c.gossip)
		clusterJoined{socket, c.gossip}.handle(n, n.clock.Now())
	case errors.Is(err, syscall.EADDRINUSE):
		n.log.WithError(err).Info("peer address in use, waiting for the predecessor to release it")
		n.useLeasedQuota(&c.gossip)
		go n.retryJoin(c)
	default:
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// retryJoin joins the cluster once the predecessor has released the address. It returns when the node stops.
func (n *Node) retryJoin(c *clusterConfig) {
	err := n.retryWhileAddressInUse(lockRetryInterval, func() error {
		socket, err := wire.Listen(c.listenAddr, c.peers)
		if err == nil {
			n.inbox.post(clusterJoined{socket, c.gossip})
		}
		return err
	})
	if err != nil {
		n.log.WithError(err).Error("continuing without peers")
	}
}

// useLeasedQuota makes the connection pools use the node's part of the cluster's quota. Until the node has received datagrams, they use an
// initial part: otherwise a successor whose predecessor still holds the peer address would open no connection.
func (n *Node) useLeasedQuota(config *gossip.Config) {
	n.cachePoolConfig.LeasedRate, n.cachePoolConfig.InitialQuota = config.ShareQuotas, config.QuotaConfig().InitialAllowance()
}

// clusterJoined is the event that the socket to the peers is open.
type clusterJoined struct {
	socket *wire.Socket
	config gossip.Config
}

func (e clusterJoined) handle(n *Node, now float64) {
	if n.shutdown.leftGroups {
		e.socket.Close()
		return
	}
	c := &clusterMember{
		DecisionAdapter: participant.DecisionAdapter{Module: n.inflight.Policy},
		node:            n,
		socket:          e.socket,
		warnSilentAt:    now + silentPeriods*e.config.ProbeIntervalMs,
	}
	c.participant = participant.New(now, e.config, cluster.NewIncarnation(now, n.random()), c)
	n.clusterMember = c
	if e.config.ShareEvidence {
		n.inflight.OnResult = c.participant.Observe
		n.upstreams.OnDuplicates = func(endpoint *upstream.Endpoint) { n.inbox.post(duplicateSeen{endpoint}) }
	}
	if e.config.ShareCounters {
		n.inflight.OnAdmit = c.participant.ObserveRequest
	}
	for id := range n.servers {
		c.endpointChanged(now, fleet.ServerID(id), n.serverTable.State(fleet.ServerID(id)))
	}
	reportError := func(err error) { n.log.WithError(err).Error("receiving gossip datagrams fails") }
	go e.socket.ReadLoop(reportError, func(from cluster.NodeID, payload []byte) { n.inbox.post(datagramReceived{from, payload}) })
}

// datagramReceived is the event that a peer has sent a datagram.
type datagramReceived struct {
	from    cluster.NodeID
	payload []byte
}

func (e datagramReceived) handle(n *Node, now float64) {
	c := n.clusterMember
	c.send(c.participant.HandleDatagram(now, e.from, e.payload))
}

// duplicateSeen is the event that a server has sent a second, late response to a request.
type duplicateSeen struct{ endpoint *upstream.Endpoint }

func (e duplicateSeen) handle(n *Node, now float64) {
	for id, s := range n.servers {
		if s.endpoint == e.endpoint {
			n.clusterMember.participant.ObserveDuplicate(now, fleet.ServerID(id))
		}
	}
}

// tick runs the participant and logs what has changed, every clusterTickMs.
func (c *clusterMember) tick(now float64) {
	if now < c.nextTickAt {
		return
	}
	c.nextTickAt = now + clusterTickMs
	c.send(c.participant.Tick(now))
	c.warnIfSilent(now)
	c.logMemberChanges()
	c.logServerChanges()
	c.logIsolation()
}

func (c *clusterMember) send(messages []*wire.Message) {
	for _, m := range messages {
		c.socket.Send(m.To, m.Append(nil))
	}
}

func (c *clusterMember) warnIfSilent(now float64) {
	received := c.participant.Gossip.Received()
	switch {
	case received.Datagrams > 0:
		c.warnSilentAt = 0
	case c.warnSilentAt > 0 && now >= c.warnSilentAt:
		c.warnSilentAt = 0
		c.node.log.WithField("foreign", received.Foreign).Warn("no datagram from any peer since the start")
	}
}

// logMemberChanges logs which nodes have joined, died or become suspect, and why.
func (c *clusterMember) logMemberChanges() {
	for _, e := range c.participant.Gossip.DrainEvents() {
		if e.To == wire.Alive && e.From == wire.Suspect {
			continue // the peer has refuted the suspicion
		}
		c.node.log.WithField("peer", e.Node).WithField("old_state", e.From.String()).WithField("new_state", e.To.String()).
			WithField("reason", e.Reason).WithField("heard_ms_ago", int(e.SinceHeardMs)).Info("peer state changed")
	}
}

// logServerChanges logs changes in the evidence of other nodes about servers.
func (c *clusterMember) logServerChanges() {
	for _, change := range c.participant.DrainEvidenceChanges() {
		log := c.node.log.WithField("server", c.node.servers[change.ServerID].entry.ID).WithField("sources", change.Sources).
			WithField("evidence_age_ms", int(change.AgeMs))
		switch {
		case change.Duplicating:
			log.Info("other nodes report duplicate responses from a server")
		case change.Bias > 0:
			log.Info("other nodes report that a server fails")
		case change.Bias < 0:
			log.Info("other nodes get responses from a server that fails here")
		default:
			log.Info("reports of other nodes about a server have expired")
		}
	}
}

func (c *clusterMember) logIsolation() {
	isolated := c.participant.Gossip.Isolated()
	if isolated == c.isolated {
		return
	}
	c.isolated = isolated
	if isolated {
		c.node.log.Warn("no peer reachable, this node is isolated")
	} else {
		c.node.log.Info("peers reachable again")
	}
}

// close closes the socket, which ends its reader.
func (c *clusterMember) close() { c.socket.Close() }

// Demand returns the rate at which the node would open connections to a server. It implements participant.Host, as the exported methods
// of clusterMember below do.
func (c *clusterMember) Demand(now float64, id fleet.ServerID) float64 {
	return c.node.servers[id].endpoint.Demand(now)
}

// SetAllowance sets the node's quota of connections to a server.
func (c *clusterMember) SetAllowance(_ float64, id fleet.ServerID, allowance quota.Allowance) {
	c.node.servers[id].endpoint.SetQuota(allowance)
}

// MarkDuplicating records that a server has sent other nodes duplicate responses.
func (c *clusterMember) MarkDuplicating(_ float64, id fleet.ServerID) {
	c.node.servers[id].endpoint.ReportedDuplicates()
}

// NodeCounters returns the counters of this node; those that count events cover the time since the last call.
func (c *clusterMember) NodeCounters() (counts [counters.NodeKindCount]int) {
	opened := c.node.upstreams.Stats().Opened
	counts[counters.InFlight] = c.node.inflight.Len()
	counts[counters.ClientConnections] = c.node.frontend.OpenConns()
	counts[counters.ConnectionsOpened] = opened - c.previousOpened
	c.previousOpened = opened
	return counts
}

// Connections returns the numbers of connections to a server that are open and in use.
func (c *clusterMember) Connections(id fleet.ServerID) (open, inUse int) {
	state := c.node.servers[id].endpoint.State()
	return state.Open, state.InUse
}

// TenantName returns the name of a tenant, or "" if the settings have no such tenant.
func (c *clusterMember) TenantName(id fleet.TenantID) string {
	if tenants := c.node.deployment.Tenants; int(id) < len(tenants) {
		return tenants[id]
	}
	return ""
}

// endpointChanged passes a change of a server in the endpoint list to the participant.
func (c *clusterMember) endpointChanged(now float64, id fleet.ServerID, state fleet.State) {
	entry := &c.node.servers[id].entry
	if state == fleet.Gone || entry.Flavor == discovery.OriginFlavor {
		c.participant.RemoveServer(id)
	} else {
		c.participant.AddServer(now, id, entry.ID, entry.UpSince)
	}
}

var errNoPeers = errors.New("this node has no peers: its operator's file has no [fleet]")

// Peers returns the status of the cluster as this node knows it, as JSON.
func (n *Node) Peers() (string, error) {
	return onLoop(n, func(now float64) (string, error) {
		if n.clusterMember == nil {
			return "", errNoPeers
		}
		status, err := json.Marshal(n.clusterMember.participant.Status(now))
		return string(status), err
	})
}
