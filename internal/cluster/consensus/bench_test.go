package consensus

import (
	"path/filepath"
	"testing"

	"mintspring/internal/cluster/consensus/storage"
	"mintspring/internal/cluster/lease"
)

// BenchmarkCommands measures how long commands take in a single-replica group on a real disk, with 64 commands per sync, and how large the log file
// gets. Run it with: go test ./internal/cluster/consensus -run xxx -bench Commands -benchtime 1000000x
func BenchmarkCommands(b *testing.B) {
	const commandsPerSync = 64
	dir := filepath.Join(b.TempDir(), "data")
	identity := storage.Identity{Group: "c", ReplicaNumber: 1}
	if err := storage.Create(dir, identity); err != nil {
		b.Fatal(err)
	}
	store, err := storage.Open(dir, identity)
	if err != nil {
		b.Fatal(err)
	}
	defer store.Close()
	now := 1e6
	c, err := New(now, Config{Self: 1, InitialVoters: []ReplicaID{1}, TickMillis: testTickMillis}, store.State(), 1)
	if err != nil {
		b.Fatal(err)
	}
	responses := 0
	for !c.IsLeader() {
		now += testTickMillis
		c.Tick(now)
		responses += processReadyUpdates(b, c, store, now)
	}
	b.ResetTimer()
	for i := 0; i < b.N; i += commandsPerSync {
		for range commandsPerSync {
			cmd := lease.Command{Kind: lease.KindAcquire, Name: "a", Process: lease.Process{Node: 1}, TTLMillis: 1000}
			if err := c.Propose(1, cmd); err != nil {
				b.Fatal(err)
			}
		}
		responses += processReadyUpdates(b, c, store, now)
	}
	b.ReportMetric(float64(store.LogSize()), "log-bytes")
	b.ReportMetric(float64(responses)/float64(max(1, b.N)), "answered/op")
}

// processReadyUpdates stores and advances all ready updates, and returns the number of responses.
func processReadyUpdates(b *testing.B, c *Core, store *storage.Store, now float64) (responses int) {
	b.Helper()
	for {
		u, ok := c.Ready()
		if !ok {
			break
		}
		if err := store.Save(u); err != nil {
			b.Fatal(err)
		}
		_, r, err := c.Advance(now)
		if err != nil {
			b.Fatal(err)
		}
		responses += len(r)
	}
	u, ok, err := c.Compact()
	if err == nil && ok {
		err = store.Save(u)
	}
	if err != nil {
		b.Fatal(err)
	}
	return responses
}
