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

// ipLocalPortRange is IP_LOCAL_PORT_RANGE of linux/in.h. The option sets the range of ports that the kernel may choose for a socket: the
// lowest port in the lower 16 bits, the highest in the upper 16 bits.
const ipLocalPortRange = 51

// restrictPortTo returns a socket control function that restricts the kernel's choice to the port of addr. Without it a test might need
// thousands of attempts to be assigned that port.
func restrictPortTo(t *testing.T, addr string) func(network, address string, c syscall.RawConn) error {
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
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, ipLocalPortRange, port<<16|port)
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

// kernelAssigns reports whether the kernel assigns the address to a listener on port 0 of its host, and to an outgoing connection to peer
// from its host. The connection names its local host, because the kernel would choose 127.0.0.1 otherwise.
func kernelAssigns(t *testing.T, addr, peer string) (listener, connection bool) {
	t.Helper()
	host := netip.MustParseAddrPort(addr).Addr()
	anyPort := netip.AddrPortFrom(host, 0)
	listenConfig := net.ListenConfig{Control: restrictPortTo(t, addr)}
	ln, err := listenConfig.Listen(context.Background(), "tcp4", anyPort.String())
	if errors.Is(err, syscall.ENOPROTOOPT) {
		t.Skip("the kernel does not support IP_LOCAL_PORT_RANGE")
	}
	if listener = err == nil; listener {
		closeOrFail(t, ln)
	}
	dialer := net.Dialer{Control: restrictPortTo(t, addr), LocalAddr: net.TCPAddrFromAddrPort(anyPort), Timeout: time.Second}
	conn, err := dialer.Dial("tcp4", peer)
	if connection = err == nil; connection {
		closeOrFail(t, conn)
	}
	return listener, connection
}

// The kernel does not assign a reserved address to a listener on port 0 or to an outgoing connection, before and after listeners use it.
// It does assign an address whose reservation has ended.
func TestReservedAddressIsNotAssigned(t *testing.T) {
	peer := loopbacktest.Listen(t)
	defer closeOrFail(t, peer)
	released := reserve(t)
	closeOrFail(t, released)
	if listener, connection := kernelAssigns(t, released.Addr(), peer.Addr().String()); !listener || !connection {
		t.Errorf("released address is assigned to a listener: %v, to a connection: %v", listener, connection)
	}
	port := reserve(t)
	for range 3 {
		if listener, connection := kernelAssigns(t, port.Addr(), peer.Addr().String()); listener || connection {
			t.Fatalf("reserved address is assigned to a listener: %v, to a connection: %v", listener, connection)
		}
		listenAndAccept(t, port)
	}
}

// listenAndAccept opens and closes a listener on a reserved port. It also closes the accepted end of a connection first, which leaves the
// address in TIME_WAIT.
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
