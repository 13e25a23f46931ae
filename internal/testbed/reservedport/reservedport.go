// Package reservedport reserves addresses of the process's loopback network for processes that listen on them later, or again and again.
package reservedport

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"

	"mintspring/internal/testbed/loopback"
)

// Port is a loopback address that the kernel assigns to no socket that does not name its number.
//
// An address that was found to be free and then closed may be assigned to the next socket that binds any port: a listener on port 0, or the
// near end of an outgoing connection. A socket that is bound with SO_REUSEADDR and never listens keeps the address from both, and
// still lets those who name it listen, one at a time (Linux; bind(2) and socket(7)).
type Port struct {
	addr string
	fd   int // of the bound socket; closedFD after Close
}

// closedFD marks a port whose socket has been closed.
const closedFD = -1

// Reserve finds a free TCP address on loopback and reserves it until Close.
func Reserve() (*Port, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("reserving a port: %w", err)
	}
	addr, err := bindLoopback(fd)
	if err != nil {
		return nil, fmt.Errorf("reserving a port: %w", errors.Join(err, syscall.Close(fd)))
	}
	return &Port{addr: addr, fd: fd}, nil
}

// bindLoopback binds a socket to a host of its own and a port of the kernel's choice and returns its address as host:port.
func bindLoopback(fd int) (string, error) {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return "", err
	}
	host, err := loopback.NextHost()
	if err != nil {
		return "", err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: host.As4()}); err != nil {
		return "", err
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return "", err
	}
	inet, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		return "", fmt.Errorf("the socket is bound to a %T", bound)
	}
	return netip.AddrPortFrom(host, uint16(inet.Port)).String(), nil
}

// ReserveUDP reserves an address on loopback on which datagrams can be received too. Its number is reserved for TCP only: another
// UDP socket could still take it, but few programs open any.
func ReserveUDP() (*Port, error) {
	for {
		port, err := Reserve()
		if err != nil {
			return nil, err
		}
		probe, err := net.ListenPacket("udp4", port.addr)
		if err == nil {
			err = probe.Close()
		}
		if err == nil {
			return port, nil
		}
		if closeErr := port.Close(); closeErr != nil || !errors.Is(err, syscall.EADDRINUSE) {
			return nil, fmt.Errorf("reserving a UDP port: %w", errors.Join(err, closeErr))
		}
	}
}

// Addr returns the address as host:port.
func (p *Port) Addr() string { return p.addr }

// Listen listens on the address. When the listener is closed, the address is still reserved.
//
// A process that was being started as an earlier listener was closed has a copy of its descriptor until it executes its program: the
// address is in use until then. The lock is held for writing from the fork on until that.
func (p *Port) Listen() (*net.TCPListener, error) {
	syscall.ForkLock.RLock()
	syscall.ForkLock.RUnlock() //nolint:staticcheck // nothing is guarded, the end of a fork is waited for
	listener, err := net.Listen("tcp4", p.addr)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// Close ends the reservation. Closing a port twice is fine.
func (p *Port) Close() error {
	if p.fd == closedFD {
		return nil
	}
	fd := p.fd
	p.fd = closedFD
	return syscall.Close(fd)
}
