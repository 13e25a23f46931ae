package reservedport

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"syscall"
	"testing"
	"time"

	"mintspring/internal/testbed/loopbacktest"
)

// localPortRange is IP_LOCAL_PORT_RANGE of linux/in.h: the ports that the kernel may choose for a socket, the last one in the upper
// half of the value.
const localPortRange = 51

// chooseOnly lets the kernel choose among one port only, so that a test does not need a thousand attempts to be given it.
func chooseOnly(t *testing.T, addr string) func(network, address string, c syscall.RawConn) error {
	t.Helper()
	_, text, err := net.SplitHostPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, localPortRange, port<<16|port)
		})
		return errors.Join(controlErr, err)
	}
}

func reserve(t *testing.T) *Port {
	t.Helper()
	port, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeOrFail(t, port) })
	return port
}

func closeOrFail(t *testing.T, c interface{ Close() error }) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

// isGivenOut reports whether the kernel gives the address to a listener on port 0 of its host, and to an outgoing connection to peer from
// its host. A connection that names no host has the address of none of them: it goes out from 127.0.0.1.
func isGivenOut(t *testing.T, addr, peer string) (listener, connection bool) {
	t.Helper()
	host := netip.MustParseAddrPort(addr).Addr()
	anyPort := netip.AddrPortFrom(host, 0)
	listenConfig := net.ListenConfig{Control: chooseOnly(t, addr)}
	ln, err := listenConfig.Listen(context.Background(), "tcp4", anyPort.String())
	if errors.Is(err, syscall.ENOPROTOOPT) {
		t.Skip("the kernel cannot be told which ports to choose from")
	}
	if listener = err == nil; listener {
		closeOrFail(t, ln)
	}
	dialer := net.Dialer{Control: chooseOnly(t, addr), LocalAddr: net.TCPAddrFromAddrPort(anyPort), Timeout: time.Second}
	conn, err := dialer.Dial("tcp4", peer)
	if connection = err == nil; connection {
		closeOrFail(t, conn)
	}
	return listener, connection
}

// A reserved address is assigned to no socket that binds any port, to listen on or to connect from, also while a listener of its own
// comes and goes; the same calls are given an address that is no longer reserved.
func TestReservedAddressIsNotGivenOut(t *testing.T) {
	peer := loopbacktest.Listen(t)
	defer closeOrFail(t, peer)
	released := reserve(t)
	closeOrFail(t, released)
	if listener, connection := isGivenOut(t, released.Addr(), peer.Addr().String()); !listener || !connection {
		t.Errorf("an address that is free again is given to a listener: %v, to a connection: %v", listener, connection)
	}
	port := reserve(t)
	for range 3 {
		if listener, connection := isGivenOut(t, port.Addr(), peer.Addr().String()); listener || connection {
			t.Fatalf("a reserved address is given to a listener: %v, to a connection: %v", listener, connection)
		}
		listenAndAccept(t, port)
	}
}

// listenAndAccept has a listener on a reserved port come and go, with a connection of which its own end closes first, so that the
// address lingers in TIME_WAIT.
func listenAndAccept(t *testing.T, port *Port) {
	t.Helper()
	listener, err := port.Listen()
	if err != nil {
		t.Fatal(err)
	}
	if second, err := port.Listen(); err == nil {
		closeOrFail(t, second)
		t.Error("two listeners share one address")
	}
	conn, err := net.Dial("tcp4", port.Addr())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	closeOrFail(t, accepted)
	closeOrFail(t, conn)
	closeOrFail(t, listener)
}
