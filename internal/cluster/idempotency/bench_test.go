package idempotency

import (
	"encoding/binary"
	"runtime"
	"testing"
)

// instantCluster runs three members on one clock, without disk or network delays.
type instantCluster struct {
	cores       []*Core
	now         float64
	results     map[uint64]Result
	storedBytes int
}

func newInstantCluster() *instantCluster {
	s := &instantCluster{results: map[uint64]Result{}}
	set := ReplicaSet{Members: []MemberID{0, 1, 2}}
	for _, m := range set.Members {
		stored := NewStoredState()
		stored.CaughtUpStorage = StorageIncarnation(m + 1)
		c := New(0, Config{
			Self: m, Incarnation: 9, StorageIncarnation: StorageIncarnation(m + 1), ReplicaSets: []ReplicaSet{set},
			ReplicationFactor: 3, RetentionMs: 1e9, RetryIntervalMs: 20, MaxReceiptBytes: 1024, RepairsPerSecond: 1e3,
		}, stored)
		s.cores = append(s.cores, c)
	}
	for _, c := range s.cores {
		c.Tick(0) // announces its storage
	}
	s.run()
	return s
}

// run delivers messages until none are left.
func (s *instantCluster) run() {
	for more := true; more; {
		more = false
		for _, c := range s.cores {
			r := c.Ready()
			c.Advance(r)
			for _, entry := range r.Entries {
				s.storedBytes += len(entry)
			}
			for _, m := range append(r.Messages, r.MessagesAfterSync...) {
				more = true
				s.cores[m.To].ReceiveDatagram(s.now, m.Append(nil))
			}
			for _, result := range c.TakeResults() {
				s.results[result.Number] = result
			}
		}
	}
}

// BenchmarkOperations measures the processor time of all three replicas for a claim and its settlement, including message encoding and
// decoding.
func BenchmarkOperations(b *testing.B) {
	s := newInstantCluster()
	receipt := make([]byte, 100)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for i := range b.N {
		number := uint64(i + 1)
		c := s.cores[i%len(s.cores)]
		s.now += 0.01
		key := NewKey("sale", []byte("key"), binary.BigEndian.AppendUint32(nil, uint32(i)))
		c.Claim(s.now, number, key, ClaimOptions{TimeoutMs: 500}, s.now+1e3)
		s.run()
		if s.results[number].Decision != DecisionGranted {
			b.Fatal(s.results[number])
		}
		c.Settle(s.now, number, OutcomeCompleted, receipt, s.now+1e3)
		s.run()
		delete(s.results, number)
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N)/3, "B-memory/record")
	b.ReportMetric(float64(s.storedBytes)/float64(b.N)/3, "B-disk/record")
	runtime.KeepAlive(s)
}
