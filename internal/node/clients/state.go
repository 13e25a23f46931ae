package clients

import (
	"slices"

	"mintspring/internal/node/exchange"
)

// phase is the stage of a connection's life. It only increases.
type phase uint8

const (
	phaseOpen   phase = iota // commands are processed
	phaseEnding              // the last reply is queued; no reply is accepted after it
	phaseClosed              // closed, or handed over to another process
)

// usage is what a connection has been used for. It only increases.
type usage uint8

const (
	usageUnused    usage = iota // nothing has arrived
	usageReceived               // bytes have arrived, but no request
	usageRequested              // one request has arrived
	usageReused                 // more than one request has arrived
)

// requestOrdinal is the position of a request among those of its connection.
type requestOrdinal uint8

const (
	firstRequest requestOrdinal = iota
	secondRequest
	laterRequest
)

// writerPhase is the state of the writer goroutine.
type writerPhase uint8

const (
	writerWaiting  writerPhase = iota // waits for the next reply
	writerWriting                     // writes a reply
	writerFinished                    // the last reply has been written
)

// pendingReply is the entry of one command in the queue of replies: a request, or a reply that does not come from a server.
type pendingReply struct {
	request  *exchange.Exchange
	text     string // the reply, if request is nil
	last     bool   // the connection is closed after this reply
	size     int64  // bytes that count as buffered until the reply is written
	reserved int64  // bytes of memory reserved for a large value until the reply is written
	memory   int64  // bytes of ReplyMemory, until the reply is written or turns out to be small
}

// sharedState is the state of a connection that its goroutines and the server share. Its methods are called with the
// connection's mutex held.
type sharedState struct {
	phase      phase
	usage      usage
	lastActive float64 // when the client was last read from or written to

	// The reader's progress.
	readInProgress bool    // bytes have been read that recordRead has not recorded yet
	midCommand     bool    // part of a command has been read
	paused         bool    // no command is processed until one is replied to
	mayHaveLeft    bool    // no command is processed until a reply is written: the client may have closed the connection
	confirmedAt    float64 // when the client was last known to be connected
	unreadLeft     bool    // the last read filled its buffer, so that more bytes may have arrived before
	rejections     int     // requests that were rejected and not charged yet
	drainRequested bool    // the reader is asked to close the connection, or to hand it over, between commands

	// The writer's progress.
	writer       writerPhase
	writeStarted float64
	stream       exchange.Stream // the large value that is being written

	replies  []pendingReply
	buffered int64 // bytes of commands and replies
	prepaid  int64 // bytes of buffered for which ReplyMemory is reserved, so that the server does not count them

	waitsForMemory bool  // the next command waits for ReplyMemory
	reservedReply  int64 // bytes of ReplyMemory reserved for the reply to the next command
}

// betweenRequests reports whether the connection is open and nothing is in flight on it.
func (s *sharedState) betweenRequests() bool {
	return !s.hasPending() && !s.midCommand && !s.readInProgress && s.phase != phaseClosed
}

// incomplete reports whether the connection is open and nothing is in flight on it but part of a command.
func (s *sharedState) incomplete() bool {
	return !s.hasPending() && s.midCommand && !s.readInProgress && s.phase != phaseClosed
}

// hasPending reports whether the reply to any command is still queued or being written.
func (s *sharedState) hasPending() bool { return len(s.replies) > 0 || s.writer == writerWriting }

// hasUnanswered reports whether a request that was read has no response yet.
func (s *sharedState) hasUnanswered() bool {
	return slices.ContainsFunc(s.replies, func(r pendingReply) bool {
		return r.request != nil && r.request.Response() == nil
	})
}

// finishingReply reports whether nothing is in flight but one reply, other than a large value, whose writing began less than maxAge ms
// ago.
func (s *sharedState) finishingReply(now, maxAge float64) bool {
	return s.writer == writerWriting && s.stream == nil && len(s.replies) == 0 && now-s.writeStarted < maxAge
}

// atLimit reports whether the connection must reply to an earlier command before further commands are processed.
func (s *sharedState) atLimit() bool {
	full := len(s.replies) >= maxPipelined || s.buffered > maxConnBuffered || (s.waitsForMemory || s.mayHaveLeft) && s.hasPending()
	return full && s.phase != phaseClosed
}

