package ringcache

import (
	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/controlplane/wire"
)

// maxLeaseRequests limits the remembered lease requests. Proxies send a request every quarter of a lease's duration, so that a lease
// granted for an older request has already ended.
const maxLeaseRequests = 8

// leaseRequest is a lease request that the proxy has sent.
type leaseRequest struct {
	name     string
	sentAtMs float64
}

// lease is a time-limited right to use snapshots for new requests. Times are milliseconds of the proxy's own clock.
type lease struct {
	requests    []leaseRequest // the last ones sent, oldest first
	endMs       float64
	epoch       uint64
	minSequence uint64 // the oldest usable sequence of the epoch
	listAgeMs   float64
}

// RecordLeaseRequest records that a lease request is sent now. The time is in milliseconds of the proxy's own clock.
func (c *Cache) RecordLeaseRequest(now float64, name string) {
	l := &c.lease
	l.requests = append(l.requests, leaseRequest{name: name, sentAtMs: now})
	if len(l.requests) > maxLeaseRequests {
		l.requests = l.requests[1:]
	}
}

// ApplyLease applies a lease from the control plane. The lease's duration starts when the proxy sent the request, which is before the
// control plane granted the lease, however long the response took. A lease that matches no remembered request is ignored.
func (c *Cache) ApplyLease(granted *wire.Lease) {
	l := &c.lease
	for _, request := range l.requests {
		if request.name != granted.Asked {
			continue
		}
		if endMs := request.sentAtMs + float64(granted.LengthMs); endMs > l.endMs || granted.Epoch != l.epoch {
			l.endMs, l.epoch, l.minSequence = endMs, granted.Epoch, granted.Out
			l.listAgeMs = float64(granted.ListAgeMs)
		}
		return
	}
}

// ListAgeMs returns the age of the control plane's endpoint list when it granted the current lease: the milliseconds since it last
// received data from the discovery service.
func (c *Cache) ListAgeMs() float64 { return c.lease.listAgeMs }

// covers reports whether the lease allows the use of a snapshot now.
func (l *lease) covers(now float64, version snapshot.Version) bool {
	return now < l.endMs && version.Epoch == l.epoch && version.Sequence >= l.minSequence
}
