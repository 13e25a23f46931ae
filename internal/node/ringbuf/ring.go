// Package ringbuf implements the ring buffer that each connection uses in each direction. A ring grows as needed and returns its memory to
// a shared pool when its connection is idle, so that thousands of idle connections need little memory while a few busy ones carry large
// values.
package ringbuf

import (
	"errors"
	"io"
	"sync"
)

// MaxSize is the largest size of a ring in bytes: enough for a value of 64 KiB with its protocol framing.
const MaxSize = 72 << 10

// ErrFull is returned if a ring would exceed MaxSize.
var ErrFull = errors.New("ring buffer is full")

// sizeClasses are the sizes of buffers in bytes, in ascending order.
var sizeClasses = [...]int{512, 2 << 10, 8 << 10, 24 << 10, MaxSize}

// bufferPools hold unused buffers by size class.
var bufferPools [len(sizeClasses)]sync.Pool

// getBuffer returns a buffer of the smallest size class with at least minSize bytes.
func getBuffer(minSize int) []byte {
	for i, size := range sizeClasses {
		if size < minSize {
			continue
		}
		if b, ok := bufferPools[i].Get().(*[]byte); ok {
			return *b
		}
		return make([]byte, size)
	}
	return nil
}

func putBuffer(b []byte) {
	for i, size := range sizeClasses {
		if len(b) == size {
			bufferPools[i].Put(&b)
		}
	}
}

// Ring is a ring buffer. The zero value is empty and holds no memory. It is not safe for concurrent use.
type Ring struct {
	buf   []byte
	start int // index of the first unread byte
	size  int // number of unread bytes
}

// Len returns the number of unread bytes.
func (r *Ring) Len() int { return r.size }

// Peek returns all unread bytes in one slice, which is valid until the ring is written to or its memory is released.
func (r *Ring) Peek() []byte {
	if r.start+r.size > len(r.buf) {
		r.realloc(len(r.buf))
	}
	return r.buf[r.start : r.start+r.size]
}

// Discard drops the first n unread bytes, or all of them if there are fewer.
func (r *Ring) Discard(n int) {
	n = min(n, r.size)
	r.size -= n
	if r.size == 0 {
		r.start = 0
		return
	}
	r.start = (r.start + n) % len(r.buf)
}

// Writable returns a slice of n free bytes. The caller writes to it and then calls Commit. The error is ErrFull if there is no room.
func (r *Ring) Writable(n int) ([]byte, error) {
	if r.size+n > MaxSize {
		return nil, ErrFull
	}
	if !r.hasWritable(n) {
		r.realloc(r.size + n)
	}
	at := r.start + r.size
	if at >= len(r.buf) {
		at -= len(r.buf)
	}
	return r.buf[at : at+n : at+n], nil
}

// hasWritable reports whether n contiguous free bytes follow the unread bytes.
func (r *Ring) hasWritable(n int) bool {
	end := r.start + r.size
	if end < len(r.buf) {
		return end+n <= len(r.buf)
	}
	return end-len(r.buf)+n <= r.start
}

// Commit adds the first n bytes of the slice returned by Writable to the unread bytes.
func (r *Ring) Commit(n int) { r.size += n }

// ReadOnce calls src.Read once to fill free space, and grows the ring first if it is full. It returns ErrFull if the ring cannot grow, or
// the error of src.
func (r *Ring) ReadOnce(src io.Reader) (int, error) {
	if r.size == len(r.buf) {
		if r.size == MaxSize {
			return 0, ErrFull
		}
		r.realloc(r.size + 1)
	}
	from, to := r.start+r.size, len(r.buf)
	if from >= len(r.buf) {
		from, to = from-len(r.buf), r.start
	}
	n, err := src.Read(r.buf[from:to])
	r.size += n
	return n, err
}

// Grow ensures that the ring can hold at least n bytes without growing again. It has no effect if n exceeds MaxSize.
func (r *Ring) Grow(n int) {
	if len(r.buf) < n && n <= MaxSize {
		r.realloc(n)
	}
}

// FlushTo writes all unread bytes to dst and returns how many were written.
func (r *Ring) FlushTo(dst io.Writer) (int, error) {
	written := 0
	for r.size > 0 {
		n, err := dst.Write(r.buf[r.start:min(r.start+r.size, len(r.buf))])
		r.Discard(n)
		if written += n; err != nil {
			return written, err
		}
	}
	return written, nil
}

// ReleaseIfEmpty returns the ring's memory to the pool if there are no unread bytes.
func (r *Ring) ReleaseIfEmpty() {
	if r.size == 0 && r.buf != nil {
		putBuffer(r.buf)
		r.buf, r.start = nil, 0
	}
}

// Release drops all unread bytes and returns the ring's memory to the pool.
func (r *Ring) Release() {
	r.size = 0
	r.ReleaseIfEmpty()
}

// realloc moves the unread bytes to the beginning of a new buffer of at least minSize bytes.
func (r *Ring) realloc(minSize int) {
	b := getBuffer(minSize)
	n := copy(b, r.buf[r.start:min(r.start+r.size, len(r.buf))])
	copy(b[n:], r.buf[:r.size-n])
	if r.buf != nil {
		putBuffer(r.buf)
	}
	r.buf, r.start = b, 0
}
