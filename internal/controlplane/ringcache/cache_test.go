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

// fatal is what helpers of tests and of rapid's checks need.
type fatal interface {
	Helper()
	Fatal(args ...any)
}

// testParts returns the encoded ring parts of a snapshot of some servers, whose points are adjusted by a fraction of an arc.
func testParts(t fatal, b *snapshot.Builder, sequence uint64, servers int, adjusted float64) map[string][]byte {
	t.Helper()
	input := &snapshot.Input{Cluster: "boxes"}
	for i := range servers {
		slot := fleet.ServerID(i)
		input.Servers = append(input.Servers, snapshot.Server{Slot: slot, ID: fmt.Sprint("s", i), Addr: "127.0.0.1:1", State: fleet.Ready})
		input.Ring = append(input.Ring, fleet.RingPoint{ID: slot, Position: (float64(i) + adjusted) / float64(servers), CapacityShare: 1})
	}
	built, err := b.Build(snapshot.Version{Epoch: 5, Sequence: sequence}, sequence, input)
	if err != nil {
		t.Fatal(err)
	}
	parts := map[string][]byte{}
	for _, resource := range built.Resources(snapshot.RingPartType).Items {
		parts[resource.Name] = resource.Body.Value
	}
	return parts
}

// applyAll applies a complete snapshot, which has to succeed.
func applyAll(t fatal, c *Cache, parts map[string][]byte) {
	t.Helper()
	if applied, err := c.Apply(Update{Complete: true, Parts: parts}); !applied || err != nil {
		t.Fatal(applied, err)
	}
}

// applyInPieces applies the parts of a snapshot one by one, in any order, and stops half way if the rest is lost. After each one the
// owner of a key has to be that of a snapshot that was built.
func applyInPieces(t *rapid.T, c *Cache, parts map[string][]byte, lost bool, key fleet.Key, owners map[string]bool) {
	t.Helper()
	var removed []string
	for name := range c.parts {
		if _, stays := parts[name]; !stays {
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
			got = fmt.Sprint(c.ring.version.Sequence, owner.ID)
		}
		if !owners[got] {
			t.Fatalf("owner %q is of no snapshot that was built: %v", got, owners)
		}
	}
}

// TestSnapshotsAreAppliedComplete checks that parts which arrive in any order and in any pieces are applied once a snapshot is complete,
// and nothing else ever is.
func TestSnapshotsAreAppliedComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b snapshot.Builder
		c := New("boxes")
		owners := map[string]bool{"": true}
		key := fleet.Key(12345)
		for i := range uint64(rapid.IntRange(1, 6).Draw(t, "snapshots")) {
			sequence := i + 1
			servers := rapid.IntRange(1, 200).Draw(t, "servers")
			parts := testParts(t, &b, sequence, servers, rapid.Float64Range(0, 0.9).Draw(t, "adjusted"))
			complete := New("boxes")
			applyAll(t, complete, parts)
			owners[fmt.Sprint(sequence, complete.Owner(key).ID)] = true
			lost := rapid.Bool().Draw(t, "lost") // the rest of this snapshot never arrives
			applyInPieces(t, c, parts, lost, key, owners)
			if !lost && (c.ring == nil || c.ring.version.Sequence != sequence) {
				t.Fatalf("snapshot %d is complete and not applied", sequence)
			}
		}
	})
}

// TestCorruptParts checks that corrupt parts are rejected or held back, and that the applied snapshot stays.
func TestCorruptParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b snapshot.Builder
		c := New("boxes")
		parts := testParts(t, &b, 3, 70, 0.5)
		applyAll(t, c, parts)
		corrupt := map[string][]byte{}
		for name, body := range parts {
			body = slices.Clone(body)
			for range rapid.IntRange(0, 3).Draw(t, "flips") {
				body[rapid.IntRange(0, len(body)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "with"))
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
	var b snapshot.Builder
	c := New("boxes")
	applyAll(t, c, testParts(t, &b, 7, 3, 0))
	older := testParts(t, &b, 6, 2, 0)
	if _, err := c.Apply(Update{Complete: true, Parts: older}); !errors.Is(err, ErrOlderSnapshot) || len(c.Servers()) != 3 {
		t.Errorf("%v, %d servers", err, len(c.Servers()))
	}
	c.ForgetVersion()
	applyAll(t, c, older)
}

// TestLease checks that a lease counts from its request, covers snapshots from its minimum sequence on, and is ignored without a request.
func TestLease(t *testing.T) {
	var b snapshot.Builder
	c := New("boxes")
	applyAll(t, c, testParts(t, &b, 7, 3, 0))
	grant := func(name string, epoch, minSequence uint64) {
		c.ApplyLease(&wire.Lease{Asked: name, Epoch: epoch, Out: minSequence, LengthMs: 400})
	}
	usable := func(now float64, want bool) {
		t.Helper()
		if c.Usable(now) != want {
			t.Errorf("usable at %v: %v", now, !want)
		}
	}
	usable(0, false)
	grant("never requested", 5, 1)
	usable(0, false)
	c.RecordLeaseRequest(1000, "a")
	c.RecordLeaseRequest(1100, "b")
	grant("a", 5, 7) // however late it arrives
	usable(1399, true)
	usable(1400, false)
	grant("b", 5, 7)
	grant("a", 5, 2) // overtaken by a later lease
	usable(1499, true)
	usable(1500, false)
	c.RecordLeaseRequest(1500, "c")
	grant("c", 5, 8) // a server was taken out of service in snapshot 8, which has not arrived
	usable(1501, false)
	applyAll(t, c, testParts(t, &b, 8, 2, 0))
	usable(1501, true)
	c.RecordLeaseRequest(1600, "d")
	grant("d", 6, 1) // another process, whose snapshots have not arrived
	usable(1601, false)
	for i := range maxLeaseRequests {
		c.RecordLeaseRequest(2000, fmt.Sprint("later", i))
	}
	grant("d", 5, 1) // no longer remembered
	usable(1601, false)
}
