package replica

import (
	"bytes"
	"reflect"
	"testing"

	"mintspring/internal/cluster/consensus"
	"mintspring/internal/cluster/lease"
	"mintspring/internal/testbed/goldentest"
)

// Programs of different versions exchange datagrams in this encoding, so the bytes must not change. The golden files of consensus messages (kind 'R')
// are in the package consensus.
func TestGoldenDatagrams(t *testing.T) {
	process := lease.Process{Node: 1, Incarnation: 0x18bcfe56800abcd}
	for _, tc := range []struct {
		file  string
		kind  byte
		value any
	}{
		{"call.bin", kindCommand, commandMessage{RequestID: 5, Command: lease.Command{Kind: lease.KindAcquire, Name: "roll", Process: process, TTLMillis: 15000}}},
		{"answer.bin", kindResult, resultMessage{RequestID: 5, Incarnation: uint64(process.Incarnation), Result: lease.Result{OK: true, Token: 9, Holder: process, Held: true, TTLMillis: 15000, Revision: 4, Progress: []byte("{}")}}},
		{"take-in.bin", kindReplaceReplica, consensus.NewReplicaID(2, 1)},
		{"add.bin", kindChangeMembership, membershipMessage{ID: consensus.NewReplicaID(4, 0)}},
		{"drop.bin", kindChangeMembership, membershipMessage{ID: consensus.NewReplicaID(4, 0), Remove: true}},
	} {
		want := goldentest.Read(t, tc.file)
		if got, err := encodeDatagram(tc.kind, tc.value); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s: encoded as %q, %v; want %q", tc.file, got, err, want)
		}
		decoded := reflect.New(reflect.TypeOf(tc.value))
		if err := decodeDatagram(want, decoded.Interface()); err != nil || !reflect.DeepEqual(decoded.Elem().Interface(), tc.value) {
			t.Errorf("%s: decoded as %+v, %v; want %+v", tc.file, decoded.Elem(), err, tc.value)
		}
	}
	for kind, want := range map[byte]byte{kindConsensus: 'R', kindCommand: 'C', kindResult: 'A', kindReplaceReplica: 'T', kindChangeMembership: 'V'} {
		if kind != want {
			t.Errorf("datagram kind is %q, want %q", kind, want)
		}
	}
}
