package participant

import (
	"testing"

	"mintspring/decide"
	"mintspring/internal/cluster"
	"mintspring/internal/cluster/counters"
	"mintspring/internal/cluster/gossip"
	"mintspring/internal/cluster/quota"
	"mintspring/internal/cluster/simnet"
	"mintspring/internal/cluster/wire"
	"mintspring/internal/fleet"
	"mintspring/internal/slowstart"
)

// DecisionAdapter finds the methods of the decision module at run time; without this assertion a renamed method would go unnoticed.
var _ decisionModule = (*decide.Node)(nil)

// testHost is a Host that returns the demands and quotas set by a test, and records the calls of its Participant.
type testHost struct {
	*Participant
	demand          float64
	slowStartQuota  map[fleet.ServerID]float64
	slowStartDemand map[fleet.ServerID]float64

	allowed     map[fleet.ServerID]float64
	bias        map[fleet.ServerID]float64
	duplicating map[fleet.ServerID]bool
	leases      map[fleet.ServerID]slowstart.Leases
}

// newHost returns a host with a Participant for a node of a simulated fleet.
func newHost(network *simnet.Network, id, nodes int) *testHost {
	h := &testHost{
		slowStartQuota:  map[fleet.ServerID]float64{},
		slowStartDemand: map[fleet.ServerID]float64{},
		allowed:         map[fleet.ServerID]float64{},
		bias:            map[fleet.ServerID]float64{},
		duplicating:     map[fleet.ServerID]bool{},
		leases:          map[fleet.ServerID]slowstart.Leases{},
	}
	config := gossip.Config{
		Fleet:           "f",
		Self:            cluster.NodeID(id),
		MaxNodes:        nodes,
		QuotaOwners:     nodes,
		ProbeIntervalMs: 200,
		ProbeTimeoutMs:  50,
		LeaseMs:         500,
		EvidenceTTLMs:   5000,
		Seed:            uint64(id),
		ShareQuotas:     true,
		ShareEvidence:   true,
		ShareCounters:   true,
	}
	h.Participant = New(network.Now, config, cluster.NewIncarnation(network.Now, network.Rng.Float64()), h)
	return h
}

func (h *testHost) Demand(float64, fleet.ServerID) float64 { return h.demand }

func (h *testHost) SetAllowance(now float64, server fleet.ServerID, allowance quota.Allowance) {
	h.allowed[server] = allowance.ShareAt(now)
}

func (h *testHost) SlowStartQuota(_ float64, server fleet.ServerID) (own, demand float64) {
	return h.slowStartQuota[server], h.slowStartDemand[server]
}

func (h *testHost) SetSlowStartLeases(server fleet.ServerID, leases slowstart.Leases) {
	h.leases[server] = leases
}

func (h *testHost) SetIndirectEvidence(server fleet.ServerID, evidence IndirectEvidence) {
	h.bias[server] = evidence.Bias
}

func (h *testHost) MarkDuplicating(_ float64, server fleet.ServerID) { h.duplicating[server] = true }

func (h *testHost) NodeCounters() (all [counters.NodeKindCount]int) {
	all[counters.InFlight] = 4
	return all
}

func (h *testHost) Connections(fleet.ServerID) (open, inUse int) { return 2, 1 }

func (h *testHost) TenantName(tenant fleet.TenantID) string { return []string{"x", "y"}[tenant] }

// Handle implements simnet.Process. The network has decoded the message already.
func (h *testHost) Handle(now float64, m *wire.Message) []*wire.Message {
	return h.HandleDatagram(now, m.From, m.Append(nil))
}

const (
	testNodes   = 3
	testServers = 8
)

// slot returns the slot of a server in the table of a node.
func slot(node, server int) fleet.ServerID {
	return fleet.ServerID((server + testNodes*node) % testServers)
}

// newFleet returns a running fleet of nodes that have the same servers in different slots.
func newFleet() (*simnet.Network, []*testHost) {
	network := simnet.New(testNodes, 5)
	var hosts []*testHost
	for i := range testNodes {
		h := newHost(network, i, testNodes)
		for server := range testServers {
			h.AddServer(network.Now, slot(i, server), string(rune('a'+server)), 1)
		}
		hosts = append(hosts, h)
		network.Start(i, h, h.Gossip.Incarnation)
	}
	return network, hosts
}

