package clients

import "mintspring/internal/node/exchange"

// maxDepartedIDs is how many ids of requests whose clients have left are remembered.
const maxDepartedIDs = 1 << 14

// departedIDs remembers the ids of requests that must not be executed twice, that had no response when their client left, and that a server may
// still execute. The zero value is empty.
type departedIDs struct {
	until map[string]float64 // by id: time in ms until which the id is not accepted again
	order []string           // of the ids, the oldest first
}

// add remembers an id until the given time.
func (d *departedIDs) add(now, until float64, id string) {
	d.removeExpired(now)
	if d.until == nil {
		d.until = map[string]float64{}
	}
	if _, known := d.until[id]; !known {
		d.order = append(d.order, id)
	}
	d.until[id] = until
	if len(d.order) > maxDepartedIDs {
		d.removeOldest()
	}
}

// contains reports whether an id is not to be accepted.
func (d *departedIDs) contains(now float64, id []byte) bool {
	d.removeExpired(now)
	_, known := d.until[string(id)]
	return known
}

func (d *departedIDs) removeExpired(now float64) {
	for len(d.order) > 0 && d.until[d.order[0]] <= now {
		d.removeOldest()
	}
}

func (d *departedIDs) removeOldest() {
	delete(d.until, d.order[0])
	if d.order = d.order[1:]; len(d.order) == 0 {
		d.order = nil
	}
}

// retainID frees the ID of a request whose client has left, or remembers it if a server may still execute the request and must not do so twice.
func (s *Server) retainID(request *exchange.Exchange) {
	s.releaseID(request)
	if !request.ExecuteOnce || request.Body != nil && !request.Body.Received() {
		return
	}
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.departed.add(now, now+s.Config().LongestTimeout, string(request.ID))
}
