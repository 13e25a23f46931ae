// Package room is the memory that large values may hold while they are held whole, by all connections together.
package room

import "sync/atomic"

// Room is a number of bytes that are taken and given back.
type Room struct {
	most int64
	held atomic.Int64
}

// New makes room for so many bytes; 0 has no bound.
func New(most int64) *Room { return &Room{most: most} }

// Take takes n bytes, or none where they are not free.
func (r *Room) Take(n int64) bool {
	if r.held.Add(n) > r.most && r.most > 0 {
		r.held.Add(-n)
		return false
	}
	return true
}

// Give gives n bytes back.
func (r *Room) Give(n int64) { r.held.Add(-n) }

// Held is how many bytes are taken.
func (r *Room) Held() int64 { return r.held.Load() }
