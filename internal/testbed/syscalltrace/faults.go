package syscalltrace

import (
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// FaultPlan says which system calls of a traced program fail, how, and when. ParseFaultPlan reads its text form.
type FaultPlan struct {
	Calls    []string      // names of faultableCalls
	Errno    syscall.Errno // what they return; 0: reads and writes are shortened instead
	Share    float64       // of the calls that fail while the fault lasts
	Limit    int           // how many fail in all; 0: any number
	From     time.Duration // after the start of the program
	Duration time.Duration // of the fault; 0: to the end
	Every    time.Duration // from the beginning of one fault to the next; 0: there is one
	Seed     uint64
	Path     string // part of the path that a call names; calls without a path are not affected by it
}

// faultTarget is what a call has to act on to be failed.
type faultTarget uint8

const (
	anyTarget      faultTarget = iota
	anySocket                  // a descriptor of a socket
	outgoingSocket             // one that the program has connected
)

// faultableCall is a system call that can be failed.
type faultableCall struct {
	numbers  []uint64
	target   faultTarget
	pathArg  int  // index of the argument that points to a path; -1: none
	shortens bool // it transfers bytes, and can be shortened: its third argument is a length
}

// Numbers of system calls that package syscall does not define for this platform.
const (
	sysRenameat2 = 316
	sysAccept4   = 288
)

// faultableCalls are the calls that a plan can name. Those "of servers" act on connections that the program has made itself: a failed
// read or write on a client's connection is the loss of that connection to its client as well.
var faultableCalls = map[string]faultableCall{
	"accept":       {numbers: []uint64{syscall.SYS_ACCEPT, sysAccept4}, pathArg: -1},
	"socket":       {numbers: []uint64{syscall.SYS_SOCKET}, pathArg: -1},
	"connect":      {numbers: []uint64{syscall.SYS_CONNECT}, pathArg: -1},
	"read":         {numbers: []uint64{syscall.SYS_READ}, target: anySocket, pathArg: -1, shortens: true},
	"write":        {numbers: []uint64{syscall.SYS_WRITE}, target: anySocket, pathArg: -1, shortens: true},
	"server-read":  {numbers: []uint64{syscall.SYS_READ}, target: outgoingSocket, pathArg: -1, shortens: true},
	"server-write": {numbers: []uint64{syscall.SYS_WRITE}, target: outgoingSocket, pathArg: -1, shortens: true},
	"recvfrom":     {numbers: []uint64{syscall.SYS_RECVFROM}, target: anySocket, pathArg: -1},
	"sendto":       {numbers: []uint64{syscall.SYS_SENDTO}, target: anySocket, pathArg: -1},
	"sendmsg":      {numbers: []uint64{syscall.SYS_SENDMSG}, target: anySocket, pathArg: -1},
	"recvmsg":      {numbers: []uint64{syscall.SYS_RECVMSG}, target: anySocket, pathArg: -1},
	"wait":         {numbers: []uint64{syscall.SYS_EPOLL_PWAIT, syscall.SYS_EPOLL_WAIT}, pathArg: -1},
	"sync":         {numbers: []uint64{syscall.SYS_FSYNC, syscall.SYS_FDATASYNC}, pathArg: -1},
	"open":         {numbers: []uint64{syscall.SYS_OPENAT}, pathArg: 1},
	"rename":       {numbers: []uint64{syscall.SYS_RENAMEAT, sysRenameat2}, pathArg: 1},
}

// errnos are the errors that a plan can name.
var errnos = map[string]syscall.Errno{
	"EINTR": syscall.EINTR, "ENFILE": syscall.ENFILE, "EMFILE": syscall.EMFILE, "ENOBUFS": syscall.ENOBUFS, "ENOMEM": syscall.ENOMEM,
	"EADDRNOTAVAIL": syscall.EADDRNOTAVAIL, "ENETUNREACH": syscall.ENETUNREACH, "EHOSTUNREACH": syscall.EHOSTUNREACH,
	"ETIMEDOUT": syscall.ETIMEDOUT, "ECONNABORTED": syscall.ECONNABORTED, "ECONNRESET": syscall.ECONNRESET,
	"ENOSPC": syscall.ENOSPC, "EIO": syscall.EIO, "EAGAIN": syscall.EAGAIN,
}

// shortTransfer is what stands in place of an errno where transfers are shortened.
const shortTransfer = "short"

// ParseFaultPlan reads a plan such as "calls=connect+socket,errno=ENOBUFS,share=0.5,from=4s,for=1s,every=3s,seed=7".
func ParseFaultPlan(text string) (*FaultPlan, error) {
	plan := &FaultPlan{Share: 1}
	errno := ""
	for _, field := range strings.Split(text, ",") {
		name, value, found := strings.Cut(field, "=")
		if !found {
			return nil, fmt.Errorf("system call faults: %q is not name=value", field)
		}
		var err error
		switch name {
		case "calls":
			plan.Calls = strings.Split(value, "+")
		case "errno":
			errno = value
		case "share":
			plan.Share, err = strconv.ParseFloat(value, 64)
		case "limit":
			plan.Limit, err = strconv.Atoi(value)
		case "from":
			plan.From, err = time.ParseDuration(value)
		case "for":
			plan.Duration, err = time.ParseDuration(value)
		case "every":
			plan.Every, err = time.ParseDuration(value)
		case "seed":
			plan.Seed, err = strconv.ParseUint(value, 10, 64)
		case "path":
			plan.Path = value
		default:
			err = fmt.Errorf("unknown field")
		}
		if err != nil {
			return nil, fmt.Errorf("system call faults: %q: %w", field, err)
		}
	}
	return plan, plan.validate(errno)
}

// validate checks the names in a plan, and looks up its errno.
func (p *FaultPlan) validate(errno string) error {
	if len(p.Calls) == 0 {
		return fmt.Errorf("system call faults: calls= is missing")
	}
	for _, name := range p.Calls {
		call, known := faultableCalls[name]
		if !known {
			return fmt.Errorf("system call faults: no call %q can be failed", name)
		}
		if errno == shortTransfer && !call.shortens {
			return fmt.Errorf("system call faults: %q cannot be shortened", name)
		}
	}
	if errno == shortTransfer {
		return nil
	}
	number, known := errnos[errno]
	if !known {
		return fmt.Errorf("system call faults: no errno %q", errno)
	}
	p.Errno = number
	return nil
}

// activeAt reports whether the fault lasts at a time after the start of the program.
func (p *FaultPlan) activeAt(elapsed time.Duration) bool {
	elapsed -= p.From
	if elapsed < 0 {
		return false
	}
	if p.Every > 0 {
		elapsed %= p.Every
	}
	return p.Duration == 0 || elapsed < p.Duration
}
