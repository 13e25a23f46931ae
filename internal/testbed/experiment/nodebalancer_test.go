package experiment

import "testing"

// pickSixTimes returns how often each of three nodes is picked in six calls of Pick, and how many probes the calls request.
func pickSixTimes(b *NodeBalancer, nowMs float64, hasConnection func(node int) bool) (picks [3]int, probes int) {
	for range 6 {
		node, probe := b.Pick(nowMs, hasConnection)
		picks[node]++
		probes += len(probe)
	}
	return picks, probes
}

// A dead node is picked until its failure is detected, and is then probed until it is back. A node on standby is picked only for open
// connections.
func TestNodeBalancer(t *testing.T) {
	b := NewNodeBalancer(3, 1000, nil)
	noConnections := func(int) bool { return false }
	b.MarkFailed(0, 1)
	if picks, probes := pickSixTimes(b, 900, noConnections); picks[1] != 2 || probes != 0 {
		t.Errorf("before the failure is detected: picks %v, %d probes", picks, probes)
	}
	if picks, probes := pickSixTimes(b, 1000, noConnections); picks[1] != 0 || probes != 1 {
		t.Errorf("after the failure is detected: picks %v, %d probes", picks, probes)
	}
	b.RecordProbe(1, false)
	if _, probes := pickSixTimes(b, 1100, noConnections); probes != 1 {
		t.Errorf("after a failed probe: %d probes", probes)
	}
	b.RecordProbe(1, true)
	if picks, _ := pickSixTimes(b, 1200, noConnections); picks[1] != 2 {
		t.Errorf("after the node is back: picks %v", picks)
	}
	b.SetStandby(2, true)
	if picks, _ := pickSixTimes(b, 1300, noConnections); picks[2] != 0 {
		t.Errorf("on standby: picks %v", picks)
	}
	if picks, _ := pickSixTimes(b, 1300, func(node int) bool { return node == 2 }); picks[2] == 0 {
		t.Errorf("on standby, with an open connection: picks %v", picks)
	}
}
