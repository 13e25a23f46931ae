package main

import (
	"fmt"
	"os"
	"testing"
	"time"

	"mintspring/internal/testbed/clientfaults"
	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/processrunner"
)

// Ordinary reads are served beside clients that send PING or malformed commands at full speed. Once 1 to 7 in 100 were, half of them late.
func TestReadsBesideFloods(t *testing.T) {
	const minCompletedShare = 0.9 // ordinary reads are to be served as without a flood; a busy machine may cost some
	x, err := experiment.Parse("flood", `name = "flood"
about = "Ordinary reads beside floods."
[fleet]
zones = ["a"]
[[fleet.boxes]]
count = 3
[[workloads]]
name = "read"
share = 1.0
slo = "200ms"
timeout = "1s"
[nodes]
count = 1
memory_mb = 64
sockets = 512
[load]
rate = 300
`)
	if err != nil {
		t.Fatal(err)
	}
	fleet, err := processrunner.StartStandalone(x, nil, t.TempDir(), []string{os.Args[0], programArg})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	fleet.Fleet.DiscardExecutions()
	reads := processrunner.LoadTest{
		Addr: fleet.Addrs[0], Rate: 100, Clients: 16, Duration: 1500 * time.Millisecond, Class: "read", Tenant: "all", Timeout: 500 * time.Millisecond, Keys: 100,
	}
	if _, err := reads.Run(); err != nil { // which fills the caches
		t.Fatal(err)
	}
	for _, kind := range []string{"ping", "no-id", "new-class"} {
		for _, batch := range []int{1, 300} {
			t.Run(fmt.Sprint(kind, "/", batch), func(t *testing.T) {
				flood := clientfaults.Flood{Addr: fleet.Addrs[0], Kind: kind, Clients: 6, Batch: batch}
				if err := flood.Start(t.Context()); err != nil {
					t.Fatal(err)
				}
				result, err := reads.Run()
				if err != nil {
					t.Fatal(err)
				}
				if share := float64(result.Completed) / float64(result.Sent); share < minCompletedShare {
					t.Errorf("%.3f of the reads are served: %v, %d late", share, result, result.Late)
				}
			})
		}
	}
}
