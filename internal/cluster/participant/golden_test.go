package participant

import (
	"encoding/json"
	"testing"

	"mintspring/internal/cluster/simnet"
	"mintspring/internal/fleet"
	"mintspring/internal/testbed/goldentest"
	"mintspring/internal/testbed/wiretest"
)

// recordDatagrams returns the datagrams of two nodes with servers, budgets, tenants and keys, and the status of one of them as JSON.
func recordDatagrams(t *testing.T) (datagrams [][]byte, status []byte) {
	t.Helper()
	const nodes = 2
	network := simnet.New(nodes, 5)
	var hosts []*testHost
	for i := range nodes {
		h := newHost(network, i, nodes)
		h.demand = 0.3 + 0.4*float64(i)
		h.slowStartQuota[1] = 0.01
		h.slowStartDemand[1] = 0.02 * float64(i)
		h.AddServer(network.Now, 0, "cache-a", 1)
		h.AddServer(network.Now, 1, "cache-b", 1_700_000_000_000)
		hosts = append(hosts, h)
		network.Start(i, wiretest.Recorder{Process: h, Datagrams: &datagrams}, h.Gossip.Incarnation)
	}
	for range 15 {
		for _, h := range hosts {
			h.Observe(network.Now, 0, fleet.TimedOut)
			h.ObserveRequest(&fleet.Request{Tenant: 1, Key: 8}, []byte("key-8"))
		}
		network.Run(100)
	}
	status, err := json.MarshalIndent(hosts[0].Status(network.Now), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return datagrams, status
}

// Two simulated nodes send the datagrams in the golden file, byte for byte, and report the status in the other one.
func TestGoldenNodes(t *testing.T) {
	datagrams, status := recordDatagrams(t)
	wiretest.CheckDatagrams(t, "nodes.hex", datagrams)
	if got, want := string(status)+"\n", string(goldentest.Read(t, "state.json")); got != want {
		t.Errorf("the status is\n%s\nwant\n%s", got, want)
	}
}
