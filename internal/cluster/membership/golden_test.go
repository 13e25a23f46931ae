package membership

import (
	"reflect"
	"testing"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
	"mintspring/internal/testbed/wiretest"
)

// runGoldenScript returns the messages that one node sends in a scripted sequence: pings, acks, indirect pings, its own suspicions and
// those of others, deaths and its own refutation, among nodes that answer, do not answer, are new or have restarted.
func runGoldenScript() (out []*wire.Message) {
	node := process{New(1_000_000, Config{Self: 1, MaxNodes: 6, ProbeIntervalMs: 500, ProbeTimeoutMs: 100, Seed: 42}, cluster.Incarnation(0x0123456789abcdef))}
	now := 1_000_000.0
	handle := func(m wire.Message) { out = append(out, node.Handle(now, &m)...) }
	handle(wire.Message{Kind: wire.Ping, From: 0, Incarnation: 5 << 16, To: 1, Seq: 9, Target: 1})
	handle(wire.Message{Kind: wire.Ping, From: 2, Incarnation: 6 << 16, To: 1, Seq: 10, Target: 1, Updates: []wire.MemberUpdate{
		{Node: 3, Incarnation: 7 << 16, Refutation: 2, State: wire.Alive},
		{Node: 4, Incarnation: 8 << 16, State: wire.Suspect, SuspectedBy: 2},
		{Node: 5, Incarnation: 9 << 16, State: wire.Dead, SuspectedBy: 3},
	}})
	handle(wire.Message{Kind: wire.IndirectPing, From: 0, Incarnation: 5 << 16, To: 1, Seq: 11, Target: 2})
	for step := range 500 {
		now += 20
		for _, m := range node.Tick(now) {
			out = append(out, m)
			if m.Kind == wire.Ping && (m.Target == 0 || m.Target == 2) {
				handle(wire.Message{Kind: wire.Ack, From: m.Target, Incarnation: cluster.Incarnation(5+m.Target/2) << 16, To: 1, Seq: m.Seq, Target: m.Target})
			}
		}
		switch step {
		case 50: // another node suspects this one, which refutes the suspicion
			handle(wire.Message{Kind: wire.Ping, From: 0, Incarnation: 5 << 16, To: 1, Seq: 12, Target: 1, Updates: []wire.MemberUpdate{{Node: 1, Incarnation: 0x0123456789abcdef, State: wire.Suspect, SuspectedBy: 2}}})
		case 100: // another process has this node's id
			handle(wire.Message{Kind: wire.Ping, From: 2, Incarnation: 6 << 16, To: 1, Seq: 13, Target: 1, Updates: []wire.MemberUpdate{{Node: 1, Incarnation: 0x0223456789abcdef, State: wire.Alive}}})
		}
	}
	return out
}

// The datagrams of the membership protocol stay the same byte for byte.
func TestGoldenDatagrams(t *testing.T) {
	sent := runGoldenScript()
	states, kinds := map[wire.State]bool{}, map[wire.Kind]bool{}
	for i, m := range wiretest.CheckDatagrams(t, "membership.hex", wiretest.Encode(sent)) {
		if !reflect.DeepEqual(m, sent[i]) {
			t.Fatalf("datagram %d is decoded as %+v, want %+v", i, m, sent[i])
		}
		kinds[m.Kind] = true
		for _, update := range m.Updates {
			states[update.State] = true
		}
	}
	if len(kinds) != 3 || len(states) != 3 {
		t.Errorf("the script covers kinds %v and states %v", kinds, states)
	}
}
