package replica

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"mintspring/internal/cluster/idempotency"
	"mintspring/internal/testbed/goldentest"
)

// Snapshot datagrams, and the status of a member on the admin port, must not change between versions: testdata/golden has those of an
// earlier version.
func TestGoldenBytes(t *testing.T) {
	part := snapshotPart{index: 1, count: 3, data: []byte("the second of three")}
	for name, d := range map[string]snapshotDatagram{
		"ask":  {snapshotRequestMagic, 1<<48 | 9, []byte{}},
		"part": {snapshotPartMagic, 1<<48 | 9, part.encode()},
	} {
		want := goldentest.Read(t, name+".bin")
		if got := d.encode(); !bytes.Equal(got, want) {
			t.Errorf("%s is encoded as %x, want %x", name, got, want)
		}
		if got, ok := decodeSnapshotDatagram(want); !ok || !reflect.DeepEqual(got, d) {
			t.Errorf("%s is decoded as %+v, %v; want %+v", name, got, ok, d)
		}
	}
	if got, ok := decodeSnapshotPart(part.encode()); !ok || !reflect.DeepEqual(got, part) {
		t.Errorf("a part is decoded as %+v, %v; want %+v", got, ok, part)
	}

	status := Status{
		Status: idempotency.Status{
			Self: 1, StorageIncarnation: 2 << 40, State: "holds", Records: 3, ByState: map[string]int{"done": 2, "out": 1}, Promises: 4, PromiseFloor: 5, GrantedClaims: 6, OpenProposals: 7,
			PendingRepairs: 8, CaughtUpWith: []idempotency.MemberID{0, 2}, ConsistentMs: 1500.5, UnresponsivePeers: []idempotency.MemberID{2}, Members: []idempotency.MemberStatus{{Member: 0, StorageIncarnation: 9}, {Member: 2, StorageIncarnation: 10}},
			Counts: idempotency.Counts{Claims: [5]int{1, 2, 3, 4, 5}, Settlements: 6, FailedSettlements: 7, BallotRetries: 8, RepairedRecords: 9, CorruptDatagrams: 10, ForeignReplicaSets: 11, ReceivedMessages: 12},
		},
		Group: "sales", DataDir: "/data/book", Syncs: 13, SyncedEntries: 14, LargestSync: 15,
	}
	want := goldentest.Read(t, "shown.json")
	got, err := json.MarshalIndent(status, "", "  ")
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("the status is encoded as\n%s, %v; want\n%s", got, err, want)
	}
	var decoded Status
	if err := json.Unmarshal(want, &decoded); err != nil || !reflect.DeepEqual(decoded, status) {
		t.Errorf("the status is decoded as %+v, %v; want %+v", decoded, err, status)
	}
}
