// Package syscalltrace checks that a program keeps to what the operators' platform allows. Run traces a program with ptrace and
// finds the system calls that the platform blocks: forks, execs, io_uring, splice, sendfile and sockets that are not IPv4.
// CheckDynamic reads from a program's headers whether the platform can load its library into it.
//
// The standard library makes some of these calls by itself, so reading our code does not find them, and a call that no test has
// seen blocked would fail in production only.
package syscalltrace

// Mode says what happens to a blocked system call.
type Mode string

// The modes. Their values stand on the command line.
const (
	// Deny fails a blocked call with the errno of the platform, and the program continues.
	Deny Mode = "deny"
	// Kill ends the program at its first blocked call.
	Kill Mode = "kill"
	// allow is how a program is traced whose calls are failed by a plan: none is blocked.
	allow Mode = "allow"
)

// BlockedCallError is the error of a program that Kill ended.
type BlockedCallError struct {
	Call string // what the program tried, such as "fork"
}

func (e *BlockedCallError) Error() string { return "blocked system call: " + e.Call }
