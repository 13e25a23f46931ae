package wire

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"mintspring/internal/testbed/goldentest"
)

// TestGolden compares the encoding and the decoding of every message with bytes written by an earlier build.
func TestGolden(t *testing.T) {
	head := &Head{Epoch: 1_700_000_000_123, Number: 42, Out: 40, NearShare: 0.375, Zone: "north", Parts: []*Digest{
		{Name: "boxes/servers/0000", Digest: 0x0123456789abcdef}, {Name: "boxes/whole/0000", Digest: 0xfedcba9876543210},
	}}
	servers := &Servers{Servers: []*Server{
		{Place: 0, Id: "s0", Address: "10.0.0.1:7000", Zone: "north", State: State_READY, Started: 1_700_000_000_000},
		{Place: 3, Id: "s3", Address: "[::1]:7003", Zone: "south", State: State_DRAINING},
		{Place: 300, Id: "s300", Address: "10.0.0.9:7000", State: State_GONE},
	}}
	whole := &Points{Circle: Circle_WHOLE, Points: []*Point{{Place: 0, At: 0.125}, {Place: 300, At: 0.75, Part: 0.03125}}}
	near := &Points{Circle: Circle_NEAR, Points: []*Point{{Place: 0, At: 0.125}}}
	for _, c := range []struct {
		file    string
		message proto.Message
	}{
		{"part-head", &Part{Kind: &Part_Head{Head: head}}},
		{"part-servers", &Part{Kind: &Part_Servers{Servers: servers}}},
		{"part-points-whole", &Part{Kind: &Part_Points{Points: whole}}},
		{"part-points-near", &Part{Kind: &Part_Points{Points: near}}},
		{"lease", &Lease{Asked: "1abc-7", Epoch: 1_700_000_000_123, Out: 40, LengthMs: 400, ListAgeMs: 1500}},
	} {
		t.Run(c.file, func(t *testing.T) { goldentest.CheckProto(t, c.file+".pb", c.message) })
	}
}
