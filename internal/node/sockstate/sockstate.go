// Package sockstate inspects the state of a connection without reading from it.
package sockstate

import (
	"errors"
	"net"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Peek reports whether unread bytes have arrived on a TCP connection, and whether the peer has closed the connection or it is broken.
// For other connections it reports false for both.
//
// A reader goroutine wakes up only some time after bytes have arrived. Before a connection is closed or reused as idle, call Peek:
// closing a connection with unread bytes resets it, which destroys a response in transit, and bytes written to a connection that the
// peer has closed are lost.
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

// Unread returns how many bytes of a TCP connection have arrived and were not read. It reports false if the system does not tell.
func Unread(conn net.Conn) (bytes int, ok bool) {
	tcp, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return 0, false
	}
	err := control(tcp, func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		bytes, ok = n, err == nil
	})
	return bytes, ok && err == nil
}

// HasPending reports whether a connection waits to be accepted. For a listener without a file descriptor it reports false.
func HasPending(listener net.Listener) (pending bool) {
	tcp, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	err := control(tcp, func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(poll, 0)
		pending = n > 0 || errors.Is(err, unix.EINTR) // the caller will call again
	})
	return pending && err == nil
}

// States of a TCP connection that the peer has closed or that is broken (include/net/tcp_states.h of Linux).
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// tcpInfoBytes is the size of the part of struct tcp_info that is read. Only its first byte, the state, is used.
const tcpInfoBytes = 8

// EndedByPeer reports whether the peer has closed a TCP connection or it is broken, even if unread bytes precede the close. If the
// system does not provide the state, it reports false.
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

// SinceLastArrival returns how long ago the last bytes arrived on a TCP connection. It reports false if none have, or if the system does not tell.
func SinceLastArrival(conn net.Conn) (age time.Duration, known bool) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0, false
	}
	err := control(tcp, func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil || info.Bytes_received == 0 {
			return
		}
		age, known = time.Duration(info.Last_data_recv)*time.Millisecond, true
	})
	return age, known && err == nil
}

// control calls f with the descriptor of a connection or listener, which stays open during the call. It fails if conn is closed.
func control(conn syscall.Conn, f func(fd uintptr)) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(f)
}
