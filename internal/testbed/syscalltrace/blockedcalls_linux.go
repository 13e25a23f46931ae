//go:build amd64 || arm64

package syscalltrace

import (
	"slices"
	"syscall"
)

// Numbers of system calls and a flag that package syscall does not define.
const (
	sysIOUringSetup = 425
	sysClone3       = 435
	cloneThread     = 0x10000 // CLONE_THREAD
)

// blockedCall says how the platform fails a system call.
type blockedCall struct {
	name  string
	errno syscall.Errno
	// A tolerated call fails, but is not reported and does not end the program in Kill mode: the standard library tries it once to
	// detect what the system supports, and works without it.
	tolerated bool
}

var blockedFork = &blockedCall{name: "fork", errno: syscall.ENOSYS}

// alwaysBlocked holds the system calls that are blocked whatever their arguments, by number, beside forkCalls.
var alwaysBlocked = map[uint64]*blockedCall{
	syscall.SYS_EXECVE:   {name: "execve", errno: syscall.ENOSYS},
	sysExecveat:          {name: "execve", errno: syscall.ENOSYS},
	sysIOUringSetup:      {name: "io_uring", errno: syscall.ENOSYS},
	syscall.SYS_SENDFILE: {name: "sendfile", errno: syscall.ENOSYS},
	syscall.SYS_SPLICE:   {name: "splice", errno: syscall.EINVAL},
}

// findBlockedCall returns how the platform fails a system call, or nil if the platform allows the call. readWord reads eight bytes of
// the traced program's memory.
func findBlockedCall(number uint64, args [6]uint64, readWord func(address uint64) uint64) *blockedCall {
	switch number {
	case syscall.SYS_CLONE:
		return blockedClone(args[0])
	case sysClone3: // the flags are the first field of the structure that the first argument points to
		return blockedClone(readWord(args[0]))
	case syscall.SYS_SOCKET, syscall.SYS_SOCKETPAIR:
		return blockedSocket(args[0])
	}
	if slices.Contains(forkCalls, number) {
		return blockedFork
	}
	return alwaysBlocked[number]
}

// blockedClone returns blockedFork if the clone flags start a new process, and nil if they start a new thread.
func blockedClone(cloneFlags uint64) *blockedCall {
	if cloneFlags&cloneThread != 0 {
		return nil
	}
	return blockedFork
}

// blockedSocket returns how the platform fails the creation of a socket of an address family, or nil for IPv4.
func blockedSocket(family uint64) *blockedCall {
	switch family {
	case syscall.AF_INET:
		return nil
	case syscall.AF_UNIX:
		return &blockedCall{name: "Unix socket", errno: syscall.EAFNOSUPPORT}
	}
	return &blockedCall{name: "non-IPv4 socket", errno: syscall.EAFNOSUPPORT, tolerated: true}
}
