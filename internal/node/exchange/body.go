package exchange

import (
	"io"
	"math"
	"sync/atomic"
)

// Body is a large value that is streamed from a client to a server, without being buffered as a whole. It can be read only once, so no
// further attempt is possible after an attempt has read any of it. One goroutine writes to it while another one reads.
type Body struct {
	Size     int64 // bytes
	reader   *io.PipeReader
	writer   *io.PipeWriter
	consumed atomic.Bool

	received     atomic.Bool
	incompleteAt atomic.Uint64 // bits of the time of MarkIncomplete
}

// NewBody returns a body for a value of size bytes.
func NewBody(size int64) *Body {
	b := &Body{Size: size}
	b.reader, b.writer = io.Pipe()
	return b
}

// Write passes bytes to the reader and returns when they have been read. It fails after CloseReader.
func (b *Body) Write(p []byte) (int, error) { return b.writer.Write(p) }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	b.consumed.Store(true)
	return b.reader.Read(p)
}

// Consumed reports whether an attempt has begun to read the value.
func (b *Body) Consumed() bool { return b.consumed.Load() }

// CloseReader stops reading: from then on, Write fails with the cause. Only the first call has an effect.
func (b *Body) CloseReader(cause error) {
	_ = b.reader.CloseWithError(cause) // always returns nil
}

// CloseWriter ends the value: after the bytes written so far, Read returns io.EOF, or the cause if the value is incomplete.
func (b *Body) CloseWriter(cause error) {
	_ = b.writer.CloseWithError(cause) // always returns nil
}

// MarkIncomplete records that the client had not sent the last byte at the given time. An earlier time than the recorded one has no effect.
func (b *Body) MarkIncomplete(at float64) {
	for {
		recorded := b.incompleteAt.Load()
		if at <= math.Float64frombits(recorded) || b.incompleteAt.CompareAndSwap(recorded, math.Float64bits(at)) {
			return
		}
	}
}

// IncompleteAt returns the latest time at which the client is known not to have sent the last byte: its time limit runs from then at the
// earliest.
func (b *Body) IncompleteAt() float64 { return math.Float64frombits(b.incompleteAt.Load()) }

// MarkReceived records that the client has, or may have, sent all of the value.
func (b *Body) MarkReceived() { b.received.Store(true) }

// Received reports whether MarkReceived was called. Before that, no server can have executed the request.
func (b *Body) Received() bool { return b.received.Load() }
