//go:build amd64 || arm64

package syscalltrace

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

// faultRandomStream is the random stream of faults, distinct from other streams of the same seed.
const faultRandomStream = 31

// maxShortTransferBytes bounds the length of a shortened transfer.
const maxShortTransferBytes = 16

// maxPathBytes bounds the length of a path that is read from the traced program.
const maxPathBytes = 512

// faultInjector decides which system calls of a traced program fail. Only the tracer's thread uses it.
type faultInjector struct {
	plan            *FaultPlan
	pid             int
	start           time.Time
	random          *rand.Rand
	injected        int
	calls           map[uint64]faultableCall // by number
	outgoingSockets map[uint64]bool          // descriptors of sockets that the program has connected
}

func newFaultInjector(plan *FaultPlan, pid int) *faultInjector {
	f := &faultInjector{
		plan: plan, pid: pid, start: time.Now(), random: rand.New(rand.NewPCG(plan.Seed, faultRandomStream)),
		calls: map[uint64]faultableCall{}, outgoingSockets: map[uint64]bool{},
	}
	for _, name := range plan.Calls {
		for _, number := range faultableCalls[name].numbers {
			f.calls[number] = faultableCalls[name]
		}
	}
	return f
}

// injection is the fault that is injected into a system call.
type injection uint8

const (
	noInjection injection = iota
	failCall
	shortenCall
)

// decide returns the fault to inject into a call that a thread enters.
func (f *faultInjector) decide(tid int, info *syscallInfo) injection {
	f.trackSockets(info)
	call, planned := f.calls[info.Number]
	switch {
	case !planned || !f.plan.activeAt(time.Since(f.start)):
		return noInjection
	case f.plan.MaxInjected > 0 && f.injected >= f.plan.MaxInjected:
		return noInjection
	case !f.matchesTarget(tid, &call, info) || f.random.Float64() >= f.plan.Probability:
		return noInjection
	}
	if f.injected++; f.injected == 1 {
		fmt.Fprintf(os.Stderr, "syscalltrace: the first call of %s fails or is shortened\n", f.callNames())
	}
	if f.plan.Errno == 0 {
		return shortenCall
	}
	return failCall
}

// trackSockets records which descriptors are sockets that the program has connected.
func (f *faultInjector) trackSockets(info *syscallInfo) {
	switch info.Number {
	case syscall.SYS_CONNECT:
		f.outgoingSockets[info.Args[0]] = true
	case syscall.SYS_CLOSE:
		delete(f.outgoingSockets, info.Args[0])
	}
}

// matchesTarget reports whether a call acts on a path that the plan selects or, in a plan without a path, on a descriptor that the call's
// target selects.
func (f *faultInjector) matchesTarget(tid int, call *faultableCall, info *syscallInfo) bool {
	if f.plan.PathPart != "" {
		return strings.Contains(f.callPath(tid, call, info), f.plan.PathPart)
	}
	switch call.target {
	case outgoingSocket:
		return f.outgoingSockets[info.Args[0]]
	case anySocket:
		return strings.HasPrefix(f.descriptorName(info.Args[0]), "socket:")
	}
	return true
}

// callPath returns the path argument of a call, or the path of its descriptor if it has no path argument.
func (f *faultInjector) callPath(tid int, call *faultableCall, info *syscallInfo) string {
	if call.pathArg < 0 {
		return f.descriptorName(info.Args[0])
	}
	var text []byte
	for address := info.Args[call.pathArg]; len(text) < maxPathBytes; address += 8 {
		word := peekWord(tid, address)
		for range 8 {
			if word&0xff == 0 {
				return string(text)
			}
			text = append(text, byte(word))
			word >>= 8
		}
	}
	return string(text)
}

// descriptorName returns the file or socket to which a descriptor of the program refers, or "" if it is not open.
func (f *faultInjector) descriptorName(fd uint64) string {
	name, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", f.pid, int32(fd)))
	if err != nil {
		return ""
	}
	return name
}

// shorten limits a transfer to a few bytes, by lowering the length in its third argument.
func (f *faultInjector) shorten(tid int) {
	length := 1 + uint64(f.random.IntN(maxShortTransferBytes))
	limitThirdArg(tid, length)
}

// callNames formats the calls of the plan for messages.
func (f *faultInjector) callNames() string {
	return strings.Join(slices.Sorted(slices.Values(f.plan.Calls)), "+")
}
