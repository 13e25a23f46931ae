// Package loopback gives each process its own network of loopback addresses, 127.N.0.0/16 (Linux, where all of 127.0.0.0/8 is local).
//
// If processes shared an IP address, the kernel could assign a port to one of them as soon as a listener of another closes. Clients that
// still connect to the closed listener would then reach an unrelated server.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
)

// NetworkCount is the number of networks. A process first tries to claim the network whose index is its process id modulo NetworkCount.
const NetworkCount = 128

// Hosts of a network are 127.N.b.c. The value of c determines their use.
const (
	// MaxComposedHost is the highest c of addresses that callers compose themselves. The lowest is 1. NextHost returns no such address.
	MaxComposedHost = 250

	firstListenHost = MaxComposedHost + 1
	listenHostCount = 3   // number of values of c, from firstListenHost
	claimHost       = 254 // c of the socket that claims the network
	subnetCount     = 256 // number of values of b
)

const (
	firstNetwork = 64   // the lowest N, above the addresses that other programs use
	claimPort    = 7001 // port of the socket that claims the network
)

// Network returns the number N of this process's network. The first call claims the network; the process keeps it until it ends.
func Network() (byte, error) { return claimNetworkOnce() }

// claimNetworkOnce claims a network at the first call and returns the same network at later calls.
var claimNetworkOnce = sync.OnceValues(func() (byte, error) {
	for i := range NetworkCount {
		network := byte(firstNetwork + (os.Getpid()+i)%NetworkCount)
		switch err := claimNetwork(network); {
		case err == nil:
			return network, nil
		case !errors.Is(err, syscall.EADDRINUSE):
			return 0, fmt.Errorf("claim network 127.%d: %w", network, err)
		}
	}
	return 0, fmt.Errorf("all of the %d loopback networks are in use", NetworkCount)
})

// claimNetwork claims a network until this process ends, by binding a socket. The error is EADDRINUSE if the network is already claimed.
func claimNetwork(network byte) error {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, network, 0, claimHost}, Port: claimPort})
	if err != nil {
		return errors.Join(err, syscall.Close(fd))
	}
	return nil // the kernel closes the socket when the process ends
}

// hostsReturned is the number of hosts that NextHost has returned.
var hostsReturned atomic.Uint32

// NextHost returns a host of this process's network. It returns each host once before it repeats any. A listener on a new host receives no
// connections that are meant for an earlier listener of the same process.
func NextHost() (netip.Addr, error) {
	network, err := Network()
	if err != nil {
		return netip.Addr{}, err
	}
	n := hostsReturned.Add(1) - 1
	return netip.AddrFrom4([4]byte{127, network, byte(n % subnetCount), byte(firstListenHost + n/subnetCount%listenHostCount)}), nil
}

// EphemeralAddr returns an address to listen on, as host:port: a host of NextHost and port 0, for which the kernel chooses a port.
func EphemeralAddr() (string, error) {
	host, err := NextHost()
	if err != nil {
		return "", err
	}
	return netip.AddrPortFrom(host, 0).String(), nil
}

// Listen listens for TCP connections on an address of EphemeralAddr.
func Listen() (net.Listener, error) {
	addr, err := EphemeralAddr()
	if err != nil {
		return nil, err
	}
	return net.Listen("tcp4", addr)
}

// ListenPacket opens a UDP socket on an address of EphemeralAddr.
func ListenPacket() (net.PacketConn, error) {
	addr, err := EphemeralAddr()
	if err != nil {
		return nil, err
	}
	return net.ListenPacket("udp4", addr)
}
