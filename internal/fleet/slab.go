package fleet

// Ref refers to a request in a slab. It becomes stale when the request is freed, and stays stale when the slot is reused.
type Ref struct {
	slot       int32
	generation uint32 // of the slot, from 1: odd while the slot is in use, even while it is free
}

// NoRequest is the zero Ref, which refers to nothing.
var NoRequest Ref

// Slab holds requests in slots that are reused: once the slab has grown, a new request causes no allocation. The zero value is empty.
type Slab struct {
	slots []*Request
	free  []int32
}

// Alloc returns an empty request, which is valid until it is freed.
func (s *Slab) Alloc() *Request {
	if len(s.free) == 0 {
		request := &Request{Ref: Ref{int32(len(s.slots)), 1}}
		s.slots = append(s.slots, request)
		return request
	}
	last := len(s.free) - 1
	request := s.slots[s.free[last]]
	s.free = s.free[:last]
	*request = Request{Ref: Ref{request.Ref.slot, request.Ref.generation + 1}}
	return request
}

// Get returns the request that a Ref refers to, or nil if it was freed.
func (s *Slab) Get(ref Ref) *Request {
	if ref.generation%2 == 0 || int(ref.slot) >= len(s.slots) {
		return nil
	}
	if request := s.slots[ref.slot]; request.Ref == ref {
		return request
	}
	return nil
}

// Free releases the slot of a request. Freeing a request a second time has no effect.
func (s *Slab) Free(request *Request) {
	if s.Get(request.Ref) != request {
		return
	}
	s.free = append(s.free, request.Ref.slot)
	request.Ref.generation++
}
