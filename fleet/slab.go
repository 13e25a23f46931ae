package fleet

// MaxExecs bounds the executions that are remembered for one query.
const MaxExecs = 8

// Exec is one execution of a query.
type Exec struct {
	Server ServerID
	Sent   float64
	Result Result
	Quit   bool    // cancelled by us, outcome still to come
	Ahead  float64 // what it found before it
}

// Query is one query in hand. The adapter fills in what came with it; the part below the line
// belongs to the decision module.
type Query struct {
	Ref      Ref
	ID       QueryID
	Workload WorkloadID
	Tenant   TenantID
	Key      Key
	HasKey   bool
	Write    bool
	Arrived  float64
	Deadline float64
	Work     float64 // told in advance; 0 if not
	Size     float64
	Execs    [MaxExecs]Exec
	N        int  // executions so far
	Out      int  // of these still out
	Coming   bool // its value is still coming: no execution of it can have begun
	Spent    bool // its value has been passed on, and is not held for another execution
	Closed   bool
	Streamed bool

	Stage uint8
	Wake  float64
}

// Ref names a place in the slab and its present life, so that a stale one finds nothing.
type Ref struct {
	place int32
	life  uint32
}

// NoQuery is the zero Ref and names nothing.
var NoQuery Ref

// Slab keeps queries in reused places, so that taking one in allocates nothing once it has grown.
type Slab struct {
	rows []*Query
	free []int32
}

// Take returns an empty place.
func (s *Slab) Take() *Query {
	if k := len(s.free); k > 0 {
		q := s.rows[s.free[k-1]]
		s.free = s.free[:k-1]
		*q = Query{Ref: Ref{q.Ref.place, q.Ref.life + 1}}
		return q
	}
	q := &Query{Ref: Ref{int32(len(s.rows)), 1}}
	s.rows = append(s.rows, q)
	return q
}

// Get returns the query that r names, or nil if it has left.
func (s *Slab) Get(r Ref) *Query {
	if r.life == 0 || int(r.place) >= len(s.rows) {
		return nil
	}
	if q := s.rows[r.place]; q.Ref == r {
		return q
	}
	return nil
}

// Free gives a place back.
func (s *Slab) Free(q *Query) {
	if s.Get(q.Ref) != q {
		return
	}
	s.free = append(s.free, q.Ref.place)
	q.Ref.life++
}
