// Package loopback gives each process a network of loopback addresses of its own, 127.N.0.0/16 (Linux, where all of 127.0.0.0/8 is local).
//
// A port of an address that processes share may be given to one of them as soon as a listener of another ends. Whoever still connects to
// that listener, because it was not told or is slow to end, then reaches a stranger.
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

// NetworkCount is how many networks there are. The first one that a process tries to claim is that of its process id modulo NetworkCount.
const NetworkCount = 128

// Hosts of a network: 127.N.b.c, where c tells what they are for.
const (
	// MaxComposedHost is the highest c of addresses that callers compose themselves; they begin at 1. NextHost returns none of them.
	MaxComposedHost = 250

	firstListenHost = MaxComposedHost + 1
	listenHosts     = 3   // values of c from firstListenHost on
	claimHost       = 254 // of the socket that claims the network
	subnets         = 256 // values of b
)

const (
	firstNetwork = 64   // the lowest N, beyond addresses that other programs use
	claimPort    = 7001 // of the socket that claims the network
)

// Network returns the number N of the network that this process has claimed. It keeps it until it ends.
func Network() (byte, error) { return claimOnce() }

// claimOnce claims a network at its first call, and returns the same one at all others.
var claimOnce = sync.OnceValues(func() (byte, error) {
	for i := range NetworkCount {
		network := byte(firstNetwork + (os.Getpid()+i)%NetworkCount)
		switch err := claim(network); {
		case err == nil:
			return network, nil
		case !errors.Is(err, syscall.EADDRINUSE):
			return 0, fmt.Errorf("claim network 127.%d: %w", network, err)
		}
	}
	return 0, fmt.Errorf("all of the %d loopback networks are in use", NetworkCount)
})

// claim binds a socket that claims a network for as long as this process runs. The error is EADDRINUSE if another process has claimed it.
func claim(network byte) error {
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

// hostsGiven is how many hosts NextHost has returned.
var hostsGiven atomic.Uint32

// NextHost returns a host of this process's network, each time another one until all of them have been returned. What listens on a host
// of its own is not reached by who still connects to an earlier listener of the same process.
func NextHost() (netip.Addr, error) {
	network, err := Network()
	if err != nil {
		return netip.Addr{}, err
	}
	n := hostsGiven.Add(1) - 1
	return netip.AddrFrom4([4]byte{127, network, byte(n % subnets), byte(firstListenHost + n/subnets%listenHosts)}), nil
}

// EphemeralAddr returns an address to listen on, as host:port: a host of NextHost and a port of the kernel's choice.
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

// ListenPacket receives datagrams on an address of EphemeralAddr.
func ListenPacket() (net.PacketConn, error) {
	addr, err := EphemeralAddr()
	if err != nil {
		return nil, err
	}
	return net.ListenPacket("udp4", addr)
}
