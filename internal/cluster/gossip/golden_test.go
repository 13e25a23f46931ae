package gossip

import (
	"encoding/json"
	"testing"

	"mintspring/internal/cluster/counters"
	"mintspring/internal/cluster/wire"
	"mintspring/internal/testbed/goldentest"
	"mintspring/internal/testbed/wiretest"
)

// recordFleet returns the datagrams of three nodes that share everything, and the status of one of them as JSON.
func recordFleet(t *testing.T) (datagrams [][]byte, status []byte) {
	t.Helper()
	f := newFleet(3, 7)
	f.config.LeaseMs = 500
	for i := range f.nodes {
		f.start(i)
		node := f.nodes[i]
		node.Demands[budget] = []float64{0.7, 0.1, 0.3}[i]
		node.SetServerCount(8)
		node.OnTick = func(now float64) {
			node.SetTrafficQuota(now, budget+1, 0.01, 0.03*float64(i))
			node.Observe(now, 100, i < 2)
			node.SetCounter(now, counters.Key{Kind: counters.InFlight}, 3+i)
			node.SetCounter(now, counters.Key{Kind: counters.TenantRate, Label: 55}, 10*i)
		}
		f.Start(i, wiretest.Recorder{Process: node, Datagrams: &datagrams}, node.Incarnation)
	}
	f.Run(1500)
	f.nodes[2].ObserveDuplicate(f.Now, 101)
	f.Kill(1)
	f.Run(1500)
	status, err := json.MarshalIndent(f.nodes[0].Status(f.Now), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return datagrams, status
}

// The datagrams and the status of three nodes that share everything stay the same, byte for byte.
func TestGoldenFleet(t *testing.T) {
	datagrams, status := recordFleet(t)
	all := wire.Message{} // the sections of all datagrams
	for _, m := range wiretest.CheckDatagrams(t, "fleet.hex", datagrams) {
		all.Updates, all.QuotaRequests, all.TrafficQuotaRequests = append(all.Updates, m.Updates...), append(all.QuotaRequests, m.QuotaRequests...), append(all.TrafficQuotaRequests, m.TrafficQuotaRequests...)
		all.QuotaGrants, all.Evidence, all.Counters = append(all.QuotaGrants, m.QuotaGrants...), append(all.Evidence, m.Evidence...), append(all.Counters, m.Counters...)
	}
	if len(all.Updates) == 0 || len(all.QuotaRequests) == 0 || len(all.TrafficQuotaRequests) == 0 || len(all.QuotaGrants) == 0 || len(all.Evidence) == 0 || len(all.Counters) == 0 {
		t.Errorf("a section is in no datagram: %d updates, %d and %d quota requests, %d quota grants, %d pieces of evidence, %d counters",
			len(all.Updates), len(all.QuotaRequests), len(all.TrafficQuotaRequests), len(all.QuotaGrants), len(all.Evidence), len(all.Counters))
	}
	if got, want := string(status)+"\n", string(goldentest.Read(t, "state.json")); got != want {
		t.Errorf("the status is\n%s\nwant\n%s", got, want)
	}
}