// recordArrival records that a read has returned bytes. If nothing was left by the read before, they have arrived since, and their client was
// connected then.
func (s *sharedState) recordArrival(now float64, filledBuffer bool) {
	if !s.unreadLeft {
		s.confirmedAt = now
	}
	s.unreadLeft = filledBuffer
}

// recordRequest records that a request has arrived completely, and returns its position.
func (s *sharedState) recordRequest() requestOrdinal {
	switch s.usage {
	case usageUnused, usageReceived:
		return firstRequest // enqueue updates usage
	case usageRequested:
		s.usage = usageReused
		return secondRequest
	default:
		return laterRequest
	}
}

// enqueue appends a reply. It reports false if the connection takes no more replies.
func (s *sharedState) enqueue(r pendingReply) bool {
	if s.phase != phaseOpen {
		return false
	}
	if r.last {
		s.phase = phaseEnding
	}
	if r.request != nil {
		s.usage = max(s.usage, usageRequested)
		r.memory, s.reservedReply = s.reservedReply, 0
		r.request.ReplyReserved = r.memory > 0
	}
	s.replies = append(s.replies, r)
	return true
}

// replaceReply replaces the reply to a request by a text, and reports whether it did. It replaces only replies behind others: the reply
// at the head is written at once, which frees its memory.
func (s *sharedState) replaceReply(request *exchange.Exchange, text string) bool {
	i := slices.IndexFunc(s.replies, func(r pendingReply) bool { return r.request == request })
	if i < 1 {
		return false
	}
	s.replies[i].request, s.replies[i].text = nil, text
	return true
}

// takeMemory takes the memory that is reserved for the reply to a request, unless the reply is being written. The caller releases it.
func (s *sharedState) takeMemory(request *exchange.Exchange) (taken int64) {
	i := slices.IndexFunc(s.replies, func(r pendingReply) bool { return r.request == request })
	if i >= 0 {
		taken, s.replies[i].memory = s.replies[i].memory, 0
	}
	return taken
}

// dequeue removes the reply at the head if it can be written, and records that its writing begins.
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
	s.replies = slices.Delete(s.replies, 0, 1) // which drops its reference to the request
	s.writer, s.writeStarted = writerWriting, now
	return r, response, true
}

// dequeueTexts removes the texts at the head of the queue, which can be written at once, and appends them to replies. It removes no more
// than maxBatchSize bytes.
func (s *sharedState) dequeueTexts(replies []pendingReply) []pendingReply {
	count, size := 0, 0
	for ; count < len(s.replies) && s.replies[count].request == nil; count++ {
		if size += len(s.replies[count].text); size > maxBatchSize {
			break
		}
	}
	replies = append(replies, s.replies[:count]...)
	s.replies = slices.Delete(s.replies, 0, count)
	return replies
}

// recordWritten records that replies have been written, or that writing them has failed.
func (s *sharedState) recordWritten(now float64, last bool) {
	s.lastActive, s.stream = now, nil
	s.confirmedAt, s.mayHaveLeft = now, false
	s.writer = writerWaiting
	if last {
		s.writer = writerFinished
	}
}

// recordRead records a read, and returns whether part of a command had been read before it.
func (s *sharedState) recordRead(now float64, midCommand, paused bool) (wasMidCommand bool) {
	wasMidCommand, s.readInProgress = s.midCommand, false
	s.midCommand, s.lastActive = midCommand, now
	s.usage = max(s.usage, usageReceived)
	s.paused = paused || s.atLimit()
	return wasMidCommand
}

// tryResume ends a pause if commands may be processed again, and reports whether it did.
func (s *sharedState) tryResume() bool {
	resumed := s.canResume()
	s.paused = s.paused && !resumed
	return resumed
}

func (s *sharedState) canResume() bool { return s.paused && !s.atLimit() }

// consumeDrainRequest reports whether the reader has been asked to drain the connection, and clears the request.
func (s *sharedState) consumeDrainRequest() bool {
	drainRequested := s.drainRequested
	s.drainRequested = false
	return drainRequested
}

// close marks the connection as closed. It returns the replies that were not written, and the large value that was being written.
func (s *sharedState) close() (unwritten []pendingReply, stream exchange.Stream) {
	unwritten, stream = s.replies, s.stream
	s.phase, s.replies = phaseClosed, nil
	return unwritten, stream
}
