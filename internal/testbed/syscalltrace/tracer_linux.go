//go:build amd64 || arm64

package syscalltrace

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"syscall"
	"unsafe"
)

// Constants of linux/ptrace.h that package syscall does not define.
const (
	ptraceExitKill       = 0x100000 // PTRACE_O_EXITKILL: the traced program ends with its tracer
	ptraceGetSyscallInfo = 0x420e   // PTRACE_GET_SYSCALL_INFO
	syscallEntry         = 1        // PTRACE_SYSCALL_INFO_ENTRY
	syscallExit          = 2        // PTRACE_SYSCALL_INFO_EXIT

	// syscallStop is the stop signal at a system call under PTRACE_O_TRACESYSGOOD.
	syscallStop = syscall.SIGTRAP | 0x80

	traceOptions = ptraceExitKill | syscall.PTRACE_O_TRACESYSGOOD | syscall.PTRACE_O_TRACECLONE
)

// The platform may pass a listening socket to a node as descriptor 3. LB_SOCKET_FD is "3" then.
const (
	socketFDVariable = "LB_SOCKET_FD"
	passedSocketFD   = 3
)

// signalBuffer is the number of signals that may wait to be forwarded.
const signalBuffer = 8

// syscallInfo is struct ptrace_syscall_info of linux/ptrace.h, as it is at a system call's entry.
type syscallInfo struct {
	Op                 uint8
	_                  [3]uint8
	Arch               uint32
	InstructionPointer uint64
	StackPointer       uint64
	Number             uint64
	Args               [6]uint64
	_                  uint64 // set only at seccomp stops
}

// tracer traces one program. Its methods are called from the OS thread that started the program.
type tracer struct {
	pid           int
	mode          Mode
	reported      map[string]bool       // names of the blocked calls that have been printed
	pendingErrnos map[int]syscall.Errno // by thread id: the errno that the thread's current call returns at its exit
	killReason    *BlockedCallError     // the blocked call for which the program was killed; nil: it was not killed
	faults        *faultInjector        // nil: only blocked calls fail
}

// Run runs a program until it exits, with the files and the environment of this process, and forwards SIGTERM, SIGINT and SIGHUP to
// it. The mode decides what happens to blocked system calls; each kind is printed once on standard error. The error is a
// *BlockedCallError if the program was killed at a blocked call, and describes any other exit with a status other than 0.
func Run(argv []string, mode Mode) error {
	if mode != Deny && mode != Kill {
		return fmt.Errorf("unknown mode %q of tracing; %s and %s are known", mode, Deny, Kill)
	}
	return run(argv, mode, nil)
}

// RunWithFaults runs a program as Run does, but blocks no system call and makes the calls of a plan fail.
func RunWithFaults(argv []string, plan *FaultPlan) error { return run(argv, allow, plan) }

func run(argv []string, mode Mode, plan *FaultPlan) error {
	runtime.LockOSThread() // ptrace requests have to come from the thread that started the program
	defer runtime.UnlockOSThread()
	command := exec.Command(argv[0], argv[1:]...)
	command.Stdin, command.Stdout, command.Stderr = os.Stdin, os.Stdout, os.Stderr
	if os.Getenv(socketFDVariable) == fmt.Sprint(passedSocketFD) {
		command.ExtraFiles = []*os.File{os.NewFile(passedSocketFD, "listener")}
	}
	command.SysProcAttr = &syscall.SysProcAttr{Ptrace: true}
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer close(signals) // after signal.Stop; ends forwardSignals
	defer signal.Stop(signals)
	if err := command.Start(); err != nil {
		return fmt.Errorf("starting the traced program: %w", err)
	}
	t := &tracer{pid: command.Process.Pid, mode: mode, reported: map[string]bool{}, pendingErrnos: map[int]syscall.Errno{}}
	if plan != nil {
		t.faults = newFaultInjector(plan, t.pid)
		defer func() {
			fmt.Fprintf(os.Stderr, "syscalltrace: %d calls of %s failed or shortened\n", t.faults.injected, t.faults.callNames())
		}()
	}
	go t.forwardSignals(signals)
	if err := t.attach(); err != nil {
		return fmt.Errorf("tracing %s: %w", argv[0], err)
	}
	return t.traceUntilExit()
}

// forwardSignals forwards signals to the program until the channel is closed.
func (t *tracer) forwardSignals(signals <-chan os.Signal) {
	for received := range signals {
		if number, ok := received.(syscall.Signal); ok {
			_ = syscall.Kill(t.pid, number) // the program may have exited
		}
	}
}

