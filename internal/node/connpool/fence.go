package connpool

// fenceRetryInterval is how long a server that did not answer its first fence is sent none, in ms.
const fenceRetryInterval = 10_000

// FenceState is what is known of a server's answers to fences. A fence is a command whose reply comes after the responses to all requests
// before it, so that it tells whether a response that equals an earlier one is a duplicate.
type FenceState uint8

// States of a server.
const (
	FenceUnsupported FenceState = iota // none is sent
	FenceUntried                       // none was answered yet
	FenceAnswered                      // at least one was answered
)

// FenceState returns the state at a time.
func (p *Policy) FenceState(now float64) FenceState {
	switch {
	case !p.config.Fences || now < p.fencesUnsupportedUntil:
		return FenceUnsupported
	case p.fenceAnswered:
		return FenceAnswered
	}
	return FenceUntried
}

// RecordFenceReply records that the server has answered a fence.
func (p *Policy) RecordFenceReply() { p.fenceAnswered = true }

// RecordUnansweredFence records that a connection ended, or an attempt timed out, while the reply to a fence was awaited. A server that has
// answered fences before was slow or has failed; another one may not support them.
func (p *Policy) RecordUnansweredFence(now float64) {
	if !p.fenceAnswered {
		p.fencesUnsupportedUntil = now + fenceRetryInterval
	}
}
