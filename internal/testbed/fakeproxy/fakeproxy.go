// Package fakeproxy runs clients of the control plane on loopback, for tests and the bench. Each proxy keeps the snapshot that it
// received, routes a load by it and records when a request was last sent to each endpoint. Its connection can be stalled without
// being closed, made to lose a message, and broken.
package fakeproxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"mintspring/internal/controlplane/client"
	"mintspring/internal/fleet"
)

// loadStream separates the random numbers of a proxy's load from others under the same seed.
const loadStream = 2

// Proxy is a running proxy. Its methods may be called from any goroutine.
type Proxy struct {
	*client.Client
	Link *Link // carries its connections

	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu         sync.Mutex           // guards the fields below
	lastSent   map[string]time.Time // by endpoint id: when a request was last sent to it
	sentCount  int
	staleCount int // requests without a usable snapshot
}

// Start starts a proxy that sends a request every interval, with keys drawn under the seed; with an interval of 0 it sends none.
// It runs until Close.
func Start(config client.Config, interval time.Duration, seed uint64) *Proxy {
	p := &Proxy{Link: NewLink(), lastSent: map[string]time.Time{}}
	config.Dial = p.Link.Dial
	p.Client = client.New(config)
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.goroutines.Go(func() { p.Run(ctx) })
	if interval > 0 {
		p.goroutines.Go(func() { p.generateLoad(ctx, interval, seed) })
	}
	return p
}

// generateLoad sends a request every interval until the context ends.
func (p *Proxy) generateLoad(ctx context.Context, interval time.Duration, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, loadStream))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.sendRequest(fleet.Key(rng.Uint64()))
	}
}

// sendRequest routes one request and records where it went.
func (p *Proxy) sendRequest(key fleet.Key) {
	owner, err := p.Owner(key)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if errors.Is(err, client.ErrNoUsableSnapshot) {
		p.staleCount++
		return
	}
	p.sentCount++
	p.lastSent[owner.ID] = now
}

// LastSent returns when a request was last sent to an endpoint, or the zero time if none was.
func (p *Proxy) LastSent(id string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastSent[id]
}

// Counts returns how many requests were sent, and how many were not because there was no usable snapshot.
func (p *Proxy) Counts() (sent, stale int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sentCount, p.staleCount
}

// Close stops the proxy and waits until its goroutines have ended.
func (p *Proxy) Close() {
	p.stop()
	p.Link.Break()
	p.goroutines.Wait()
}
