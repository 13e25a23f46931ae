package datagram

import (
	"errors"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"
)

var errSocket = errors.New("socket failed")

// maxFailingReads ends the test if reads do not back off: without a backoff the fake clock of synctest never advances.
const maxFailingReads = 10_000

// failingSocket fails each read for the duration of failure, then receives one datagram, and repeats this for a number of rounds. Then it
// is closed.
type failingSocket struct {
	failure     time.Duration
	rounds      int
	reads       int
	failedSince time.Time
}

func (s *failingSocket) ReadFromUDPAddrPort(b []byte) (n int, addr netip.AddrPort, err error) {
	s.reads++
	if s.rounds == 0 || s.reads > maxFailingReads {
		return 0, netip.AddrPort{}, net.ErrClosed
	}
	if time.Since(s.failedSince) < s.failure {
		return 0, netip.AddrPort{}, errSocket
	}
	s.rounds--
	s.failedSince = time.Now()
	return copy(b, "datagram"), netip.AddrPort{}, nil
}

// While reads fail for long, they become rare, and each such failure is reported once. A short failure is not reported.
func TestReadsOfAFailingSocketBackOff(t *testing.T) {
	for _, x := range []struct {
		failure           time.Duration
		maxReads, reports int // total of both rounds
	}{
		{failure: 20 * time.Second, maxReads: 80, reports: 2},
		{failure: 100 * time.Millisecond, maxReads: 30, reports: 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			socket := &failingSocket{failure: x.failure, rounds: 2, failedSince: time.Now()}
			reports, received := 0, 0
			Receive(socket, nil, func(error) { reports++ }, func([]byte, netip.AddrPort) { received++ })
			if socket.reads > x.maxReads || reports != x.reports || received != 2 {
				t.Errorf("failing for %v: %d reads, %d reports, %d datagrams", x.failure, socket.reads, reports, received)
			}
		})
	}
}

// stoppedSocket closes stopping and fails at its first read, and is closed at the second.
type stoppedSocket struct {
	stopping chan struct{}
	reads    int
}

func (s *stoppedSocket) ReadFromUDPAddrPort([]byte) (n int, addr netip.AddrPort, err error) {
	if s.reads++; s.reads > 1 {
		return 0, netip.AddrPort{}, net.ErrClosed
	}
	close(s.stopping)
	return 0, netip.AddrPort{}, errSocket
}

// A stop does not wait for the backoff after a failed read.
func TestStopEndsABackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		socket, start := &stoppedSocket{stopping: make(chan struct{})}, time.Now()
		Receive(socket, socket.stopping, func(error) {}, func([]byte, netip.AddrPort) {})
		if waited := time.Since(start); waited > 0 {
			t.Errorf("Receive waits %v after the stop", waited)
		}
	})
}
