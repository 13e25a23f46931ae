package fleet

import "math"

// State is the state of a server according to the endpoint list.
type State uint8

// States of a server.
const (
	Gone     State = iota // not listed, or terminated
	Draining              // gets no new attempts
	Ready
)

// Endpoint is a server of the endpoint list.
type Endpoint struct {
	ID              ServerID
	Name            string
	State           State
	Kind            KindID
	Zone            ZoneID
	Cell            CellID
	NominalCapacity float64 // relative to other servers; 0: unknown
	StartedAt       float64 // start of its process, Unix ms; 0: long ago
}

// ListMode says which servers an update of the endpoint list covers.
type ListMode uint8

// Modes of an update of the endpoint list.
const (
	ListDelta  ListMode = iota // servers whose entries have changed
	ListFull                   // all servers
	ListCached                 // all servers of a stored list; the current list has yet to be requested
	ListFailed                 // no servers: a request to the discovery service has failed
	ListLocal                  // servers whose state this node's operators have changed; not a response of the discovery service
)

// LoadReport is a server's report of its own load. Fields that the server does not report are NaN.
type LoadReport struct {
	Present bool // the server has sent a report

	Util     float64 // utilization
	Queue    float64 // requests that wait
	Inflight float64 // requests that are being executed
	Latency  float64 // mean response time, in ms
	Rate     float64 // requests per second
	Errors   float64 // failed requests per second
	HitRatio float64 // sent as x0
	X1       float64 // sent as x1; the decision module does not use it
}

// NewLoadReport returns a report without any figure.
func NewLoadReport() LoadReport {
	nan := math.NaN()
	return LoadReport{Util: nan, Queue: nan, Inflight: nan, Latency: nan, Rate: nan, Errors: nan, HitRatio: nan, X1: nan}
}

// SameLoad reports whether two reports have the same utilization, queue and hit ratio.
func (r *LoadReport) SameLoad(other *LoadReport) bool {
	same := func(a, b float64) bool { return a == b || math.IsNaN(a) && math.IsNaN(b) }
	return same(r.Util, other.Util) && same(r.Queue, other.Queue) && same(r.HitRatio, other.HitRatio)
}
