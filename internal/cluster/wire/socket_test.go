package wire

import (
	"errors"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"mintspring/internal/cluster"
)

var errRead = errors.New("read failed")

const (
	failureDuration = 20 * time.Second
	// maxFailingReads ends the test if reads do not back off: without a backoff the fake clock of synctest never advances.
	maxFailingReads = 10_000
)

// failingConn fails each read for failureDuration, then receives one datagram that is too large, and is then closed.
type failingConn struct {
	peer        netip.AddrPort
	failedSince time.Time
	reads       int
	received    bool
}

func (c *failingConn) ReadFromUDPAddrPort(b []byte) (n int, addr netip.AddrPort, err error) {
	c.reads++
	switch {
	case c.received || c.reads > maxFailingReads:
		return 0, netip.AddrPort{}, net.ErrClosed
	case time.Since(c.failedSince) < failureDuration:
		return 0, netip.AddrPort{}, errRead
	}
	c.received = true
	return copy(b, make([]byte, 2*MaxSize)), c.peer, nil
}

func (c *failingConn) WriteToUDPAddrPort([]byte, netip.AddrPort) (int, error) { return 0, errRead }

func (c *failingConn) Close() error { return nil }

// While reads fail for long, they become rare, the failure is reported once, and the next datagram is handled. A datagram that is too large
// is cut to one byte above the maximum, which Parse rejects.
func TestReadsOfAFailingSocketBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := netip.MustParseAddrPort("127.0.0.1:9")
		conn := &failingConn{peer: peer, failedSince: time.Now()}
		s := &Socket{conn: conn, nodes: map[netip.AddrPort]cluster.NodeID{peer: 3}}
		reports := 0
		var sizes []int
		s.ReadLoop(func(error) { reports++ }, func(from cluster.NodeID, b []byte) {
			if from != 3 {
				t.Errorf("a datagram of node %d", from)
			}
			sizes = append(sizes, len(b))
		})
		if conn.reads > 40 || reports != 1 {
			t.Errorf("%d reads, %d reports", conn.reads, reports)
		}
		if len(sizes) != 1 || sizes[0] != MaxSize+1 {
			t.Errorf("datagrams of the sizes %v, want one of %d bytes", sizes, MaxSize+1)
		}
	})
}
