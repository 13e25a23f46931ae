package idempotency

import (
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Replicas of a key are in different zones if there are enough zones, and removing a member moves only its own keys.
func TestReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set ReplicaSet
		for i := range rapid.IntRange(3, 12).Draw(t, "members") {
			set.Members = append(set.Members, MemberID(i))
			set.Zones = append(set.Zones, string(rune('a'+i%3)))
		}
		key := NewKey("w", rapid.SliceOf(rapid.Byte()).Draw(t, "key"), nil)
		replicas := set.replicas(key, 3)
		zones := map[string]bool{}
		for _, m := range replicas {
			zones[set.Zones[m]] = true
		}
		if len(replicas) != 3 || len(zones) != 3 {
			t.Fatalf("%v are in the zones %v", replicas, zones)
		}
		removed := rapid.SampledFrom(set.Members).Draw(t, "gone")
		remaining := ReplicaSet{Zones: set.Zones, Members: slices.DeleteFunc(slices.Clone(set.Members), func(m MemberID) bool { return m == removed })}
		if !slices.Contains(replicas, removed) && !reflect.DeepEqual(remaining.replicas(key, 3), replicas) {
			t.Fatalf("%v became %v without %d", replicas, remaining.replicas(key, 3), removed)
		}
	})
}
