// Package syscalltrace checks that a program works within the limits of the operators' platform. Run traces a program with ptrace and
// finds the system calls that the platform blocks: forks, execs, io_uring, splice, sendfile and sockets that are not IPv4.
// CheckDynamic reads from a program's headers whether the platform can preload its library.
//
// RunWithFaults traces a program and makes chosen system calls fail.
//
// The standard library makes some of the blocked calls by itself, so that a review of the program's own code misses them. Without a
// trace they would first fail in production.
package syscalltrace

// Mode says what happens to a blocked system call.
type Mode string

// The modes. Deny and Kill are given by their values on the command line.
const (
	// Deny fails a blocked call with the errno of the platform, and the program continues.
	Deny Mode = "deny"
	// Kill ends the program at its first blocked call.
	Kill Mode = "kill"
	// allow blocks no call. RunWithFaults uses it: only the calls of the plan fail.
	allow Mode = "allow"
)

// BlockedCallError is returned for a program that was killed at a blocked call.
type BlockedCallError struct {
	Call string // name of the blocked call, such as "fork"
}

func (e *BlockedCallError) Error() string { return "blocked system call: " + e.Call }
