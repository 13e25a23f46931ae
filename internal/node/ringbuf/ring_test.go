package ringbuf

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// ringModel is a ring together with the unread bytes that it is expected to hold.
type ringModel struct {
	ring Ring
	want []byte
	next byte // next byte to write
}

// In any sequence of operations, a ring holds the same unread bytes as a slice.
func TestRingAgainstSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m ringModel
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				m.write(t)
			case 1:
				m.read(t)
			case 2:
				n := rapid.IntRange(0, len(m.want)).Draw(t, "discard")
				m.ring.Discard(n)
				m.want = m.want[n:]
			case 3:
				m.flush(t)
			case 4:
				m.ring.ReleaseIfEmpty()
			}
			if m.ring.Len() != len(m.want) || !bytes.Equal(m.ring.Peek(), m.want) {
				t.Fatalf("holds %d bytes, want %d", m.ring.Len(), len(m.want))
			}
		}
	})
}

// nextBytes returns the next n bytes to write.
func (m *ringModel) nextBytes(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i], m.next = m.next, m.next+1
	}
	return b
}

// write writes to the ring with Writable and Commit.
func (m *ringModel) write(t *rapid.T) {
	n := rapid.IntRange(1, 9000).Draw(t, "writable")
	b, err := m.ring.Writable(n)
	if (err != nil) != (len(m.want)+n > MaxSize) {
		t.Fatalf("Writable(%d) with %d unread bytes: %v", n, len(m.want), err)
	}
	if err != nil {
		return
	}
	copy(b, m.nextBytes(n))
	m.ring.Commit(n)
	m.want = append(m.want, b...)
}

// read fills the ring with ReadOnce.
func (m *ringModel) read(t *rapid.T) {
	src := m.nextBytes(rapid.IntRange(1, 3000).Draw(t, "read"))
	n, err := m.ring.ReadOnce(bytes.NewReader(src))
	if err != nil && len(m.want) < MaxSize {
		t.Fatal(err)
	}
	m.want = append(m.want, src[:n]...)
	m.next -= byte(len(src) - n)
}

// flush writes all unread bytes to a writer with FlushTo.
func (m *ringModel) flush(t *rapid.T) {
	var out bytes.Buffer
	if n, err := m.ring.FlushTo(&out); err != nil || n != len(m.want) || !bytes.Equal(out.Bytes(), m.want) {
		t.Fatalf("flushed %d of %d, %v", n, len(m.want), err)
	}
	m.want = nil
}

// ReleaseIfEmpty releases the memory of an empty ring, and keeps that of a ring with unread bytes.
func TestReleaseIfEmpty(t *testing.T) {
	var r Ring
	b, _ := r.Writable(60000)
	r.Commit(len(b))
	r.ReleaseIfEmpty()
	if r.buf == nil {
		t.Fatal("a ring with unread bytes was released")
	}
	r.Discard(60000)
	if r.ReleaseIfEmpty(); r.buf != nil {
		t.Fatal("an empty ring was not released")
	}
}
