package clients

import (
	"net"
	"time"

	"mintspring/internal/clock"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/lifecycle"
	"mintspring/internal/node/ringbuf"
)

// replyOverhead is an upper bound for the bytes that a reply takes in addition to its value and message.
const replyOverhead = 64

// writeLoop writes the replies in the order of the commands.
func (c *conn) writeLoop() {
	var out ringbuf.Ring
	defer out.Release()
	defer c.recoverPanic()
	for {
		reply, response, ok := c.nextReply()
		if !ok {
			return
		}
		if err := c.sendReply(&out, reply, response); err != nil {
			return
		}
		if tcp, ok := c.net.(*net.TCPConn); ok && reply.last {
			_ = tcp.CloseWrite() // the reader notices a failed connection by itself
			return
		} else if c.closeMode() != lifecycle.KeepOpen {
			c.requestDrain()
		}
		out.ReleaseIfEmpty()
	}
}

// nextReply waits until the reply at the head of the queue can be written, and removes it from the queue. It reports false when the
// connection is closed.
func (c *conn) nextReply() (r pendingReply, response *exchange.Response, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.state.phase != phaseClosed {
		if r, response, ok = c.state.dequeue(c.server.Clock.Now()); ok {
			c.cond.Broadcast()
			return r, response, true
		}
		c.cond.Wait()
	}
	return pendingReply{}, nil, false
}

// sendReply writes a reply and releases what it held. If writing fails or panics, the connection is closed before the release: after part
// of a reply it must not count as idle.
func (c *conn) sendReply(out *ringbuf.Ring, r pendingReply, response *exchange.Response) (err error) {
	sent := false
	defer func() {
		if !sent {
			c.close()
		}
		c.recordWritten(r, response)
	}()
	err = c.writeReply(out, r, response)
	sent = err == nil
	return err
}

// writeReply writes a reply. It returns an error if a large value breaks off after its first byte.
func (c *conn) writeReply(out *ringbuf.Ring, r pendingReply, response *exchange.Response) error {
	size := len(r.text)
	if response != nil {
		size = len(response.Value) + len(response.Reason) + replyOverhead
	}
	b, err := out.Writable(size)
	if err != nil {
		return err
	}
	if response != nil && response.Stream != nil {
		if err := c.writeStream(response.Stream); err != nil {
			c.server.counters.truncated.Add(1)
			c.server.LogError("large value truncated", err)
			return err
		}
		return nil
	}
	if b = b[:0]; response != nil {
		b = appendReply(b, response)
	} else {
		b = append(b, r.text...)
	}
	out.Commit(len(b))
	c.setWriteDeadline(clock.Duration(c.server.Config().WriteTimeout))
	_, err = out.FlushTo(c.net)
	return err
}

// recordWritten releases what a reply held, and wakes the reader if more commands may be processed now.
func (c *conn) recordWritten(r pendingReply, response *exchange.Response) {
	if r.reserved > 0 {
		c.server.Memory.Release(r.reserved)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addBuffered(-r.size)
	if response != nil {
		c.addBuffered(-bufferedSize(response))
	}
	c.state.recordWritten(c.server.Clock.Now(), r.last)
	if c.state.canResume() {
		c.setReadDeadline(expiredDeadline)
	}
	c.cond.Broadcast()
}

// setWriteDeadline sets the deadline of the next write.
func (c *conn) setWriteDeadline(timeout time.Duration) {
	_ = c.net.SetWriteDeadline(time.Now().Add(timeout)) // fails only on a closed connection, and then writing fails too
}
