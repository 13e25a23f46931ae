package outlier

import (
	"reflect"
	"testing"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
	"mintspring/internal/testbed/wiretest"
)

// goldenScript returns the messages of one node that reaches each verdict by its own traffic and passes on evidence from other nodes.
func goldenScript() (sent []*wire.Message) {
	d := New(Config{Self: 1, MaxNodes: 20, TTLMs: ttlMs})
	d.SetServerCount(12)
	now := 1_000_000.0
	for step := range 30 {
		now += 200
		for server := range uint32(4) {
			d.Observe(now, 1000+server, server < 2 && step < 10)
		}
		switch step {
		case 3:
			d.ObserveDuplicate(now, 1003)
		case 5, 20:
			d.MergeEvidence(now, &wire.Message{Evidence: []wire.Evidence{
				{Source: 4, Server: 1005, Verdict: wire.Failing, Attempts: 9, AgeMs: 300},
				{Source: 5, Server: 1005, Verdict: wire.Failing, Attempts: 200},
				{Source: 6, Server: 1006, Verdict: wire.Duplicating, Attempts: 1, AgeMs: 9000},
				{Source: 7, Server: 1007, Verdict: wire.Healthy, Attempts: 3, AgeMs: 500},
			}})
		case 12:
			d.Forget(1000)
		}
		d.Tick(now, 12)
		m := &wire.Message{Kind: wire.Gossip, From: 1, To: cluster.NodeID(2 + step%5)}
		d.AppendEvidence(now, m, 3, 12)
		sent = append(sent, m)
	}
	return sent
}

// The encoding of evidence must not change.
func TestGoldenDatagrams(t *testing.T) {
	sent := goldenScript()
	verdicts := map[wire.Verdict]bool{}
	for i, m := range wiretest.CheckDatagrams(t, "opinions.hex", wiretest.Encode(sent)) {
		if !reflect.DeepEqual(m, sent[i]) {
			t.Fatalf("datagram %d is decoded as %+v, want %+v", i, m, sent[i])
		}
		for _, e := range m.Evidence {
			verdicts[e.Verdict] = true
		}
	}
	if len(verdicts) != 3 {
		t.Errorf("the script covers verdicts %v, want 3", verdicts)
	}
}
