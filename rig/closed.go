package rig

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mintspring/rig/audit"
	"mintspring/standin"
)

// Pace is a plain load on one address, for the command line.
type Pace struct {
	Addr     string
	Rate     float64 // arrivals a second, which wait for no answer; 0: each client asks as soon as it is answered
	Clients  int
	For      time.Duration
	Workload string
	Tenant   string
	Timeout  time.Duration
	Keys     int
	Progress func(done float64)
}

// Paced is what came of it.
type Paced struct {
	Sent                         int64
	Completed, Rejected, Aborted int64
	Broken, Foreign              int64
	PerSecond                    float64
	P50, P99, P999               float64 // ms
}

func (p Paced) String() string {
	return fmt.Sprintf("%d queries, %.0f a second: %d completed, %d rejected, %d aborted, %d unanswered, %d with a wrong value; p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms",
		p.Sent, p.PerSecond, p.Completed, p.Rejected, p.Aborted, p.Broken, p.Foreign, p.P50, p.P99, p.P999)
}

// Run plays it.
func (p Pace) Run() (Paced, error) {
	first, err := dial(p.Addr)
	if err != nil {
		return Paced{}, fmt.Errorf("connecting to %s: %w", p.Addr, err)
	}
	first.net.Close()
	var out Paced
	var mu sync.Mutex
	all := hdrhistogram.New(1, 600_000_000, 3)
	start := time.Now()
	end := start.Add(p.For)
	var ids atomic.Uint64
	seed := uint64(start.UnixNano())
	one := func(c *client, rng *rand.Rand, h *hdrhistogram.Histogram, due float64) *client {
		if c == nil {
			fresh, err := dial(p.Addr) // an error of its own: the clients share nothing
			if err != nil {
				atomic.AddInt64(&out.Broken, 1)
				return nil
			}
			c = fresh
		}
		key := fmt.Sprintf("key-%d", rng.IntN(max(1, p.Keys)))
		o := order{Key: key, ID: fmt.Sprintf("%08x%08x", uint32(seed), ids.Add(1)),
			Extra: fmt.Sprintf("c=%s,t=%s,d=%d", p.Workload, p.Tenant, p.Timeout.Milliseconds())}
		if due == 0 {
			due = standin.Now()
		}
		a, _, answered, err := c.ask(o, time.Now().Add(p.Timeout+300*time.Millisecond))
		atomic.AddInt64(&out.Sent, 1)
		if err != nil {
			atomic.AddInt64(&out.Broken, 1)
			c.net.Close()
			return nil
		}
		h.RecordValue(int64(max(1, 1000*(answered-due))))
		switch a.Kind {
		case audit.Completed:
			atomic.AddInt64(&out.Completed, 1)
			if len(a.Value) < len(key) || a.Value[:len(key)] != key {
				atomic.AddInt64(&out.Foreign, 1)
			}
		case audit.Rejected:
			atomic.AddInt64(&out.Rejected, 1)
		default:
			atomic.AddInt64(&out.Aborted, 1)
		}
		return c
	}
	var done sync.WaitGroup
	dues := make(chan float64, 1<<14)
	for i := range max(1, p.Clients) {
		done.Add(1)
		go func() {
			defer done.Done()
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			h := hdrhistogram.New(1, 600_000_000, 3)
			var c *client
			if p.Rate > 0 {
				for due := range dues {
					c = one(c, rng, h, due)
				}
			} else {
				for time.Now().Before(end) {
					c = one(c, rng, h, 0)
				}
			}
			if c != nil {
				c.net.Close()
			}
			mu.Lock()
			all.Merge(h)
			mu.Unlock()
		}()
	}
	if p.Rate > 0 {
		rng := rand.New(rand.NewPCG(seed, 99))
		for due := start; due.Before(end); due = due.Add(time.Duration(rng.ExpFloat64() / p.Rate * 1e9)) {
			time.Sleep(time.Until(due))
			if p.Progress != nil {
				p.Progress(float64(due.Sub(start)) / float64(p.For))
			}
			dues <- ms(due)
		}
	} else if p.Progress != nil {
		for time.Now().Before(end) {
			time.Sleep(100 * time.Millisecond)
			p.Progress(min(1, float64(time.Since(start))/float64(p.For)))
		}
	}
	close(dues)
	done.Wait()
	out.PerSecond = float64(out.Sent) / time.Since(start).Seconds()
	q := func(x float64) float64 { return float64(all.ValueAtQuantile(x)) / 1000 }
	out.P50, out.P99, out.P999 = q(50), q(99), q(99.9)
	return out, nil
}
