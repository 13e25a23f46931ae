package clients

import (
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"mintspring/internal/clock"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/lifecycle"
	"mintspring/internal/node/ringbuf"
)

// replyOverhead is an upper bound for the bytes that a reply takes in addition to its value and message.
const replyOverhead = 64

// maxBatchSize is the number of bytes up to which replies that do not come from a server are written with one system call: a client that
// sends many commands in a row while they are rejected has as many replies.
const maxBatchSize = 16 << 10

// replyBatch holds replies that are written together: one reply to a request, or others, which have only a text.
type replyBatch struct {
	replies  []pendingReply
	response *exchange.Response // of the request; nil if there is none
}

// clear drops the references to requests and values, which the batch of an idle connection would otherwise keep in memory.
func (b *replyBatch) clear() {
	clear(b.replies)
	b.replies, b.response = b.replies[:0], nil
}

// last reports whether the connection is closed after the batch.
func (b *replyBatch) last() bool { return b.replies[len(b.replies)-1].last }

// encodedSize returns an upper bound for the bytes of the batch. Those of a streamed value do not count.
func (b *replyBatch) encodedSize() int {
	if b.response != nil {
		return len(b.response.Value) + len(b.response.Reason) + replyOverhead
	}
	size := 0
	for i := range b.replies {
		size += len(b.replies[i].text)
	}
	return size
}

// appendTo appends the encoded batch, which must not be a streamed value.
func (b *replyBatch) appendTo(out []byte) []byte {
	if b.response != nil {
		return appendReply(out, b.response)
	}
	for i := range b.replies {
		out = append(out, b.replies[i].text...)
	}
	return out
}

// writeLoop writes the replies in the order of the commands.
func (c *conn) writeLoop() {
	var out ringbuf.Ring
	defer out.Release()
	defer c.recoverPanic()
	var batch replyBatch
	for c.nextBatch(&batch) {
		if err := c.sendBatch(&out, &batch); err != nil {
			return
		}
		if tcp, ok := c.net.(*net.TCPConn); ok && batch.last() {
			_ = tcp.CloseWrite() // the reader notices a failed connection by itself
			return
		} else if c.closeMode() != lifecycle.KeepOpen {
			c.requestDrain()
		}
		out.ReleaseIfEmpty()
		batch.clear()
	}
}

// nextBatch waits until the reply at the head of the queue can be written, and moves it to the batch with the texts behind it. It reports
// false when the connection is closed.
func (c *conn) nextBatch(batch *replyBatch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.state.phase != phaseClosed {
		if reply, response, ok := c.state.dequeue(c.server.Clock.Now()); ok {
			batch.replies, batch.response = append(batch.replies[:0], reply), response
			if reply.request == nil {
				batch.replies = c.state.dequeueTexts(batch.replies)
			}
			c.cond.Broadcast()
			return true
		}
		c.cond.Wait()
	}
	return false
}

// sendBatch writes replies and releases what they held. If writing fails or panics, the connection is closed before the release: after
// part of a reply it must not count as idle.
func (c *conn) sendBatch(out *ringbuf.Ring, batch *replyBatch) (err error) {
	sent := false
	defer func() {
		if !sent {
			c.close()
		}
		c.recordWritten(batch)
	}()
	err = c.writeBatch(out, batch)
	sent = err == nil
	return err
}

// writeBatch writes replies. It returns an error if a large value breaks off after its first byte.
func (c *conn) writeBatch(out *ringbuf.Ring, batch *replyBatch) error {
	b, err := out.Writable(batch.encodedSize())
	if err != nil {
		return err
	}
	if batch.response != nil && batch.response.Stream != nil {
		if err := c.writeStream(batch.response.Stream); err != nil {
			c.server.counters.truncated.Add(1)
			c.server.LogError("large value truncated", err)
			return err
		}
		return nil
	}
	out.Commit(len(batch.appendTo(b[:0])))
	defer out.Discard(out.Len())
	return c.write(out.Peek())
}

// recordWritten releases what replies held, and wakes the reader if more commands may be processed now.
func (c *conn) recordWritten(batch *replyBatch) {
	for i := range batch.replies {
		if reserved := batch.replies[i].reserved; reserved > 0 {
			c.server.Memory.Release(reserved)
		}
	}
	memory := int64(0)
	defer func() { c.server.ReplyMemory.release(memory) }() // with the mutex unlocked
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range batch.replies {
		c.addBuffered(-batch.replies[i].size, false)
		memory += batch.replies[i].memory
	}
	if batch.response != nil {
		c.addBuffered(-bufferedSize(batch.response), isPrepaid(batch.replies[0].request, batch.response))
	}
	c.state.recordWritten(c.server.Clock.Now(), batch.last())
	if c.state.canResume() {
		c.setReadDeadline(expiredDeadline)
	}
	c.cond.Broadcast()
}

// setWriteDeadline sets the deadline of the next write.
func (c *conn) setWriteDeadline(timeout time.Duration) {
	_ = c.net.SetWriteDeadline(time.Now().Add(timeout)) // fails only on a closed connection, and then writing fails too
}

// notChecked stands for a number of unacknowledged bytes that has not been read yet.
const notChecked = -2

// stallChecks is how often a write that blocks is checked for progress within the time for which it may stall.
const stallChecks = 10

// write writes bytes completely, unless the client takes nothing for Config.WriteTimeout. That may take longer than any client timeout: once
// its first bytes are sent, a slow transfer concerns only the client and the server (the operators' page of daily operation, "Less room").
// A blocked write does not show that the client takes nothing: the kernel lets a write continue only when a third of its buffer is free,
// which a slow client may need many seconds for. A change of the number of unacknowledged bytes shows progress.
func (c *conn) write(b []byte) error {
	maxStall := clock.Duration(c.server.Config().WriteTimeout)
	lastProgress, unacknowledged := time.Now(), notChecked
	for {
		c.setWriteDeadline(maxStall / stallChecks)
		n, err := c.net.Write(b)
		b = b[n:]
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		current := unacknowledgedBytes(c.net)
		if n > 0 || current != unacknowledged {
			lastProgress = time.Now()
		}
		unacknowledged = current
		if time.Since(lastProgress) > maxStall {
			return err
		}
	}
}

// unacknowledgedBytes returns how many bytes written to a connection the peer has not acknowledged; -1 if that is unknown.
func unacknowledgedBytes(netConn net.Conn) int {
	tcp, ok := netConn.(*net.TCPConn)
	if !ok {
		return -1
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return -1
	}
	unacknowledged := -1
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			unacknowledged = n
		}
	})
	if err != nil {
		return -1
	}
	return unacknowledged
}
