package snapshot_test

import (
	"errors"
	"fmt"

	"mintspring/internal/fleet"
	"mintspring/internal/state/snapshot"
)

const (
	minuteMs = 60_000.0
	hourMs   = 60 * minuteMs
)

// A node stores a snapshot and starts again half an hour later. One of its two servers has restarted in the meantime.
func Example() {
	config := snapshot.Config{HalfLife: hourMs, MaxAge: 24 * hourMs, PolicyFingerprint: 7, Node: "node-1", Zone: "north"}
	names := []string{"cache-a", "cache-b"}
	const takenAt = 1_700_000_000_000.0
	learned := fleet.Snapshot{
		OriginWindow: 12, OriginResponseTime: 40,
		Servers: []fleet.ServerSnapshot{{ID: 0, StartedAt: 1000, ResponseTime: 9}, {ID: 1, StartedAt: 2000, ResponseTime: 14}},
	}
	taken := snapshot.New(takenAt, config, &learned, func(id fleet.ServerID) string { return names[id] })
	stored := snapshot.Append(nil, taken)

	read, err := snapshot.Parse(stored)
	if err != nil {
		fmt.Println("the node starts without a snapshot:", err)
		return
	}
	current := []snapshot.CurrentServer{
		{Name: "cache-a", StartedAt: 1000, Ready: true},
		{Name: "cache-b", StartedAt: takenAt + minuteMs, Ready: true},
	}
	ids := map[string]fleet.ServerID{"cache-a": 4, "cache-b": 5} // slots in the new process's server table
	restored, trust := read.Restore(takenAt+hourMs/2, config, current, ids)
	for _, s := range restored.Servers {
		fmt.Printf("server %d: latency %.0f ms, trust %.2f\n", s.ID, s.ResponseTime, s.Trust)
	}
	fmt.Printf("origin: window %.0f, trust %.2f\n", restored.OriginWindow, trust.Global)
	fmt.Println(trust.Reasons)
	// Output:
	// server 4: latency 9 ms, trust 0.35
	// server 5: latency 14 ms, trust 0.00
	// origin: window 12, trust 0.35
	// [1 of 2 servers are the same]
}

// A damaged snapshot is refused as a whole.
func ExampleParse() {
	stored := snapshot.Append(nil, &snapshot.State{TakenAt: 1, Node: "node-1"})
	stored[len(stored)/2] ^= 1
	_, err := snapshot.Parse(stored)
	fmt.Println(errors.Is(err, snapshot.ErrCorrupt))
	// Output:
	// true
}
