package counters

import (
	"reflect"
	"testing"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
	"mintspring/internal/testbed/wiretest"
)

// runGoldenScript returns the messages of a node that has counters of all kinds and forwards those of another node.
func runGoldenScript() (sent []*wire.Message) {
	s := New(1, 4, 10_000)
	s.SetIncarnation(1, 0x0123456789ab0000)
	s.SetIncarnation(2, 0x0223456789ab0000)
	now := 1_000_000.0
	for step := range 20 {
		now += 100
		for kind := range uint8(kindCount) {
			key := Key{Kind: kind}
			if kind >= NodeKindCount {
				key.Label = 0x01020304 * uint32(kind)
			}
			s.Set(now, key, 1000*step+int(kind))
		}
		if step%4 == 1 {
			tag := cluster.Incarnation(0x0223456789ab0000).Tag()
			s.MergeCounters(now, &wire.Message{Counters: []wire.Counter{
				{Node: 2, IncarnationTag: tag, Seq: uint16(step), Kind: InFlight, Value: 5, AgeMs: 400},
				{Node: 2, IncarnationTag: tag, Seq: uint16(step + 1), Kind: KeyRate, Label: 99, Value: 70_000},
			}})
		}
		m := &wire.Message{Kind: wire.Gossip, From: 1, To: 2}
		s.AppendCounters(now, m)
		sent = append(sent, m)
	}
	return sent
}

// The datagrams with counters stay the same byte for byte.
func TestGoldenDatagrams(t *testing.T) {
	sent := runGoldenScript()
	kinds := map[uint8]bool{}
	for i, m := range wiretest.CheckDatagrams(t, "counts.hex", wiretest.Encode(sent)) {
		if !reflect.DeepEqual(m.Counters, labeledLast(sent[i].Counters)) {
			t.Fatalf("datagram %d is decoded as %+v, want %+v", i, m, sent[i])
		}
		for _, x := range m.Counters {
			kinds[x.Kind] = true
		}
	}
	if len(kinds) != kindCount {
		t.Errorf("the script covers kinds %v", kinds)
	}
}

// labeledLast returns counters in the order in which they are decoded: those with a label after those without.
func labeledLast(all []wire.Counter) (out []wire.Counter) {
	for _, labeled := range []bool{false, true} {
		for _, x := range all {
			if (x.Label != 0) == labeled {
				out = append(out, x)
			}
		}
	}
	return out
}
