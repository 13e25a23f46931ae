package syscalltrace

import "syscall"

// Numbers of system calls that package syscall does not define for this machine.
const (
	sysExecveat  = 322
	sysRenameat2 = 316
	sysAccept4   = 288
)

// forkCalls are the system calls that always start a process.
var forkCalls = []uint64{syscall.SYS_FORK, syscall.SYS_VFORK}

// waitCalls are the system calls that wait for events.
var waitCalls = []uint64{syscall.SYS_EPOLL_PWAIT, syscall.SYS_EPOLL_WAIT}

// invalidSyscallNumber is not the number of a system call. The kernel skips a call whose number is changed to it.
const invalidSyscallNumber = ^uint64(0)

// skipSyscall makes the kernel skip the call that a stopped thread enters. It returns false if the thread was killed meanwhile.
func skipSyscall(tid int) bool {
	return changeRegisters(tid, func(registers *syscall.PtraceRegs) { registers.Orig_rax = invalidSyscallNumber })
}

// setSyscallResult sets the result of the call that a stopped thread leaves. It returns false if the thread was killed meanwhile.
func setSyscallResult(tid int, result uint64) bool {
	return changeRegisters(tid, func(registers *syscall.PtraceRegs) { registers.Rax = result })
}

// limitThirdArg lowers the third argument of the call that a stopped thread enters.
func limitThirdArg(tid int, limit uint64) {
	changeRegisters(tid, func(registers *syscall.PtraceRegs) { registers.Rdx = min(registers.Rdx, limit) })
}

// changeRegisters applies a change to a stopped thread's registers. It returns false if the thread was killed meanwhile.
func changeRegisters(tid int, change func(*syscall.PtraceRegs)) bool {
	var registers syscall.PtraceRegs
	if syscall.PtraceGetRegs(tid, &registers) != nil {
		return false
	}
	change(&registers)
	return syscall.PtraceSetRegs(tid, &registers) == nil
}
