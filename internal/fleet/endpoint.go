package fleet

import "math"

// State is the state of a server by the endpoint list.
type State uint8

// States of a server.
const (
	Gone     State = iota // not listed, or terminated
	Draining              // no new attempts
	Ready
)

// Endpoint is one server of the endpoint list.
type Endpoint struct {
	ID              ServerID
	Name            string
	State           State
	Kind            KindID
	Zone            ZoneID
	Cell            CellID
	NominalCapacity float64 // nominal capacity; 0: unknown
	StartedAt       float64 // of its process, Unix ms; 0: long ago
}

// ListMode says how endpoints relate to those listed before.
type ListMode uint8

// Modes of an update of the endpoint list.
const (
	ListDelta  ListMode = iota // only those that have changed
	ListFull                   // all there are
	ListCached                 // all there were when the list was stored: a newer list is still to be requested
	ListFailed                 // none: a request to the discovery service has failed
	ListLocal                  // those that this node's operators have changed: says nothing of the discovery service
)

// LoadReport is a server's report of its own load. Fields that it does not state are NaN.
type LoadReport struct {
	Present bool // the server has sent a report

	Util, Queue, Inflight, Latency, Rate, Errors float64
	HitRatio, X1                                 float64 // metrics that the settings name
}

// NewLoadReport returns a report that states nothing.
func NewLoadReport() LoadReport {
	none := math.NaN()
	return LoadReport{Util: none, Queue: none, Inflight: none, Latency: none, Rate: none, Errors: none, HitRatio: none, X1: none}
}

// SameLoad reports whether two reports state the same utilisation, queue and hit ratio.
func (r *LoadReport) SameLoad(other *LoadReport) bool {
	same := func(a, b float64) bool { return a == b || math.IsNaN(a) && math.IsNaN(b) }
	return same(r.Util, other.Util) && same(r.Queue, other.Queue) && same(r.HitRatio, other.HitRatio)
}
