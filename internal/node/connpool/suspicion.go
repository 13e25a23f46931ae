package connpool

const (
	suspiciousLateness = 0.5 // fraction of Cooldown: a duplicate later than this makes its server suspected
	safeIdle           = 4   // times Cooldown: connections unused for so long are preferred

	initialCooldown      = 200 // times Cooldown: the cooldown at first, while the lateness of duplicates is unknown
	minSamples           = 8   // measured duplicates after which the cooldown follows their lateness
	latenessMargin       = 4   // times the largest lateness: the cooldown then
	calmFactor           = 30  // times duplicateInterval: responses without a duplicate that halve the cooldown
	minDuplicateInterval = 200 // responses; a shorter interval between duplicates counts as this
)

// suspicion is the state of a server that was seen to send duplicate responses. The protocols have nothing that tells a
// response from a duplicate of the one before, so a duplicate that arrives while the next attempt is in flight passes for its
// response: the value of another key. From the first duplicate on, a connection is therefore not reused until it has been unused
// for longer than any duplicate is expected to take. Where too few such connections are left, others are opened, if necessary in
// place of cooling ones, so that in the worst case each connection serves one attempt.
type suspicion struct {
	cooldown          float64 // ms after a response; 0: the server is not suspected
	responses         float64 // since the server was last not suspected, or has started
	duplicates        float64 // among these responses
	duplicateInterval float64 // responses per duplicate, as of the last duplicate
	sinceDuplicate    float64 // responses since the last duplicate, or since the cooldown was halved
	samples           int     // duplicates whose lateness was measured while suspected, at most minSamples
	maxLateness       float64 // ms, of these samples
}

// begin records the first duplicate. Its lateness is only a lower bound: it may have been taken for the response of an
// attempt, whose own response was then what looked like the duplicate.
func (s *suspicion) begin(baseCooldown, lateness, idleTimeout float64) {
	s.cooldown = capCooldown(max(initialCooldown*baseCooldown, latenessMargin*lateness), idleTimeout)
	s.samples, s.maxLateness = 0, 0
	s.countDuplicate()
}

func (s *suspicion) countDuplicate() {
	s.duplicates, s.sinceDuplicate = s.duplicates+1, 0
	s.duplicateInterval = max(minDuplicateInterval, s.responses/s.duplicates)
}

// recordDuplicate records one more duplicate of a suspected server. Connections cool down for long meanwhile, so the
// lateness is what was measured.
func (s *suspicion) recordDuplicate(lateness, safe, idleTimeout float64) {
	s.countDuplicate()
	s.samples, s.maxLateness = min(s.samples+1, minSamples), max(s.maxLateness, lateness)
	if need := latenessMargin * s.maxLateness; s.samples >= minSamples || need > s.cooldown {
		s.cooldown = capCooldown(max(need, safe), idleTimeout)
	}
}

// recordResponse records a response. The cooldown is halved after many times the responses that brought a duplicate
// before, and the suspicion ends below a safe cooldown.
func (s *suspicion) recordResponse(safe float64) {
	s.responses++
	if s.cooldown == 0 {
		return
	}
	s.sinceDuplicate++
	if s.sinceDuplicate < calmFactor*s.duplicateInterval {
		return
	}
	s.sinceDuplicate, s.cooldown = 0, s.cooldown/2
	if s.cooldown < safe {
		*s = suspicion{}
	}
}

// capCooldown keeps a cooldown below half of the idle timeout, so that connections can be reused before they are closed.
func capCooldown(cooldown, idleTimeout float64) float64 {
	if idleTimeout > 0 {
		return min(cooldown, idleTimeout/2)
	}
	return cooldown
}

// cooldown returns how long a connection is not reused after a response, in ms.
func (p *Policy) cooldown() float64 { return max(p.config.Cooldown, p.suspicion.cooldown) }

// safeIdle returns how long after a response hardly any duplicate arrives from a server that is not suspected, in ms.
func (p *Policy) safeIdle() float64 { return safeIdle * p.config.Cooldown }

// plausibleLateness returns how late a duplicate may be that this node reckons with before it has seen a later one, in ms.
func (p *Policy) plausibleLateness() float64 { return initialCooldown * p.config.Cooldown }

// Suspected reports whether the server was seen to send duplicate responses.
func (p *Policy) Suspected() bool { return p.suspicion.cooldown > 0 }

// recordUnsolicited records that bytes arrived on a connection without a request, so many ms after its last response, and
// reports whether the server becomes suspected by that. A duplicate that arrives at once is handled by the usual cooldown. Where
// the connection was reused early, the bytes may belong to the response before the last one, or an attempt may have received
// the duplicate and this is its own response: then the lateness is unknown. A duplicate 20 ms late that arrived 0.3 ms after
// the next response was once taken for a prompt one.
func (p *Policy) recordUnsolicited(lateness float64, reusedEarly bool) (begins bool) {
	switch {
	case p.Suspected():
		p.suspicion.recordDuplicate(lateness, p.safeIdle(), p.config.IdleTimeout)
	case lateness > suspiciousLateness*p.config.Cooldown, reusedEarly:
		p.suspicion.begin(p.config.Cooldown, lateness, p.config.IdleTimeout)
		return true
	}
	return false
}

// DuplicatesReported records that another node has seen the server send duplicates, and reports whether the server
// becomes suspected by that.
func (p *Policy) DuplicatesReported() (begins bool) {
	if p.Suspected() {
		return false
	}
	p.suspicion.begin(p.config.Cooldown, 0, p.config.IdleTimeout)
	return true
}
