package clients

import (
	"sync"
	"time"

	"mintspring/internal/node/lifecycle"
	"mintspring/internal/node/sockstate"
)

const (
	// pacedShare is the part of the time that the node spends on input that it answers by itself, such as PING and malformed commands, beyond the
	// allowance of each connection. A client that sends at full speed would otherwise leave no time for requests.
	pacedShare = 0.1
	// connAllowance is the part of the time that a connection may use for such input without being paced, and maxConnAllowance how much of that
	// it may save up.
	connAllowance    = 0.002
	maxConnAllowance = time.Millisecond
	// readCost is what a read costs in addition to the processing of what was read: system calls and switches between goroutines.
	readCost = 25 * time.Microsecond
	// rejectionCost is what a rejected request costs the event loop.
	rejectionCost = 30 * time.Microsecond
	// maxReadCost is the most that one read costs: the time that it takes includes that of other goroutines.
	maxReadCost = 2 * time.Millisecond
)

// inputPacer limits the time that the node spends on input that is answered without a server, over all connections. The zero value is ready for
// use. It is safe for concurrent use.
type inputPacer struct {
	mu     sync.Mutex // guards freeAt
	freeAt time.Time  // when the work that was let through has used up its part of the time
}

// reserve reserves time for work that takes the given time, and returns how long to wait before the next.
func (p *inputPacer) reserve(work time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(time.Duration(float64(work) / pacedShare))
	return p.freeAt.Sub(now)
}

// inputCost measures what the reader of a connection spends on input that is answered without a server.
type inputCost struct {
	allowance   time.Duration // that is left; below 0: the next read has to wait
	allowanceAt time.Time     // when it was last raised
	begunAt     time.Time     // when the processing of the last read began
	local       int           // commands of that read that were answered without a server
	forwarded   int           // commands of that read that were handed to the Handler
}

// begin starts to measure a read.
func (i *inputCost) begin() { i.begunAt, i.local, i.forwarded = time.Now(), 0, 0 }

// end charges the connection for the read, and for requests that were rejected, and returns the work for which its allowance is not enough.
func (i *inputCost) end(rejections int) (excess time.Duration) {
	now := time.Now()
	cost := min(now.Sub(i.begunAt)+readCost, maxReadCost)
	if i.forwarded > 0 {
		cost = cost * time.Duration(i.local) / time.Duration(i.local+i.forwarded)
	}
	cost += time.Duration(rejections) * rejectionCost
	saved := time.Duration(float64(now.Sub(i.allowanceAt)) * connAllowance)
	i.allowance, i.allowanceAt = min(maxConnAllowance, i.allowance+saved)-cost, now
	if excess = max(0, -i.allowance); excess > 0 {
		i.allowance = 0
	}
	return excess
}

// pace charges the connection for the last read, and waits if its client sends more than its share of input that is answered without a server.
// What the client sends meanwhile waits in the sockets. Nothing waits while the connection is to be closed: what was sent would be lost.
func (r *commandReader) pace() {
	excess := r.cost.end(r.conn.takeRejections())
	if excess == 0 || r.conn.rejecting {
		return
	}
	for until := time.Now().Add(r.conn.server.pacer.reserve(excess)); r.conn.keepsWaiting(); {
		left := time.Until(until)
		if left <= 0 {
			return
		}
		time.Sleep(min(left, disconnectCheckInterval))
	}
}

// keepsWaiting reports whether the reader of the connection may let its client wait. If requests of a client that has left are in flight, it
// closes the connection.
func (c *conn) keepsWaiting() bool {
	if c.hasUnanswered() && sockstate.EndedByPeer(c.net) {
		c.close()
		return false
	}
	return c.closeMode() == lifecycle.KeepOpen
}

// takeRejections returns how many requests of the connection were rejected since the last call.
func (c *conn) takeRejections() (rejections int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rejections, c.state.rejections = c.state.rejections, 0
	return rejections
}
