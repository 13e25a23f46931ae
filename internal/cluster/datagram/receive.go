// Package datagram receives datagrams from a socket and retries with a backoff while reads fail.
package datagram

import (
	"errors"
	"net"
	"net/netip"
	"time"
)

// Limits of the backoff after a failed read. It doubles with each consecutive failure.
const (
	minBackoff = time.Millisecond
	maxBackoff = time.Second
)

// bufferSize holds any datagram.
const bufferSize = 64 << 10

// Reader is a socket that receives datagrams, such as a *net.UDPConn.
type Reader interface {
	ReadFromUDPAddrPort(b []byte) (n int, addr netip.AddrPort, err error)
}

// Receive passes each non-empty datagram to handle until the socket is closed. The payload is valid only during the call of handle. When
// reads fail until the backoff reaches its maximum, Receive reports the error once, and reports another only after a read has succeeded.
// Once stopping, which may be nil, is closed, Receive returns instead of backing off.
func Receive(socket Reader, stopping <-chan struct{}, reportError func(error), handle func(payload []byte, from netip.AddrPort)) {
	buffer := make([]byte, bufferSize)
	backoff := minBackoff
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select {
			case <-stopping:
				return
			case <-time.After(backoff):
			}
			if backoff < maxBackoff {
				if backoff = min(2*backoff, maxBackoff); backoff == maxBackoff {
					reportError(err)
				}
			}
			continue
		}
		backoff = minBackoff
		if n > 0 {
			handle(buffer[:n], from)
		}
	}
}
