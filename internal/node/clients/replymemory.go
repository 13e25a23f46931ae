package clients

import (
	"slices"
	"sync"

	"mintspring/internal/node/exchange"
	"mintspring/internal/node/ringbuf"
)

const (
	// replySize is how many bytes the reply to a request may take until it is written: its value, and the ring buffer into which it is read.
	replySize = exchange.MaxBufferedValue + ringbuf.MaxSize
	// smallReply is the size in bytes up to which a value does not keep its reservation.
	smallReply = 4 << 10
)

// ReplyMemory bounds the memory that replies take on connections whose clients send many requests at once. How large a value is shows only
// when it arrives. Before a request behind others is handed to the Handler, memory for the largest reply is therefore reserved, and the
// connections without a reservation wait in turn. The first request of a connection needs none: its reply can be written at once, so that
// each connection proceeds. A nil ReplyMemory has no limit. It is safe for concurrent use.
type ReplyMemory struct {
	limit int64 // bytes, of all processes of the node

	mu      sync.Mutex // guards the fields below
	share   int64      // bytes that this process may use
	free    int64      // bytes; below 0 while more is reserved than the share
	waiting []*conn
}

// NewReplyMemory returns a memory of limit bytes; 0: without limit.
func NewReplyMemory(limit int64) *ReplyMemory {
	if limit <= 0 {
		return nil
	}
	limit = max(limit, replySize)
	return &ReplyMemory{limit: limit, share: limit, free: limit}
}

// SetProcesses sets how many processes of the node share the limit.
func (m *ReplyMemory) SetProcesses(processes int) {
	if m == nil {
		return
	}
	m.mu.Lock()
	share := m.limit / int64(processes)
	change := share - m.share
	m.share = share
	m.mu.Unlock()
	m.release(change)
}

// reserve reserves memory for one reply, or lets the connection wait for conn.grantReplyMemory and returns false.
func (m *ReplyMemory) reserve(c *conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.free >= replySize && len(m.waiting) == 0 {
		m.free -= replySize
		return true
	}
	if !slices.Contains(m.waiting, c) {
		m.waiting = append(m.waiting, c)
	}
	return false
}

// release adds n bytes to those that are free, and grants memory to the connections that have waited longest. It must not be called with
// the mutex of a connection held.
func (m *ReplyMemory) release(n int64) {
	if m == nil || n == 0 {
		return
	}
	m.mu.Lock()
	m.free += n
	granted := min(len(m.waiting), int(max(0, m.free)/replySize))
	m.free -= int64(granted) * replySize
	conns := slices.Clone(m.waiting[:granted])
	m.waiting = slices.Delete(m.waiting, 0, granted)
	m.mu.Unlock()
	for _, c := range conns {
		c.grantReplyMemory()
	}
}

// leave ends the wait of a connection.
func (m *ReplyMemory) leave(c *conn) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting = slices.DeleteFunc(m.waiting, func(other *conn) bool { return other == c })
}

// isPrepaid reports whether memory is reserved for a response until it is written.
func isPrepaid(request *exchange.Exchange, response *exchange.Response) bool {
	return request.ReplyReserved && bufferedSize(response) > smallReply
}

// reserveReply reserves memory for the reply to the next command if others are before it. It reports false if the connection has to wait.
func (c *conn) reserveReply() bool {
	memory := c.server.ReplyMemory
	if memory == nil || c.rejecting {
		return true
	}
	c.mu.Lock()
	waited := c.state.waitsForMemory
	needed := c.state.hasPending() && c.state.reservedReply == 0 && c.state.phase != phaseClosed
	c.state.waitsForMemory = needed
	c.mu.Unlock()
	if !needed {
		if waited {
			memory.leave(c)
		}
		return true
	}
	if !memory.reserve(c) {
		return false
	}
	c.grantReplyMemory()
	return true
}

// grantReplyMemory gives the connection memory for the reply to its next command. If it no longer waits, the memory is returned.
func (c *conn) grantReplyMemory() {
	c.mu.Lock()
	needed := c.state.waitsForMemory && c.state.phase != phaseClosed
	c.state.waitsForMemory = false
	if needed {
		c.state.reservedReply = replySize
		if c.state.canResume() {
			c.setReadDeadline(expiredDeadline)
		}
		c.cond.Broadcast()
	}
	c.mu.Unlock()
	if !needed {
		c.server.ReplyMemory.release(replySize)
	}
}

// releaseUnusedReply returns the memory that the last command did not need.
func (c *conn) releaseUnusedReply() {
	if c.server.ReplyMemory == nil {
		return
	}
	c.mu.Lock()
	unused := c.state.reservedReply
	c.state.reservedReply = 0
	c.mu.Unlock()
	c.server.ReplyMemory.release(unused)
}
