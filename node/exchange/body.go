package exchange

import (
	"io"
	"sync/atomic"
)

// Body is a large value on its way from a client to a server, of which one piece is held. It can be passed on once: an
// execution that has taken some of it can't be followed by another.
type Body struct {
	Size int64
	r    *io.PipeReader
	w    *io.PipeWriter
	used atomic.Bool
}

// NewBody makes one of so many bytes.
func NewBody(size int64) *Body {
	b := &Body{Size: size}
	b.r, b.w = io.Pipe()
	return b
}

// Write hands bytes on, and comes back when they are taken. It fails once nobody takes any.
func (b *Body) Write(p []byte) (int, error) { return b.w.Write(p) }

// Read takes bytes.
func (b *Body) Read(p []byte) (int, error) {
	b.used.Store(true)
	return b.r.Read(p)
}

// Used tells whether an execution has begun to take it.
func (b *Body) Used() bool { return b.used.Load() }

// Drop says that nobody takes any more, and Break that no more comes. Only the first says anything.
func (b *Body) Drop(why error) { b.r.CloseWithError(why) }

// Break says that no more comes.
func (b *Body) Break(why error) { b.w.CloseWithError(why) }
