package syscalltrace

import (
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// FaultPlan selects the system calls of a traced program that fail, the way they fail and the times. ParseFaultPlan parses its text form.
type FaultPlan struct {
	Calls       []string      // names of faultableCalls
	Errno       syscall.Errno // the error of failed calls; 0: reads and writes are shortened instead
	Probability float64       // of failure, for each matching call while the fault is active
	MaxInjected int           // total number of injected faults; 0: unlimited
	Delay       time.Duration // from the start of the program to the first fault
	Duration    time.Duration // of each fault; 0: until the program ends
	Period      time.Duration // from the start of one fault to the start of the next; 0: the fault does not recur
	Seed        uint64
	PathPart    string // substring of the path that a call names or its descriptor refers to; "": calls on any path
}

// faultTarget restricts faults to calls on some descriptors.
type faultTarget uint8

const (
	anyTarget      faultTarget = iota
	anySocket                  // a descriptor of a socket
	outgoingSocket             // a descriptor of a socket that the program has connected
)

// faultableCall is a system call that a plan can make fail.
type faultableCall struct {
	numbers    []uint64
	target     faultTarget
	pathArg    int  // index of the argument that points to a path; -1: none
	canShorten bool // the call transfers bytes, and its third argument is their number
}

// faultableCalls are the calls that a plan can name. server-read and server-write act only on connections that the program has opened:
// a failed read or write on a client's connection would break that connection for the client too.
var faultableCalls = map[string]faultableCall{
	"accept":       {numbers: []uint64{syscall.SYS_ACCEPT, sysAccept4}, pathArg: -1},
	"socket":       {numbers: []uint64{syscall.SYS_SOCKET}, pathArg: -1},
	"connect":      {numbers: []uint64{syscall.SYS_CONNECT}, pathArg: -1},
	"read":         {numbers: []uint64{syscall.SYS_READ}, target: anySocket, pathArg: -1, canShorten: true},
	"write":        {numbers: []uint64{syscall.SYS_WRITE}, target: anySocket, pathArg: -1, canShorten: true},
	"server-read":  {numbers: []uint64{syscall.SYS_READ}, target: outgoingSocket, pathArg: -1, canShorten: true},
	"server-write": {numbers: []uint64{syscall.SYS_WRITE}, target: outgoingSocket, pathArg: -1, canShorten: true},
	"recvfrom":     {numbers: []uint64{syscall.SYS_RECVFROM}, target: anySocket, pathArg: -1},
	"sendto":       {numbers: []uint64{syscall.SYS_SENDTO}, target: anySocket, pathArg: -1},
	"sendmsg":      {numbers: []uint64{syscall.SYS_SENDMSG}, target: anySocket, pathArg: -1},
	"recvmsg":      {numbers: []uint64{syscall.SYS_RECVMSG}, target: anySocket, pathArg: -1},
	"wait":         {numbers: waitCalls, pathArg: -1},
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

// shortTransfer is the value of errno= in a plan that shortens transfers.
const shortTransfer = "short"

// ParseFaultPlan parses a plan such as "calls=connect+socket,errno=ENOBUFS,share=0.5,from=4s,for=1s,every=3s,seed=7".
func ParseFaultPlan(text string) (*FaultPlan, error) {
	plan := &FaultPlan{Probability: 1}
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
			plan.Probability, err = strconv.ParseFloat(value, 64)
		case "limit":
			plan.MaxInjected, err = strconv.Atoi(value)
		case "from":
			plan.Delay, err = time.ParseDuration(value)
		case "for":
			plan.Duration, err = time.ParseDuration(value)
		case "every":
			plan.Period, err = time.ParseDuration(value)
		case "seed":
			plan.Seed, err = strconv.ParseUint(value, 10, 64)
		case "path":
			plan.PathPart = value
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
			return fmt.Errorf("system call faults: unknown call %q", name)
		}
		if errno == shortTransfer && !call.canShorten {
			return fmt.Errorf("system call faults: %q cannot be shortened", name)
		}
	}
	if errno == shortTransfer {
		return nil
	}
	number, known := errnos[errno]
	if !known {
		return fmt.Errorf("system call faults: unknown errno %q", errno)
	}
	p.Errno = number
	return nil
}

// activeAt reports whether the fault is active when the program has run for the given time.
func (p *FaultPlan) activeAt(elapsed time.Duration) bool {
	elapsed -= p.Delay
	if elapsed < 0 {
		return false
	}
	if p.Period > 0 {
		elapsed %= p.Period
	}
	return p.Duration == 0 || elapsed < p.Duration
}
