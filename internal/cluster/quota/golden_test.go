package quota

import (
	"reflect"
	"testing"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
	"mintspring/internal/testbed/wiretest"
)

// goldenScript returns the messages and the allowances of three nodes that borrow from one another, from a budget of fixed size and from one
// whose quotas follow from traffic.
func goldenScript() (sent []*wire.Message, allowances []Allowance) {
	var ledgers [3]*Ledger
	for i := range ledgers {
		ledgers[i] = New(1000, Config{Self: cluster.NodeID(i), QuotaOwners: 2, MaxNodes: 3, LeaseMs: leaseMs}, cluster.Incarnation(0x0011223344550000+i))
	}
	for now := 1000.0 + 2*leaseMs; now < 1000+5*leaseMs; now += 0.4 * leaseMs {
		for i, ledger := range ledgers {
			ledger.SetDemand(now, 7, []float64{0.7, 0.1, 0.3}[i])
			ledger.SetTrafficQuota(now, 8, []float64{0.01, 0.02, 0.005}[i], []float64{0, 0.05, 0.001}[i])
			for _, r := range ledger.Tick(now, allMembers) {
				m := &wire.Message{Kind: wire.Gossip, From: cluster.NodeID(i), To: r.To, QuotaRequests: []wire.QuotaRequest{r.QuotaRequest}}
				if r.FromTraffic {
					m.QuotaRequests, m.TrafficQuotaRequests = nil, m.QuotaRequests
				}
				grant := ledgers[r.To].HandleRequest(now, m.From, cluster.Incarnation(0x0011223344550000+i), r.FromTraffic, r.QuotaRequest)
				ledger.HandleGrant(now+10, r.To, grant)
				sent = append(sent, m, &wire.Message{Kind: wire.Gossip, From: r.To, To: m.From, QuotaGrants: []wire.QuotaGrant{grant}})
			}
			allowances = append(allowances, ledger.Allowance(now, 7), ledger.Allowance(now, 8))
		}
	}
	return sent, allowances
}

// The encoding of lease requests and grants must not change.
func TestGoldenDatagrams(t *testing.T) {
	sent, allowances := goldenScript()
	granted := 0
	for i, m := range wiretest.CheckDatagrams(t, "loans.hex", wiretest.Encode(sent)) {
		if !reflect.DeepEqual(m, sent[i]) {
			t.Fatalf("datagram %d is decoded as %+v, want %+v", i, m, sent[i])
		}
		for _, grant := range m.QuotaGrants {
			granted += int(grant.Units)
		}
	}
	borrowed := 0.0
	for _, allowance := range allowances {
		borrowed += allowance.borrowedShare(0)
	}
	if granted == 0 || borrowed == 0 {
		t.Errorf("the script grants %d units and %.3f of a budget are borrowed, want more than 0", granted, borrowed)
	}
}
