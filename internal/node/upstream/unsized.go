package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"mintspring/internal/fleet"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/memlimit"
	"mintspring/internal/node/ringbuf"
)

// ErrUnsized is returned by Protocol.ParseResponse for an unsized response: one that does not announce the length of its value, and
// ends with its last chunk or with the connection. A short unsized response that has arrived completely is
// parsed as usual. Clients are sent the length before the value, so an unsized value must be buffered until its end.
var ErrUnsized = errors.New("response of unknown length")

// UnsizedReader is implemented by a Protocol that has unsized responses.
type UnsizedReader interface {
	// ReadUnsized reads an unsized response from its beginning, and passes the value's bytes to write as they arrive.
	ReadUnsized(r io.Reader, write func([]byte) error) (Response, error)
}

var errNoMemory = errors.New("no memory for a value of unknown length")

// firstChunkSize is the size of the first chunk of a buffered value, in bytes. It is small because most values of unknown length are small.
const firstChunkSize = 4 << 10

// bufferedValue buffers a value of unknown length. It consists of chunks, so that the value is not copied as it grows. Once it is
// complete it serves as an exchange.Stream.
type bufferedValue struct {
	memory *memlimit.Budget
	chunks [][]byte
	size   int64
	next   int // index of the chunk that Next returns
}

// write appends bytes. It fails if the memory budget is exhausted.
func (v *bufferedValue) write(b []byte) error {
	for len(b) > 0 {
		last := len(v.chunks) - 1
		if last < 0 || len(v.chunks[last]) == cap(v.chunks[last]) {
			if err := v.addChunk(); err != nil {
				return err
			}
			continue
		}
		n := min(len(b), cap(v.chunks[last])-len(v.chunks[last]))
		v.chunks[last] = append(v.chunks[last], b[:n]...)
		v.size += int64(n)
		b = b[n:]
	}
	return nil
}

func (v *bufferedValue) addChunk() error {
	size := exchange.MaxBufferedValue
	if len(v.chunks) == 0 {
		size = firstChunkSize
	}
	if !v.memory.TryAcquire(int64(size)) {
		return errNoMemory
	}
	v.chunks = append(v.chunks, make([]byte, 0, size))
	return nil
}

// Size implements exchange.Stream.
func (v *bufferedValue) Size() int64 { return v.size }

// Next implements exchange.Stream.
func (v *bufferedValue) Next() ([]byte, error) {
	if v.next == len(v.chunks) {
		return nil, io.EOF
	}
	v.next++
	return v.chunks[v.next-1], nil
}

// Close implements exchange.Stream. It returns the memory to the budget; chunks returned by Next must not be used after that.
func (v *bufferedValue) Close() {
	for _, chunk := range v.chunks {
		v.memory.Release(int64(cap(chunk)))
	}
	v.chunks, v.next = nil, 0
}

// stallReader reads an unsized response from a connection. It fails a read that takes longer than StreamStallTimeout; an attempt in flight ends
// sooner, at its deadline.
type stallReader struct{ conn *conn }

func (r stallReader) Read(b []byte) (int, error) {
	r.conn.setStreamReadTimeout()
	return r.conn.net.Read(b)
}

// readUnsized reads an unsized response whose beginning is in the ring. If its attempt times out in the meantime, the rest is still
// read, and dropped: closing the connection would reset it under a server that is still sending.
func (c *conn) readUnsized(in *ringbuf.Ring) (Response, error) {
	protocol, ok := c.endpoint.protocol.(UnsizedReader)
	if !ok {
		return Response{}, ErrUnsized
	}
	value := &bufferedValue{memory: c.endpoint.group.Memory}
	total := 0
	source := io.MultiReader(bytes.NewReader(bytes.Clone(in.Peek())), stallReader{c})
	response, err := protocol.ReadUnsized(source, func(b []byte) error {
		if total += len(b); total > exchange.MaxStreamedValue {
			return fmt.Errorf("value exceeds %d bytes", exchange.MaxStreamedValue)
		}
		if c.discarding.Load() {
			value.Close()
			return nil
		}
		return value.write(b)
	})
	in.Discard(in.Len())
	switch {
	case err != nil || c.discarding.Load() || response.Result != fleet.Completed:
		value.Close()
	case value.size > exchange.MaxBufferedValue:
		response.Stream = value
	default:
		response.Value = bytes.Join(value.chunks, nil)
		value.Close()
	}
	response.Close = true // bytes after the response may have been read with it, and are not checked
	return response, err
}
