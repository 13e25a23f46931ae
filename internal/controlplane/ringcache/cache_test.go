package ringcache

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/controlplane/wire"
	"mintspring/internal/fleet"
	"mintspring/internal/testbed/seededtest"
)

func TestMain(m *testing.M) { seededtest.Main(m) }

// testingT is the common part of *testing.T and *rapid.T that the helpers use.
type testingT interface {
	Helper()
	Fatal(args ...any)
}

// testParts returns the encoded ring parts of a snapshot with the given number of servers. Every point is shifted by the same fraction of
// an arc.
func testParts(t testingT, builder *snapshot.Builder, sequence uint64, servers int, shift float64) map[string][]byte {
	t.Helper()
	input := &snapshot.Input{Cluster: "boxes"}
	for i := range servers {
		slot := fleet.ServerID(i)
		input.Servers = append(input.Servers, snapshot.Server{Slot: slot, ID: fmt.Sprint("s", i), Addr: "127.0.0.1:1", State: fleet.Ready})
		input.Ring = append(input.Ring, fleet.RingPoint{ID: slot, Position: (float64(i) + shift) / float64(servers), CapacityShare: 1})
	}
	built, err := builder.Build(snapshot.Version{Epoch: 5, Sequence: sequence}, sequence, input)
	if err != nil {
		t.Fatal(err)
	}
	parts := map[string][]byte{}
	for _, resource := range built.Resources(snapshot.RingPartType).Items {
		parts[resource.Name] = resource.Body.Value
	}
	return parts
}

// applyAll applies a complete snapshot and fails the test if it is not applied.
func applyAll(t testingT, c *Cache, parts map[string][]byte) {
	t.Helper()
	if applied, err := c.Apply(Update{Complete: true, Parts: parts}); !applied || err != nil {
		t.Fatal(applied, err)
	}
}

// applyInPieces applies the parts of a snapshot one by one in map order, and stops halfway if the rest is lost. After each part it checks
// that the owner of the key is the owner in one of the snapshots that were built.
func applyInPieces(t *rapid.T, c *Cache, parts map[string][]byte, lost bool, key fleet.Key, owners map[string]bool) {
	t.Helper()
	var removed []string
	for name := range c.parts {
		if _, kept := parts[name]; !kept {
			removed = append(removed, name)
		}
	}
	count := 0
	for name, body := range parts {
		if count++; lost && count > len(parts)/2 {
			break
		}
		if _, err := c.Apply(Update{Parts: map[string][]byte{name: body}, Removed: removed}); err != nil {
			t.Fatal(err)
		}
		removed = nil
		got := ""
		if owner := c.Owner(key); owner != nil {
			got = fmt.Sprint(c.current.version.Sequence, owner.ID)
		}
		if !owners[got] {
			t.Fatalf("owner %q differs from the owners in all snapshots that were built: %v", got, owners)
		}
	}
}

// TestSnapshotsAreAppliedComplete checks that a snapshot whose parts arrive in any order is applied once it is complete, and that no mix of
// parts of different snapshots is ever applied.
func TestSnapshotsAreAppliedComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var builder snapshot.Builder
		c := New("boxes")
		owners := map[string]bool{"": true}
		key := fleet.Key(12345)
		for i := range uint64(rapid.IntRange(1, 6).Draw(t, "snapshots")) {
			sequence := i + 1
			servers := rapid.IntRange(1, 200).Draw(t, "servers")
			parts := testParts(t, &builder, sequence, servers, rapid.Float64Range(0, 0.9).Draw(t, "shift"))
			reference := New("boxes")
			applyAll(t, reference, parts)
			owners[fmt.Sprint(sequence, reference.Owner(key).ID)] = true
			lost := rapid.Bool().Draw(t, "lost") // the rest of this snapshot never arrives
			applyInPieces(t, c, parts, lost, key, owners)
			if !lost && (c.current == nil || c.current.version.Sequence != sequence) {
				t.Fatalf("snapshot %d is complete but not applied", sequence)
			}
		}
	})
}

// TestCorruptParts checks that the previous snapshot stays in use if a response with corrupt parts is not applied, and that a lookup of
// owners never panics.
func TestCorruptParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var builder snapshot.Builder
		c := New("boxes")
		parts := testParts(t, &builder, 3, 70, 0.5)
		applyAll(t, c, parts)
		corrupt := map[string][]byte{}
		for name, body := range parts {
			body = slices.Clone(body)
			for range rapid.IntRange(0, 3).Draw(t, "corruptions") {
				body[rapid.IntRange(0, len(body)-1).Draw(t, "index")] ^= byte(rapid.IntRange(1, 255).Draw(t, "mask"))
			}
			corrupt[name] = body
		}
		before := c.Digest()
		applied, err := c.Apply(Update{Complete: rapid.Bool().Draw(t, "complete"), Parts: corrupt})
		if !applied && c.Digest() != before || applied && err != nil {
			t.Fatal(applied, err)
		}
		for k := range 20 {
			c.Owner(fleet.Key(fleet.Mix(uint64(k))))
		}
	})
}

// TestOlderSnapshotIsRejected checks that an older snapshot is rejected, except after ForgetVersion.
func TestOlderSnapshotIsRejected(t *testing.T) {
	var builder snapshot.Builder
	c := New("boxes")
	applyAll(t, c, testParts(t, &builder, 7, 3, 0))
	older := testParts(t, &builder, 6, 2, 0)
	if _, err := c.Apply(Update{Complete: true, Parts: older}); !errors.Is(err, ErrOlderSnapshot) || len(c.Servers()) != 3 {
		t.Errorf("%v, %d servers", err, len(c.Servers()))
	}
	c.ForgetVersion()
	applyAll(t, c, older)
}

// TestLease checks that a lease starts when its request was sent, covers snapshots from its minimum sequence on, and is ignored if it
// matches no remembered request.
func TestLease(t *testing.T) {
	var builder snapshot.Builder
	c := New("boxes")
	applyAll(t, c, testParts(t, &builder, 7, 3, 0))
	grant := func(name string, epoch, minSequence uint64) {
		c.ApplyLease(&wire.Lease{Asked: name, Epoch: epoch, Out: minSequence, LengthMs: 400})
	}
	checkUsable := func(now float64, want bool) {
		t.Helper()
		if c.Usable(now) != want {
			t.Errorf("usable at %v: %v", now, !want)
		}
	}
	checkUsable(0, false)
	grant("never requested", 5, 1)
	checkUsable(0, false)
	c.RecordLeaseRequest(1000, "a")
	c.RecordLeaseRequest(1100, "b")
	grant("a", 5, 7) // the time of arrival does not matter
	checkUsable(1399, true)
	checkUsable(1400, false)
	grant("b", 5, 7)
	grant("a", 5, 2) // arrives after the lease of a later request
	checkUsable(1499, true)
	checkUsable(1500, false)
	c.RecordLeaseRequest(1500, "c")
	grant("c", 5, 8) // snapshot 8, in which a server was taken out of service, has not arrived yet
	checkUsable(1501, false)
	applyAll(t, c, testParts(t, &builder, 8, 2, 0))
	checkUsable(1501, true)
	c.RecordLeaseRequest(1600, "d")
	grant("d", 6, 1) // another control-plane process, whose snapshots have not arrived yet
	checkUsable(1601, false)
	for i := range maxLeaseRequests {
		c.RecordLeaseRequest(2000, fmt.Sprint("later", i))
	}
	grant("d", 5, 1) // no longer remembered
	checkUsable(1601, false)
}
