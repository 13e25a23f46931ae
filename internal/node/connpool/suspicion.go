package connpool

const (
	suspiciousLateness = 0.5 // fraction of Cooldown; a duplicate that is later makes its server suspected
	safeIdleFactor     = 4   // multiple of Cooldown; connections that were unused for this time are preferred

	initialCooldownFactor = 200 // multiple of Cooldown: cooldown of a newly suspected server, while the lateness of duplicates is unknown
	minSamples            = 8   // duplicates with measured lateness that are enough to compute the cooldown from
	latenessFactor        = 4   // multiple of the largest lateness: the cooldown computed from it
	halvingFactor         = 30  // multiple of duplicateInterval: responses without a duplicate after which the cooldown is halved
	minDuplicateInterval  = 200 // responses; lower bound of duplicateInterval
)

// suspicion tracks whether a server is suspected of sending duplicate responses. The protocols cannot distinguish a response from a
// duplicate of the previous one, so a duplicate that arrives while the next attempt is in flight is taken for the response to that
// attempt and returns the value of another key. From the first duplicate on, a connection is therefore reused only after it has been
// unused for longer than any duplicate is expected to take. If too few connections are ready, new ones are opened, if necessary in
// place of cooling ones; in the worst case each connection serves one attempt.
type suspicion struct {
	cooldown                float64 // ms after a response in which its connection is not reused; 0: the server is not suspected
	responses               float64 // since the last suspicion ended or the server started
	duplicates              float64 // counted over the same period as responses
	duplicateInterval       float64 // responses per duplicate, computed at the last duplicate
	responsesSinceDuplicate float64 // restarts from 0 when the cooldown is halved
	samples                 int     // duplicates whose lateness was measured while the server was suspected, at most minSamples
	maxLateness             float64 // ms, largest lateness of the samples
}

// begin records the first duplicate. The measured lateness is only a lower bound: an attempt may have received the duplicate as its response, so
// that the real response to the attempt was then counted as the duplicate.
func (s *suspicion) begin(baseCooldown, lateness, idleTimeout float64) {
	s.cooldown = capCooldown(max(initialCooldownFactor*baseCooldown, latenessFactor*lateness), idleTimeout)
	s.samples, s.maxLateness = 0, 0
	s.countDuplicate()
}

func (s *suspicion) countDuplicate() {
	s.duplicates, s.responsesSinceDuplicate = s.duplicates+1, 0
	s.duplicateInterval = max(minDuplicateInterval, s.responses/s.duplicates)
}

// recordDuplicate records a further duplicate from a suspected server. Connections to that server cool down long enough for
// the duplicate to arrive before the next attempt is sent, so the measured lateness is correct.
func (s *suspicion) recordDuplicate(lateness, safeIdle, idleTimeout float64) {
	s.countDuplicate()
	s.samples, s.maxLateness = min(s.samples+1, minSamples), max(s.maxLateness, lateness)
	if required := latenessFactor * s.maxLateness; s.samples >= minSamples || required > s.cooldown {
		s.cooldown = capCooldown(max(required, safeIdle), idleTimeout)
	}
}

// recordResponse records a response. After halvingFactor duplicate intervals without a duplicate the cooldown is halved. The suspicion
// ends when the cooldown falls below safeIdle.
func (s *suspicion) recordResponse(safeIdle float64) {
	s.responses++
	if s.cooldown == 0 {
		return
	}
	s.responsesSinceDuplicate++
	if s.responsesSinceDuplicate < halvingFactor*s.duplicateInterval {
		return
	}
	s.responsesSinceDuplicate, s.cooldown = 0, s.cooldown/2
	if s.cooldown < safeIdle {
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

// safeIdle returns the time after a response, in ms, after which a server that is not suspected hardly ever sends a duplicate.
func (p *Policy) safeIdle() float64 { return safeIdleFactor * p.config.Cooldown }

// maxExpectedLateness returns the largest lateness of duplicates, in ms, to expect of a server before it is suspected.
func (p *Policy) maxExpectedLateness() float64 { return initialCooldownFactor * p.config.Cooldown }

// Suspected reports whether the server is suspected of sending duplicate responses.
func (p *Policy) Suspected() bool { return p.suspicion.cooldown > 0 }

// recordUnsolicited records that bytes arrived on a connection without a request, lateness ms after its last response, and reports
// whether the server becomes suspected. The configured cooldown is enough for a duplicate that follows its response at once. If the
// connection was reused early, the server becomes suspected regardless of lateness, because the real lateness is unknown: the bytes may
// be a duplicate of the response before the last one, or the real response to an attempt that has received the duplicate instead. Without
// this rule, a duplicate that was 20 ms late but arrived 0.3 ms after the next response did not make the server suspected.
func (p *Policy) recordUnsolicited(lateness float64, reusedEarly bool) (newlySuspected bool) {
	switch {
	case p.Suspected():
		p.suspicion.recordDuplicate(lateness, p.safeIdle(), p.config.IdleTimeout)
	case lateness > suspiciousLateness*p.config.Cooldown, reusedEarly:
		p.suspicion.begin(p.config.Cooldown, lateness, p.config.IdleTimeout)
		return true
	}
	return false
}

// RecordDuplicateReport records that another node has received duplicate responses from the server, and reports whether the server becomes
// suspected.
func (p *Policy) RecordDuplicateReport() (newlySuspected bool) {
	if p.Suspected() {
		return false
	}
	p.suspicion.begin(p.config.Cooldown, 0, p.config.IdleTimeout)
	return true
}
