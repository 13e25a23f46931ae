package clients

import (
	"slices"

	"mintspring/internal/node/exchange"
)

// phase is how far a connection has come. It only grows.
type phase uint8

const (
	phaseOpen   phase = iota // commands are read
	phaseEnding              // the last reply is queued, and nothing more is taken
	phaseClosed              // closed, or handed over to another process
)

// usage is what a connection has been used for. It only grows.
type usage uint8

const (
	usageUnused    usage = iota // nothing has arrived
	usageReceived               // bytes have arrived, but no request
	usageRequested              // one request
	usageReused                 // more than one request
)

// requestUse is the place of a request among those of its connection.
type requestUse uint8

const (
	firstRequest requestUse = iota
	secondRequest
	laterRequest
)

// writerPhase is what the writing goroutine does.
type writerPhase uint8

const (
	writerWaiting  writerPhase = iota // for the next reply
	writerWriting                     // a reply
	writerFinished                    // the last reply has been written
)

// pendingReply is the place of one command in the order of replies: a request, or a reply of this node's own.
type pendingReply struct {
	request  *exchange.Exchange
	text     string // without a request
	last     bool   // the connection is closed after it
	size     int64  // bytes that count as buffered until it is written
	reserved int64  // memory reserved for a large value until the reply is written
}

// sharedState is the state of a connection that its goroutines and the server share. Its methods are called with the
// connection's mutex held.
type sharedState struct {
	phase      phase
	usage      usage
	lastActive float64 // when the client was last read from or written to

	// The reader's progress.
	reading    bool // bytes have been read, and recordRead has not said yet what they are
	midCommand bool // part of a command has been read
	paused     bool // no command is taken until one is replied to
	departing  bool // the reader is to end the connection, or hand it over, once it is between commands

	// The writer's progress.
	writer       writerPhase
	writeStarted float64
	stream       exchange.Stream // the large value that is being written

	replies  []pendingReply
	buffered int64 // bytes of commands and replies, which the server counts too
}

// betweenRequests reports whether nothing is in flight on an open connection.
func (s *sharedState) betweenRequests() bool {
	return !s.hasPending() && !s.midCommand && !s.reading && s.phase != phaseClosed
}

// incomplete reports whether nothing is in flight but a command that has begun to arrive.
func (s *sharedState) incomplete() bool {
	return !s.hasPending() && s.midCommand && !s.reading && s.phase != phaseClosed
}

// hasPending reports whether a command that was read has not been replied to.
func (s *sharedState) hasPending() bool { return len(s.replies) > 0 || s.writer == writerWriting }

// hasUnanswered reports whether a request that was read has no response yet.
func (s *sharedState) hasUnanswered() bool {
	return slices.ContainsFunc(s.replies, func(r pendingReply) bool {
		return r.request != nil && r.request.Response() == nil
	})
}

// finishing reports whether nothing is in flight but a reply, other than a large value, whose writing began less than so many
// ms ago.
func (s *sharedState) finishing(now, within float64) bool {
	return s.writer == writerWriting && s.stream == nil && len(s.replies) == 0 && now-s.writeStarted < within
}

// atLimit reports whether no more commands are taken until one is replied to.
func (s *sharedState) atLimit() bool {
	return (len(s.replies) >= maxPipelined || s.buffered > maxConnBuffered) && s.phase != phaseClosed
}

// recordRequest records that a request has arrived completely.
func (s *sharedState) recordRequest() requestUse {
	switch s.usage {
	case usageUnused, usageReceived:
		return firstRequest // enqueue records it
	case usageRequested:
		s.usage = usageReused
		return secondRequest
	default:
		return laterRequest
	}
}

// enqueue appends a reply, and reports false if no more are taken.
func (s *sharedState) enqueue(r pendingReply) bool {
	if s.phase != phaseOpen {
		return false
	}
	if r.last {
		s.phase = phaseEnding
	}
	if r.request != nil {
		s.usage = max(s.usage, usageRequested)
	}
	s.replies = append(s.replies, r)
	return true
}

// replaceReply puts a text in place of a request's reply that waits behind others, and reports whether it did. One at the head is written at
// once, and frees its memory by that.
func (s *sharedState) replaceReply(request *exchange.Exchange, text string) bool {
	i := slices.IndexFunc(s.replies, func(r pendingReply) bool { return r.request == request })
	if i < 1 {
		return false
	}
	s.replies[i].request, s.replies[i].text = nil, text
	return true
}

// dequeue removes the reply at the head if it can be written, and marks it as being written.
func (s *sharedState) dequeue(now float64) (r pendingReply, response *exchange.Response, ok bool) {
	if len(s.replies) == 0 {
		return pendingReply{}, nil, false
	}
	if r = s.replies[0]; r.request != nil {
		if response = r.request.Response(); response == nil {
			return pendingReply{}, nil, false
		}
		s.stream = response.Stream
	}
	s.replies = append(s.replies[:0], s.replies[1:]...)
	s.writer, s.writeStarted = writerWriting, now
	return r, response, true
}

// recordWritten records that a reply has been written, or could not be.
func (s *sharedState) recordWritten(now float64, last bool) {
	s.lastActive, s.stream = now, nil
	s.writer = writerWaiting
	if last {
		s.writer = writerFinished
	}
}

// recordRead records a read of the reader, and returns whether part of a command had been read before.
func (s *sharedState) recordRead(now float64, midCommand, paused bool) (wasMidCommand bool) {
	wasMidCommand, s.reading = s.midCommand, false
	s.midCommand, s.lastActive = midCommand, now
	s.usage = max(s.usage, usageReceived)
	s.paused = paused || s.atLimit()
	return wasMidCommand
}

// takeResume ends a pause if commands are taken again, and reports whether it did.
func (s *sharedState) takeResume() bool {
	resumed := s.canResume()
	s.paused = s.paused && !resumed
	return resumed
}

func (s *sharedState) canResume() bool { return s.paused && !s.atLimit() }

// takeDeparture reports whether the reader has been asked to depart, once.
func (s *sharedState) takeDeparture() bool {
	departing := s.departing
	s.departing = false
	return departing
}

// close marks the connection as closed. It returns the replies that were not written, and the large value that was being
// written.
func (s *sharedState) close() (unwritten []pendingReply, stream exchange.Stream) {
	unwritten, stream = s.replies, s.stream
	s.phase, s.replies = phaseClosed, nil
	return unwritten, stream
}
