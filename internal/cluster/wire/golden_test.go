package wire

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

	"mintspring/internal/testbed/goldentest"
)

// fullMessage has every field set and every section filled, and is as large as a datagram may be.
func fullMessage(kind Kind) *Message {
	return &Message{
		Kind: kind, Fleet: HashFleet("north"), From: 0x0102, Incarnation: 0x030405060708090a, To: 0x0b0c, Seq: 0x0d0e0f10, Target: 0x1112,
		Updates:              []MemberUpdate{{0x2021, 0x2223242526272829, 0x2a2b, Alive, 0x2c2d}, {0x3031, 0x3233343536373839, 0x3a3b, Suspect, 0x3c3d}},
		QuotaRequests:        []QuotaRequest{{0x40414243, 0x44454647, 0x48494a4b}, {0x50515253, 0x54555657, 0x58595a5b}},
		TrafficQuotaRequests: []QuotaRequest{{0x60616263, 0x64656667, 0x68696a6b}, {0x70717273, 0x74757677, 0x78797a7b}},
		QuotaGrants:          []QuotaGrant{{0x8081, 0x82838485, 0x86878889, 0x8a8b8c8d}, {0x9091, 0x92939495, 0x96979899, 0x9a9b9c9d}, {0xa0a1, 0xa2a3a4a5, 0xa6a7a8a9, 0xaaabacad}},
		Evidence: []Evidence{
			{0xb0b1, 0xb2b3b4b5, Healthy, 1, 0},
			{0xb6b7, 0xb8b9babb, Failing, 255, 25_500},
			{0xbcbd, 0xbebfc0c1, Duplicating, 7, 100},
			{0xc2c3, 0xc4c5c6c7, Failing, 9, 1200},
		},
		Counters: []Counter{
			{Node: 0xd0d1, IncarnationTag: 0xd2d3, Seq: 0xd4d5, Kind: 2, Value: 0xd6d7d8d9, AgeMs: 300},
			{Node: 0xdadb, IncarnationTag: 0xdcdd, Seq: 0xdedf, Kind: 1, Value: 0xe0e1e2e3, AgeMs: 25_500},
			{Node: 0xe4e5, IncarnationTag: 0xe6e7, Seq: 0xe8e9, Kind: 6, Label: 0xeaebeced, Value: 0xeeeff0f1},
			{Node: 0xf2f3, IncarnationTag: 0xf4f5, Seq: 0xf6f7, Kind: 3, Label: 0xf8f9fafb, Value: 0xfcfdfeff, AgeMs: 100},
		},
	}
}

// Messages are encoded and decoded as in the files, which version 1 of the format has written: each kind of datagram with all sections and
// with none, and each section alone.
func TestGoldenMessages(t *testing.T) {
	cases := map[string]*Message{}
	for kind, name := range map[Kind]string{Ping: "ping", Ack: "ack", IndirectPing: "indirect-ping", Gossip: "gossip"} {
		cases[name+"-full"] = fullMessage(kind)
		cases[name+"-bare"] = &Message{Kind: kind, Fleet: HashFleet("south"), From: 3, Incarnation: 1 << 40, To: 4, Seq: 77, Target: 5}
	}
	full := fullMessage(Gossip)
	for i, m := range []Message{
		{Updates: append(full.Updates, MemberUpdate{7, 8, 9, Dead, 10}, MemberUpdate{11, 12, 13, Unknown, 14})},
		{QuotaRequests: full.QuotaRequests},
		{TrafficQuotaRequests: full.TrafficQuotaRequests},
		{QuotaGrants: full.QuotaGrants},
		{Evidence: full.Evidence},
		{Counters: full.Counters[:2]},
		{Counters: full.Counters[2:]},
	} {
		m.Kind = Gossip
		cases[fmt.Sprintf("section-%d", i+1)] = &m
	}
	for name, m := range cases {
		got := m.Append(nil)
		want := goldentest.Read(t, name+".bin")
		if !bytes.Equal(got, want) {
			t.Errorf("%s is written as\n%x, want\n%x", name, got, want)
		}
		if read, err := Parse(want); err != nil || !reflect.DeepEqual(read, m) {
			t.Errorf("%s is read as %+v, %v, want %+v", name, read, err, m)
		}
	}
	if n := full.Size(); n != MaxSize {
		t.Errorf("the full message has %d bytes, want %d", n, MaxSize)
	}
	for name, want := range map[string]uint32{"": 0x4fd0bfc1, "north": 0x933c3875} {
		if got := HashName(name); got != want {
			t.Errorf("the name %q is %#x on the wire, want %#x", name, got, want)
		}
	}
}
