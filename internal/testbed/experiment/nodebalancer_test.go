package experiment

import "testing"

// pickSix picks six times, and returns how often each of three nodes was picked and how many nodes were to be probed.
func pickSix(b *NodeBalancer, nowMs float64, hasConnection func(node int) bool) (picks [3]int, probes int) {
	for range 6 {
		node, probe := b.Pick(nowMs, hasConnection)
		picks[node]++
		probes += len(probe)
	}
	return picks, probes
}

// A dead node is picked until that is noticed, is then probed, and one in standby is picked only for connections that are open.
func TestNodeBalancer(t *testing.T) {
	b := NewNodeBalancer(3, 1000, nil)
	noConnections := func(int) bool { return false }
	b.MarkFailed(0, 1)
	if picks, probes := pickSix(b, 900, noConnections); picks[1] != 2 || probes != 0 {
		t.Errorf("before the failure is noticed: picks %v, %d probes", picks, probes)
	}
	if picks, probes := pickSix(b, 1000, noConnections); picks[1] != 0 || probes != 1 {
		t.Errorf("once it is: picks %v, %d probes", picks, probes)
	}
	b.RecordProbe(1, false)
	if _, probes := pickSix(b, 1100, noConnections); probes != 1 {
		t.Errorf("after a probe that failed: %d probes", probes)
	}
	b.RecordProbe(1, true)
	if picks, _ := pickSix(b, 1200, noConnections); picks[1] != 2 {
		t.Errorf("once the node is back: picks %v", picks)
	}
	b.SetStandby(2, true)
	if picks, _ := pickSix(b, 1300, noConnections); picks[2] != 0 {
		t.Errorf("in standby: picks %v", picks)
	}
	if picks, _ := pickSix(b, 1300, func(node int) bool { return node == 2 }); picks[2] == 0 {
		t.Errorf("in standby, with an open connection: picks %v", picks)
	}
}
