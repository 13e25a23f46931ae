// Package sockstate inspects the state of a connection without reading from it.
package sockstate

import (
	"errors"
	"net"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Peek reports whether bytes have arrived that nobody has read yet, and whether the other end has closed the connection or it is broken.
// Of a connection other than TCP it reports neither.
//
// A reader is woken a moment after bytes have arrived. Whoever closes or reuses a connection because its reader has seen nothing peeks
// first: closing over unread bytes resets the connection, which destroys a response on its way, and what is written to a closed one is
// lost.
func Peek(conn net.Conn) (readable, closed bool) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false, false
	}
	err := control(tcp, func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		readable = n > 0
		closed = n <= 0 && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	return readable, closed || err != nil
}

// HasPending reports whether a connection waits to be accepted. Of a listener other than TCP it reports that none does.
func HasPending(listener net.Listener) (pending bool) {
	tcp, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	err := control(tcp, func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(poll, 0)
		pending = n > 0 || errors.Is(err, unix.EINTR) // the caller asks again
	})
	return pending && err == nil
}

// States of a TCP connection in which the other end has ended it or it is broken (include/net/tcp_states.h of Linux).
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// tcpInfoBytes is enough of struct tcp_info for its first byte, the state.
const tcpInfoBytes = 8

// EndedByPeer reports whether the other end has closed a TCP connection, or it is broken, also where bytes before that were not read yet. Where
// the system does not say, it reports false.
func EndedByPeer(conn net.Conn) (ended bool) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	err := control(tcp, func(fd uintptr) {
		var info [tcpInfoBytes]byte
		size := uint32(len(info))
		_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&info[0])), uintptr(unsafe.Pointer(&size)), 0)
		if errno != 0 || size == 0 {
			return
		}
		switch info[0] {
		case tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
			ended = true
		}
	})
	return ended || err != nil
}

// control calls a function with the descriptor of a connection or a listener, which stays open meanwhile. The error says that it is closed.
func control(conn syscall.Conn, f func(fd uintptr)) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(f)
}
