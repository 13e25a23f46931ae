// Package baseline implements simple policies that replace package decide in a node, so that experiments can compare against them:
// random choice and plain consistent hashing. They keep the first three rules as a careful client would, and ignore load, health and
// servers that are warming up.
//
// Policies do no I/O and read no clock; times are in ms. A policy is not safe for concurrent use.
package baseline

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"

	"mintspring/internal/fleet"
)

// Names of the policies.
const (
	Random = "random"
	Hash   = "hash"
)

// Policy is a baseline policy with the methods of decide.Node.
type Policy struct {
	Base
	limits     fleet.Limits
	selectKind selectKind
	drawCount  uint64 // random numbers drawn so far

	caches []fleet.Endpoint // the ready caches, sorted by their points on the ring
	origin fleet.ServerID   // fleet.NoServer while no origin is ready
}

// selectKind is the way in which a policy selects a cache.
type selectKind uint8

const (
	selectRandom selectKind = iota
	selectOwner
)

// New returns the policy with the given name.
func New(name string, now float64, limits fleet.Limits) (*Policy, error) {
	kinds := map[string]selectKind{Random: selectRandom, Hash: selectOwner}
	kind, known := kinds[name]
	if !known {
		return nil, fmt.Errorf("no baseline is called %q; there are %s and %s", name, Random, Hash)
	}
	p := &Policy{limits: limits, selectKind: kind, origin: fleet.NoServer}
	p.Choose, p.EndpointsChanged = p.route, p.selectEndpoints
	p.Start(now)
	return p, nil
}

// selectEndpoints selects the ready caches and the origin from the endpoints.
func (p *Policy) selectEndpoints() {
	p.caches, p.origin = p.caches[:0], fleet.NoServer
	for _, endpoint := range p.Endpoints {
		switch {
		case endpoint.State != fleet.Ready:
		case p.hasOrigin() && endpoint.Kind == p.limits.OriginKind:
			p.origin = endpoint.ID
		default:
			p.caches = append(p.caches, endpoint)
		}
	}
	slices.SortFunc(p.caches, func(a, b fleet.Endpoint) int {
		return cmp.Compare(fleet.InitialPoint(a.Name), fleet.InitialPoint(b.Name))
	})
}

// hasOrigin reports whether the deployment has an origin besides the caches.
func (p *Policy) hasOrigin() bool { return p.limits.OriginKind >= 0 }

// route sends a request to the selected server. It rejects or aborts the request if no server is available or if it must not be sent
// again.
func (p *Policy) route(now float64, q *fleet.Request) fleet.Decision {
	to := p.selectServer(q)
	class := &p.limits.Classes[q.Class]
	retry := EvaluateRetry(now, &p.limits, q, func(earlier fleet.ServerID) bool { return p.shareDeduplication(class.DedupScope, earlier, to) })
	if to == fleet.NoServer || !retry.Allowed || q.NumAttempts >= p.limits.AttemptLimit(class) || q.Deadline-now <= p.limits.Quantum {
		q.Closed = true
		if retry.NoEffect {
			return fleet.Decision{Action: fleet.Reject}
		}
		return fleet.Decision{Action: fleet.Abort}
	}
	return SendTo(now, q, to)
}

// shareDeduplication reports whether two servers drop duplicates of each other's writes.
func (p *Policy) shareDeduplication(scope fleet.DedupScope, a, b fleet.ServerID) bool {
	serverA, serverB := p.Endpoints[a], p.Endpoints[b]
	switch scope {
	case fleet.DedupAll:
		return true
	case fleet.DedupZone:
		return serverA.Zone == serverB.Zone
	}
	return serverA.Zone == serverB.Zone && serverA.Cell == serverB.Cell
}

// selectServer selects a random cache, or the owner of the key and, after failed attempts, its successors on the ring. Writes and reads
// that missed go to the origin if the deployment has one.
func (p *Policy) selectServer(q *fleet.Request) fleet.ServerID {
	needsOrigin := slices.ContainsFunc(q.Attempts[:q.NumAttempts], func(a fleet.Attempt) bool {
		return a.Result == fleet.Missed || a.Server == p.origin
	})
	if p.hasOrigin() && (q.Write || needsOrigin) || len(p.caches) == 0 {
		return p.origin
	}
	if p.selectKind == selectRandom {
		return p.caches[int(p.uniform()*float64(len(p.caches)))].ID
	}
	owner, _ := slices.BinarySearchFunc(p.caches, q.Key.Point(), func(endpoint fleet.Endpoint, point float64) int {
		return cmp.Compare(fleet.InitialPoint(endpoint.Name), point)
	})
	return p.caches[(owner+q.NumAttempts)%len(p.caches)].ID
}

// uniform returns a pseudo-random number from [0,1).
func (p *Policy) uniform() float64 {
	var b [16]byte
	p.drawCount++
	binary.LittleEndian.PutUint64(b[:], p.limits.Seed)
	binary.LittleEndian.PutUint64(b[8:], p.drawCount)
	h := fnv.New64a()
	_, _ = h.Write(b[:]) // a hash never fails
	return fleet.UnitInterval(h.Sum64())
}
