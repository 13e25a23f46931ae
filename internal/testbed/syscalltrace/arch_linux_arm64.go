package syscalltrace

import (
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Numbers of system calls that package syscall does not define for this machine.
const (
	sysExecveat  = 281
	sysRenameat2 = 276
	sysAccept4   = 242
)

// Sets of registers, from linux/elf.h.
const (
	ntPrstatus      = 1     // NT_PRSTATUS: the general registers
	ntArmSystemCall = 0x404 // NT_ARM_SYSTEM_CALL: the number of the system call
)

// forkCalls are the system calls that always start a process. This machine has none: programs fork by clone and clone3.
var forkCalls []uint64

// waitCalls are the system calls that wait for events.
var waitCalls = []uint64{syscall.SYS_EPOLL_PWAIT}

// skipSyscall makes the kernel skip the call that a stopped thread enters. It returns false if the thread was killed meanwhile.
func skipSyscall(tid int) bool {
	number := int32(-1) // not the number of a system call
	vector := syscall.Iovec{Base: (*byte)(unsafe.Pointer(&number)), Len: uint64(unsafe.Sizeof(number))}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PTRACE, syscall.PTRACE_SETREGSET, uintptr(tid), ntArmSystemCall,
		uintptr(unsafe.Pointer(&vector)), 0, 0)
	return errno == 0
}

// setSyscallResult sets the result of the call that a stopped thread leaves. It returns false if the thread was killed meanwhile.
func setSyscallResult(tid int, result uint64) bool {
	return changeRegisters(tid, func(registers *unix.PtraceRegsArm64) { registers.Regs[0] = result })
}

// limitThirdArg lowers the third argument of the call that a stopped thread enters.
func limitThirdArg(tid int, limit uint64) {
	changeRegisters(tid, func(registers *unix.PtraceRegsArm64) { registers.Regs[2] = min(registers.Regs[2], limit) })
}

// changeRegisters applies a change to a stopped thread's registers. It returns false if the thread was killed meanwhile.
func changeRegisters(tid int, change func(*unix.PtraceRegsArm64)) bool {
	var registers unix.PtraceRegsArm64
	if unix.PtraceGetRegSetArm64(tid, ntPrstatus, &registers) != nil {
		return false
	}
	change(&registers)
	return unix.PtraceSetRegSetArm64(tid, ntPrstatus, &registers) == nil
}