// attach waits for the program's initial stop and starts tracing its system calls.
func (t *tracer) attach() error {
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(t.pid, &status, syscall.WALL, nil); err != nil {
		return err
	}
	if err := syscall.PtraceSetOptions(t.pid, traceOptions); err != nil {
		return err
	}
	return syscall.PtraceSyscall(t.pid, 0)
}

// traceUntilExit handles stops of the program's threads until the program has exited.
func (t *tracer) traceUntilExit() error {
	var status syscall.WaitStatus
	for {
		tid, err := syscall.Wait4(-1, &status, syscall.WALL, nil)
		switch {
		case errors.Is(err, syscall.EINTR):
		case err != nil:
			return fmt.Errorf("waiting for the traced program: %w", err)
		case tid == t.pid && (status.Exited() || status.Signaled()):
			return t.exitError(status)
		case status.Stopped():
			t.handleStop(tid, status)
		}
	}
}

// exitError returns the error of a program that has exited.
func (t *tracer) exitError(status syscall.WaitStatus) error {
	switch {
	case t.killReason != nil:
		return t.killReason
	case status.Signaled():
		return fmt.Errorf("traced program ended by signal: %v", status.Signal())
	case status.ExitStatus() != 0:
		return fmt.Errorf("traced program exited with status %d", status.ExitStatus())
	}
	return nil
}

// handleStop handles a stop of a thread and lets the thread continue.
func (t *tracer) handleStop(tid int, status syscall.WaitStatus) {
	forward := 0
	switch stop := status.StopSignal(); stop {
	case syscallStop:
		t.handleSyscall(tid)
	case syscall.SIGTRAP, syscall.SIGSTOP: // thread creation stops the creating thread and the new thread
	default:
		forward = int(stop)
	}
	_ = syscall.PtraceSyscall(tid, forward) // fails if the thread was killed meanwhile
}

// handleSyscall handles a stop at the entry or the exit of a system call.
func (t *tracer) handleSyscall(tid int) {
	var info syscallInfo
	size, _, errno := syscall.RawSyscall6(syscall.SYS_PTRACE, ptraceGetSyscallInfo, uintptr(tid), unsafe.Sizeof(info), uintptr(unsafe.Pointer(&info)), 0, 0)
	if errno != 0 || size == 0 {
		return // the thread was killed meanwhile
	}
	switch info.Op {
	case syscallEntry:
		t.handleEntry(tid, &info)
	case syscallExit:
		t.handleExit(tid)
	}
}

// handleEntry applies the fault plan to a system call that a thread enters or, without a plan, reports a blocked call and kills the
// program or makes the call fail.
func (t *tracer) handleEntry(tid int, info *syscallInfo) {
	if t.faults != nil {
		switch t.faults.decide(tid, info) {
		case failCall:
			t.failSyscall(tid, t.faults.plan.Errno)
		case shortenCall:
			t.faults.shorten(tid)
		}
		return
	}
	call := findBlockedCall(info.Number, info.Args, func(address uint64) uint64 { return peekWord(tid, address) })
	if call == nil {
		return
	}
	if !call.tolerated && !t.reported[call.name] {
		t.reported[call.name] = true
		fmt.Fprintf(os.Stderr, "syscalltrace: blocked system call: %s\n", call.name)
	}
	if t.mode == Kill && !call.tolerated {
		t.killReason = &BlockedCallError{Call: call.name}
		_ = syscall.Kill(t.pid, syscall.SIGKILL) // fails only if the program was killed meanwhile
		return
	}
	t.failSyscall(tid, call.errno)
}

// failSyscall makes the kernel skip the call that a thread enters, and records the errno that the call returns at its exit.
func (t *tracer) failSyscall(tid int, errno syscall.Errno) {
	if skipSyscall(tid) {
		t.pendingErrnos[tid] = errno
	}
}

// handleExit makes a skipped call return its errno.
func (t *tracer) handleExit(tid int) {
	errno, skipped := t.pendingErrnos[tid]
	if !skipped {
		return
	}
	if setSyscallResult(tid, uint64(-int64(errno))) {
		delete(t.pendingErrnos, tid)
	}
}

// peekWord reads eight bytes of a stopped thread's memory. It returns 0 if the thread was killed meanwhile or the address is invalid.
func peekWord(tid int, address uint64) uint64 {
	var word [8]byte
	if _, err := syscall.PtracePeekData(tid, uintptr(address), word[:]); err != nil {
		return 0
	}
	return binary.LittleEndian.Uint64(word[:])
}
