package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"

	"mintspring/internal/fleet"
)

func testState(servers int) *State {
	s := &State{
		TakenAt: 1000, PolicyFingerprint: 7, Node: "n1", Zone: "a",
		Global: fleet.Snapshot{
			Trust: 0, KeySum: 40, OriginWindow: 3, OriginResponseTime: 20, Util: 0.4, ZoneShare: 0.9,
			Keys: []fleet.KeyCount{{Bucket: 3, Count: 12.5}, {Bucket: 2047, Count: 2}},
		},
	}
	for i := range servers {
		s.Servers = append(s.Servers, Server{fmt.Sprint("s", i), fleet.ServerSnapshot{
			StartedAt: float64(i), ShedArcShare: 0.1, AdjustmentStep: 0.2,
			TimePerQueued: 12, ResponseTime: 30, RequestsAhead: 1, Failures: 0.2, Backoff: 500, HitRatio: 0.8, QueuePeak: 4, LastResponseAt: 990,
		}})
	}
	return s
}

func TestRoundTrip(t *testing.T) {
	s := testState(3)
	got, err := Parse(Append(nil, s))
	if err != nil || !reflect.DeepEqual(got, s) {
		t.Errorf("%+v, %v", got, err)
	}
	if n := len(Append(nil, testState(1000))); n > 200_000 {
		t.Errorf("%d bytes for a thousand servers", n)
	}
}

// TestCorruption flips each bit, and truncates the snapshot at each byte.
func TestCorruption(t *testing.T) {
	b := Append(nil, testState(2))
	for i := range b {
		for bit := range 8 {
			b[i] ^= 1 << bit
			if _, err := Parse(b); err == nil {
				t.Fatalf("bit %d of byte %d flipped is not detected", bit, i)
			}
			b[i] ^= 1 << bit
		}
		if _, err := Parse(b[:i]); err == nil {
			t.Fatalf("truncation to %d bytes is not detected", i)
		}
	}
	b[4]++
	if _, err := Parse(b); !errors.Is(err, ErrVersion) {
		t.Errorf("another version: %v", err)
	}
	bad := testState(1)
	bad.Servers[0].TimePerQueued = math.NaN()
	if _, err := Parse(Append(nil, bad)); !errors.Is(err, ErrCorrupt) {
		t.Errorf("NaN as a value: %v", err)
	}
}

func TestAssess(t *testing.T) {
	config := Config{HalfLife: 600e3, MaxAge: 86400e3, PolicyFingerprint: 7, Node: "n1", Zone: "a"}
	otherPolicy, otherNode, otherZone := config, config, config
	otherPolicy.PolicyFingerprint, otherNode.Node, otherZone.Zone = 8, "n2", "b"
	unchanged := []CurrentServer{{"s0", 0, true}, {"s1", 1, true}}
	for _, c := range []struct {
		name           string
		now            float64
		config         Config
		servers        []CurrentServer
		global, s0, s1 float64
		reason         string
	}{
		{"at once", 1000, config, unchanged, 1, 1, 1, ""},
		{"a half-life ago", 601e3, config, unchanged, 0.5, 0.5, 0.5, ""},
		{"over the maximum age", 90000e3, config, unchanged, 0, 0, 0, "s old"},
		{"small clock skew", 500, config, unchanged, 1, 1, 1, ""},
		{"from the future", -60e3, config, unchanged, 0, 0, 0, "future"},
		{"one restarted", 1000, config, []CurrentServer{{"s0", 0, true}, {"s1", 9, true}}, 0.5, 0.5, 0, "1 of 2 servers are the same"},
		{"one is gone", 1000, config, unchanged[:1], 0.5, 0.5, 0, "1 of 2"},
		{"one is draining", 1000, config, []CurrentServer{{"s0", 0, true}, {"s1", 1, false}}, 0.5, 0.5, 0, "1 of 2"},
		{"two more", 1000, config, append([]CurrentServer{{"x", 0, true}, {"y", 0, true}}, unchanged...), 0.5, 0.5, 0.5, "2 of 4"},
		{"another policy", 1000, otherPolicy, unchanged, 0, 0, 0, "another decision module"},
		{"another node", 1000, otherNode, unchanged, 0.5, 0.5, 0.5, `node "n1"`},
		{"another zone", 1000, otherZone, unchanged, 0, 0, 0, `zone "a"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := testState(2).Assess(c.now, c.config, c.servers)
			for _, v := range []struct {
				name      string
				got, want float64
			}{{"global", got.Global, c.global}, {"s0", got.Servers["s0"], c.s0}, {"s1", got.Servers["s1"], c.s1}} {
				if math.Abs(v.got-v.want) > 1e-3 {
					t.Errorf("trust of %s is %v, want %v", v.name, v.got, v.want)
				}
			}
			if reasons := strings.Join(got.Reasons, "; "); !strings.Contains(reasons, c.reason) {
				t.Errorf("reasons %q, want %q", reasons, c.reason)
			}
		})
	}
}

// FuzzParse checks that Parse neither panics nor exceeds the limits, and accepts only what Append writes.
func FuzzParse(f *testing.F) {
	f.Add(Append(nil, testState(3)))
	f.Add(Append(nil, &State{}))
	f.Add([]byte("mslt"))
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, encoded := range [][]byte{b, withHeader(b)} {
			s, err := Parse(encoded)
			if err == nil && (len(s.Servers) > maxServers || len(s.Global.Keys) > maxKeys) {
				t.Fatal("the limits are exceeded")
			}
			if err == nil && len(Append(nil, s)) != len(encoded) {
				t.Fatal("re-encoding changes the length of the snapshot")
			}
		}
	})
}

// withHeader prepends a valid header, so that Parse decodes the body.
func withHeader(body []byte) []byte {
	b := Append(nil, &State{})[:headerLen]
	binary.LittleEndian.PutUint64(b[lengthOffset:], uint64(len(body)))
	binary.LittleEndian.PutUint64(b[checksumOffset:], checksum(b[:checksumOffset], body))
	return append(b, body...)
}
