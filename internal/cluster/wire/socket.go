package wire

import (
	"fmt"
	"net"
	"net/netip"
	"slices"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/datagram"
)

// Socket is the UDP socket through which a node exchanges datagrams with the others. It identifies nodes by their addresses and drops
// datagrams from any other address, so that a node cannot impersonate one at another address.
type Socket struct {
	conn      udpConn
	addresses []netip.AddrPort // by node id
	nodes     map[netip.AddrPort]cluster.NodeID
}

// udpConn has the methods of *net.UDPConn that a Socket uses.
type udpConn interface {
	datagram.Reader
	WriteToUDPAddrPort(b []byte, addr netip.AddrPort) (int, error)
	Close() error
}

// Listen opens the socket on an address. The addresses of all nodes are given in the order of their ids.
func Listen(address string, nodeAddresses []string) (*Socket, error) {
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve gossip address %q: %w", address, err)
	}
	s := &Socket{nodes: map[netip.AddrPort]cluster.NodeID{}}
	for i, nodeAddress := range nodeAddresses {
		remote, err := netip.ParseAddrPort(nodeAddress)
		if err != nil {
			return nil, fmt.Errorf("address of peer %d: %w", i, err)
		}
		s.addresses = append(s.addresses, remote)
		s.nodes[remote] = cluster.NodeID(i)
	}
	if s.conn, err = net.ListenUDP("udp", local); err != nil {
		return nil, fmt.Errorf("listen for gossip: %w", err)
	}
	return s, nil
}

// Send sends a datagram to a node. A datagram that cannot be sent is lost like any other.
func (s *Socket) Send(to cluster.NodeID, b []byte) {
	if int(to) < len(s.addresses) {
		_, _ = s.conn.WriteToUDPAddrPort(b, s.addresses[to]) // datagrams may be lost: the protocol repeats what matters
	}
}

// ReadLoop passes each datagram of a known node to handle, which owns the bytes, until the socket is closed. It reports an error that
// persists, and backs off while reads fail.
func (s *Socket) ReadLoop(reportError func(error), handle func(from cluster.NodeID, b []byte)) {
	datagram.Receive(s.conn, nil, reportError, func(payload []byte, addr netip.AddrPort) {
		remote := netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
		if from, known := s.nodes[remote]; known {
			kept := payload[:min(len(payload), MaxSize+1)] // one byte above the maximum, so that Parse rejects a datagram that is too large
			handle(from, slices.Clone(kept))
		}
	})
}

// Close closes the socket, which ends ReadLoop.
func (s *Socket) Close() {
	_ = s.conn.Close() // an error loses nothing: the socket is no longer used
}
