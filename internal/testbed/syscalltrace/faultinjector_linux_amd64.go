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

// injectorStream separates the random numbers of faults from others under the same seed.
const injectorStream = 31

// maxShortTransfer bounds the bytes of a shortened transfer.
const maxShortTransfer = 16

// maxPathBytes bounds a path that is read from the traced program.
const maxPathBytes = 512

// faultInjector decides which calls of a traced program fail. It belongs to the tracer's thread.
type faultInjector struct {
	plan     *FaultPlan
	pid      int
	start    time.Time
	random   *rand.Rand
	injected int
	calls    map[uint64]faultableCall // by number
	outgoing map[uint64]bool          // descriptors of sockets that the program has connected
}

func newFaultInjector(plan *FaultPlan, pid int) *faultInjector {
	f := &faultInjector{
		plan: plan, pid: pid, start: time.Now(), random: rand.New(rand.NewPCG(plan.Seed, injectorStream)),
		calls: map[uint64]faultableCall{}, outgoing: map[uint64]bool{},
	}
	for _, name := range plan.Calls {
		for _, number := range faultableCalls[name].numbers {
			f.calls[number] = faultableCalls[name]
		}
	}
	return f
}

// injection is what happens to one call.
type injection uint8

const (
	noInjection injection = iota
	failCall
	shortenCall
)

// decide returns what happens to a call that a thread enters.
func (f *faultInjector) decide(tid int, info *syscallInfo) injection {
	f.track(info)
	call, planned := f.calls[info.Number]
	switch {
	case !planned || !f.plan.activeAt(time.Since(f.start)):
		return noInjection
	case f.plan.Limit > 0 && f.injected >= f.plan.Limit:
		return noInjection
	case !f.concerns(tid, &call, info) || f.random.Float64() >= f.plan.Share:
		return noInjection
	}
	if f.injected++; f.injected == 1 {
		fmt.Fprintf(os.Stderr, "syscalltrace: the first call of %s fails or is shortened\n", f.names())
	}
	if f.plan.Errno == 0 {
		return shortenCall
	}
	return failCall
}

// track keeps account of the sockets that the program connects.
func (f *faultInjector) track(info *syscallInfo) {
	switch info.Number {
	case syscall.SYS_CONNECT:
		f.outgoing[info.Args[0]] = true
	case syscall.SYS_CLOSE:
		delete(f.outgoing, info.Args[0])
	}
}

// concerns reports whether a call acts on what the plan is about.
func (f *faultInjector) concerns(tid int, call *faultableCall, info *syscallInfo) bool {
	if f.plan.Path != "" {
		return strings.Contains(f.path(tid, call, info), f.plan.Path)
	}
	switch call.target {
	case outgoingSocket:
		return f.outgoing[info.Args[0]]
	case anySocket:
		return strings.HasPrefix(f.descriptorName(info.Args[0]), "socket:")
	}
	return true
}

// path returns the path that a call names, or that of its descriptor.
func (f *faultInjector) path(tid int, call *faultableCall, info *syscallInfo) string {
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

// descriptorName returns what a descriptor of the program refers to.
func (f *faultInjector) descriptorName(fd uint64) string {
	name, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", f.pid, int32(fd)))
	if err != nil {
		return ""
	}
	return name
}

// shorten lets a transfer move a few bytes only. Its length is the third argument.
func (f *faultInjector) shorten(tid int) {
	length := 1 + uint64(f.random.IntN(maxShortTransfer))
	changeRegisters(tid, func(registers *syscall.PtraceRegs) { registers.Rdx = min(registers.Rdx, length) })
}

// names returns the calls of the plan, for messages.
func (f *faultInjector) names() string {
	return strings.Join(slices.Sorted(slices.Values(f.plan.Calls)), "+")
}