// A node with demand borrows connection openings and slow-start quotas that other nodes do not need.
func TestQuotasAreLeased(t *testing.T) {
	const server, slowStartServer = 2, 7
	network, hosts := newFleet()
	hosts[0].demand = 0.8
	for i, h := range hosts { // all nodes have a quota of a server in slow start, and one has demand
		h.slowStartQuota[slot(i, slowStartServer)] = 0.01
	}
	hosts[1].slowStartDemand[slot(1, slowStartServer)] = 0.05
	network.Run(5000)
	if got := hosts[0].allowed[slot(0, server)]; got < 0.6 {
		t.Errorf("the node with a demand of 0.8 may spend %.2f", got)
	}
	if got := hosts[1].allowed[slot(1, server)]; got > 0.3 {
		t.Errorf("a node without demand holds %.2f", got)
	}
	lent := hosts[0].leases[slot(0, slowStartServer)].Lent + hosts[2].leases[slot(2, slowStartServer)].Lent
	borrowed := 0.0
	for _, lease := range hosts[1].leases[slot(1, slowStartServer)].Borrowed {
		borrowed += lease.Rate
	}
	if lent > 0.0101 || lent < 0.007 || borrowed > lent || borrowed < 0.007 {
		t.Errorf("of quotas of 0.01 two nodes have lent %.4f, and the third has borrowed %.4f", lent, borrowed)
	}
}

// Evidence of two nodes about a server reaches the third node, which has the server in another slot. It is dropped when a new process of the
// server starts.
func TestEvidenceIsShared(t *testing.T) {
	const failing, reset, duplicating = 4, 5, 6
	network, hosts := newFleet()
	network.Run(5000)
	for i := range 2 {
		for range 3 {
			hosts[i].Observe(network.Now, slot(i, failing), fleet.TimedOut)
		}
		hosts[i].ObserveDuplicate(network.Now, slot(i, duplicating))
		hosts[i].Observe(network.Now, slot(i, reset), fleet.Reset) // no evidence: its cause is more often the connection
	}
	network.Run(1500)
	third := hosts[2]
	if third.bias[slot(2, failing)] <= 0 || !third.duplicating[slot(2, duplicating)] || len(third.bias) > 2 {
		t.Errorf("the third node has biases of %v and duplicating servers %v", third.bias, third.duplicating)
	}
	third.AddServer(network.Now, slot(2, failing), "e", 99) // another process
	for _, server := range third.Gossip.Status(network.Now).Servers {
		if server.Server == wire.HashName("e") {
			t.Errorf("evidence of the earlier process is kept: %+v", server)
		}
	}
	third.RemoveServer(slot(2, failing))
	third.Observe(network.Now, slot(2, failing), fleet.Failed) // ignored: the server has been removed
}

// Each node knows the counters of all nodes and the names of servers, tenants and keys.
func TestCountersAreShared(t *testing.T) {
	network, hosts := newFleet()
	network.Run(5000)
	for range 15 {
		for _, h := range hosts {
			for i := range 10 {
				request := &fleet.Request{Tenant: fleet.TenantID(i % 2), Key: fleet.Key(i / 8)}
				h.ObserveRequest(request, []byte{byte('k' + i/8)})
			}
		}
		network.Run(100)
	}
	status := hosts[1].Status(network.Now)
	tenants := status.LabeledCounters["queries_a_minute_of_tenants"]
	if len(tenants) != 2 || tenants[0].Nodes != testNodes || tenants[0].Name == "" {
		t.Errorf("tenants: %+v", tenants)
	} else if tenants[0].Value < 500 || tenants[0].Value > 9000 { // the average rises towards 9000: all nodes together get 150 per second
		t.Errorf("requests of a tenant: %+v", tenants[0])
	}
	keys := status.LabeledCounters["queries_a_minute_of_keys"]
	if len(keys) != 2 || keys[0].Name != "k" || keys[0].Nodes != testNodes || keys[0].Value < 3*keys[1].Value {
		t.Errorf("keys: %+v", keys)
	}
	open := status.LabeledCounters["connections_open"]
	if len(open) != testServers || open[0].Value != 2*testNodes || open[0].Nodes != testNodes || open[0].Name == "" {
		t.Errorf("open connections: %+v", open)
	}
	inFlight := hosts[2].Gossip.Status(network.Now).Counters["in_hand"]
	if inFlight.Value != 4*testNodes || inFlight.Nodes != testNodes {
		t.Errorf("requests in flight: %+v", inFlight)
	}
}

// Evidence that arrives before a server is added concerns an earlier process of the server, and is dropped when the server is added.
func TestEvidenceBeforeServerIsAdded(t *testing.T) {
	network := simnet.New(testNodes, 5)
	h := newHost(network, 0, testNodes)
	h.Gossip.Handle(network.Now, &wire.Message{
		Kind:     wire.Gossip,
		Fleet:    wire.HashFleet("f"),
		From:     1,
		Evidence: []wire.Evidence{{Source: 1, Server: wire.HashName("cache-a"), Verdict: wire.Failing}},
	})
	if got := len(h.Status(network.Now).Servers); got != 1 {
		t.Fatalf("evidence of %d servers is kept", got)
	}
	h.AddServer(network.Now, 0, "cache-a", 1)
	if got := h.Status(network.Now).Servers; len(got) != 0 {
		t.Errorf("evidence of the earlier process is kept: %+v", got)
	}
}
