// Package reservedport reserves addresses of the process's loopback network for processes that listen on them later or repeatedly.
package reservedport

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"syscall"

	"mintspring/internal/testbed/loopback"
)

// Port is a reserved loopback address: the kernel assigns it to a socket only if the socket requests its port number.
//
// Without a reservation, a free address that was bound and closed again may be assigned to the next socket that requests any port: a
// listener on port 0, or the local end of an outgoing connection. A socket that is bound with SO_REUSEADDR and never listens keeps the
// kernel from assigning the address to either. Listeners that request the address can still use it, one at a time (Linux; bind(2) and
// socket(7)).
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

// bindLoopback binds a socket to a new loopback host and a port that the kernel chooses, and returns the address as host:port.
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
		return "", fmt.Errorf("unexpected type of socket address: %T", bound)
	}
	return netip.AddrPortFrom(host, uint16(inet.Port)).String(), nil
}

// ReserveUDP reserves a loopback address whose port is also free for UDP. The port is reserved for TCP only: another UDP socket could
// still bind it, but few programs open UDP sockets.
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

// Listen listens on the address. The address stays reserved after the listener is closed.
//
// A child process that was forked before an earlier listener was closed has a copy of the listener's descriptor until it executes its
// program, and the address is in use until then. ForkLock is held for writing from the fork to the exec, so Listen waits for the lock.
func (p *Port) Listen() (*net.TCPListener, error) {
	syscall.ForkLock.RLock()
	syscall.ForkLock.RUnlock() //nolint:staticcheck // the critical section is empty: the lock only waits for forks in progress
	listener, err := net.Listen("tcp4", p.addr)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// Close ends the reservation. It may be called more than once.
func (p *Port) Close() error {
	if p.fd == closedFD {
		return nil
	}
	fd := p.fd
	p.fd = closedFD
	return syscall.Close(fd)
}
