package operatorfile

import (
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"mintspring/internal/config/tomlfile"
)

// TestGolden checks that a file with every field, under the names of an earlier build, is read into the same values.
func TestGolden(t *testing.T) {
	duration := func(d time.Duration) tomlfile.Duration { return tomlfile.Duration(d) }
	number := 2
	want := &File{
		Log: &Log{Format: "text", Level: "info"},
		Connections: &Connections{
			MaxPerServer: 80, MaxPerOrigin: 200, MinPerServer: 1, Prewarm: true, OpensPerSecond: 40, StartOpensPerSecond: 10,
			StartFor: duration(20 * time.Second), IdleTimeout: duration(30 * time.Second), MaxAge: duration(10 * time.Minute),
			QueueTimeout: duration(60 * time.Millisecond), MaxQueue: 50,
		},
		Snapshot: &Snapshot{
			DataDir: "/var/lib/mintspring", Interval: duration(30 * time.Second), HalfLife: duration(10 * time.Minute),
			MaxAge: duration(24 * time.Hour),
		},
		Fleet: &Fleet{
			Name: "north", Listen: "10.0.0.4:7946", Peers: []string{"10.0.0.4:7946", "10.0.0.5:7946", "10.0.0.6:7946"},
			NodeNumber: &number, MaxNodes: 12, QuotaOwners: 3, Share: []string{"budgets", "judgements", "counts"}, ProbeInterval: duration(time.Second),
			Lease: duration(2 * time.Second), EvidenceTTL: duration(10 * time.Second),
		},
		Consensus: &Consensus{
			Name: "north", Members: []string{"10.0.0.4:7950", "10.0.0.5:7950", "10.0.0.6:7950"}, InitialMembers: 3, MemberNumber: 1,
			Generation: 2, Listen: "0.0.0.0:7950", DataDir: "/var/lib/mintspring/council", Lease: duration(2 * time.Second), PollInterval: duration(time.Second),
		},
		Idempotency: &Idempotency{
			Name: "north", Members: []string{"10.0.0.4:7960", "10.0.0.5:7960", "10.0.0.6:7960"}, MemberNumber: 1,
			Listen: "10.0.0.5:7961", DataDir: "/var/lib/mintspring/book", Replicas: []int{1, 2, 3}, PreviousReplicas: []int{2, 3},
			Zones: []string{"a", "b", "c"}, PreviousZones: []string{"a", "a", "b"}, ReplicationFactor: 3, RequestClasses: []string{"credit-sale"},
			NoQuorum: map[string]string{"credit-sale": "refuse"}, Retention: duration(10 * time.Minute), ClaimTimeout: duration(200 * time.Millisecond),
			CommitTimeout: duration(200 * time.Millisecond), RetryInterval: duration(20 * time.Millisecond), AntiEntropyInterval: duration(30 * time.Second), MaxRepairsPerSecond: 2000,
			MaxRecords: 100000, MaxReceiptBytes: 1024, MaxDiskMB: 1024,
		},
	}
	got, err := Read(filepath.Join("testdata", "golden", "operator.toml"))
	if err != nil {
		t.Fatal(err)
	}
	deprecated := got.Deprecated
	got.Deprecated = nil
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v, want %+v", got, want)
		a, b := reflect.ValueOf(*got), reflect.ValueOf(*want)
		for i := range a.NumField() {
			t.Logf("%+v, want %+v", a.Field(i).Elem(), b.Field(i).Elem())
		}
	}
	// The file uses every old name, so that each alias is tested.
	var gotNames []string
	for _, d := range deprecated {
		gotNames = append(gotNames, d.New)
	}
	var wantNames []string
	for _, a := range aliases {
		wantNames = append(wantNames, strings.TrimPrefix(a.Table+"."+a.New, "."))
	}
	slices.Sort(gotNames)
	slices.Sort(wantNames)
	if !slices.Equal(gotNames, wantNames) {
		t.Errorf("the file has old names of %v, want those of %v", gotNames, wantNames)
	}
}
