package ringcache

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/controlplane/wire"
	"mintspring/internal/fleet"
	"mintspring/internal/testbed/goldentest"
)

// TestGolden decodes ring parts that an earlier build encoded, and checks that the ring, digest, versions, owners and lease equal those of
// that build.
func TestGolden(t *testing.T) {
	parts := map[string][]byte{}
	for _, name := range []string{"head", "near/0000", "servers/0000", "whole/0000"} {
		file := "Part-boxes-" + strings.ReplaceAll(name, "/", "-") + ".pb"
		body := goldentest.Read(t, file)
		parts["boxes/"+name] = body
	}
	c := New("boxes")
	if applied, err := c.Apply(Update{Complete: true, Parts: parts}); !applied || err != nil {
		t.Fatal(applied, err)
	}
	version, _ := c.Version()
	got := fmt.Sprintf("view %v digest %016x\n", version, c.Digest())
	versions := c.Versions()
	for _, name := range slices.Sorted(maps.Keys(versions)) {
		got += fmt.Sprintf("version %s %s\n", name, versions[name])
	}
	for _, s := range c.Servers() {
		got += fmt.Sprintf("server %d %s %s %q state %d started %.0f arc %.9f near %.9f\n", s.Slot, s.ID, s.Addr, s.Zone, s.State, s.StartedAtMs,
			c.Arcs()[s.Slot], c.ZoneArcs()[s.Slot])
	}
	for k := range 64 {
		key := fleet.Key(uint64(k) * 0x9e3779b97f4a7c15)
		got += fmt.Sprintf("key %016x %s\n", uint64(key), c.Owner(key).ID)
	}
	c.RecordLeaseRequest(1000, "1abc-7")
	c.ApplyLease(&wire.Lease{Asked: "1abc-7", Epoch: version.Epoch, Out: 40, LengthMs: 400, ListAgeMs: 1500})
	got += fmt.Sprintf("live %v %v list age %.0f\n", c.Usable(1399.9), c.Usable(1400), c.ListAgeMs())
	want := goldentest.Read(t, "ring.txt")
	if got != string(want) {
		t.Errorf("the ring is decoded as\n%s\nwant\n%s", got, want)
	}
	if version != (snapshot.Version{Epoch: 1_700_000_000_123, Sequence: 42}) {
		t.Errorf("snapshot %v", version)
	}
}
