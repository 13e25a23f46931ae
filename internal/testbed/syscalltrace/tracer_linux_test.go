//go:build amd64 || arm64

package syscalltrace

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mintspring/internal/testbed/loopback"
)

// The test binary runs itself as the tracer and as the traced program. An environment variable selects each role.
const (
	tracerModeEnv   = "SYSCALLTRACE_TEST_MODE"   // the tracer's mode
	tracedActionEnv = "SYSCALLTRACE_TEST_ACTION" // what the traced program does
)

// listenAddrEnv holds the address on which the traced program listens. It is in the loopback network of the test process.
const listenAddrEnv = "SYSCALLTRACE_TEST_LISTEN"

// faultsPrefix precedes a fault plan in the value of tracerModeEnv.
const faultsPrefix = "faults:"

// Output of the traced program.
const (
	actionSucceeded = "worked"
	actionFailed    = "failed"
)

func TestMain(m *testing.M) {
	if mode := os.Getenv(tracerModeEnv); mode != "" {
		os.Exit(runTracer(Mode(mode)))
	}
	if action := os.Getenv(tracedActionEnv); action != "" {
		if err := runAction(action); err != nil {
			fmt.Print(actionFailed, ": ", err)
		} else {
			fmt.Print(actionSucceeded)
		}
		os.Exit(0)
	}
	addr, err := loopback.EphemeralAddr()
	if err == nil {
		err = os.Setenv(listenAddrEnv, addr)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// runTracer runs the test binary as the traced program, traces it and returns the exit code.
func runTracer(mode Mode) int {
	err := os.Unsetenv(tracerModeEnv)
	if text, found := strings.CutPrefix(string(mode), faultsPrefix); err == nil && found {
		var plan *FaultPlan
		if plan, err = ParseFaultPlan(text); err == nil {
			err = RunWithFaults([]string{os.Args[0]}, plan)
		}
	} else if err == nil {
		err = Run([]string{os.Args[0]}, mode)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// runAction performs an action of the traced program. The platform allows some actions and blocks others.
func runAction(action string) error {
	switch action {
	case "program":
		return exec.Command("/bin/true").Run()
	case "unix":
		listener, err := net.Listen("unix", filepath.Join(os.TempDir(), "syscalltrace-test.sock"))
		if err != nil {
			return err
		}
		return listener.Close()
	case "uring":
		if _, _, errno := syscall.Syscall(sysIOUringSetup, 1, 0, 0); errno != 0 {
			return errno
		}
	case "threads":
		runThreads()
	case "copy", "file", "tcp":
		return copyToConn(action)
	case "sleep":
		time.Sleep(10 * time.Second)
	}
	return nil
}

// runThreads starts threads that are preempted and that block.
func runThreads() {
	var running sync.WaitGroup
	for range 20 {
		running.Go(func() {
			runtime.LockOSThread()
			for end := time.Now().Add(20 * time.Millisecond); time.Now().Before(end); {
			}
			time.Sleep(time.Millisecond)
		})
	}
	running.Wait()
}

// copyToConn copies bytes to a connection with io.Copy. The standard library uses splice if the source is a connection and sendfile if
// it is a file; for a plain reader it uses neither.
func copyToConn(action string) error {
	text := strings.Repeat("x", 1<<16)
	source, err := openSource(action, text)
	if err != nil {
		return err
	}
	sender, receiver, err := connPair()
	if err != nil {
		return err
	}
	received := make(chan int)
	go func() { // ends when the sender is closed
		content, _ := io.ReadAll(receiver) // a short read fails below
		received <- len(content)
	}()
	_, copyErr := io.Copy(sender, source)
	if err := sender.Close(); err != nil {
		return err
	}
	if copyErr != nil {
		return copyErr
	}
	if <-received != len(text) {
		return io.ErrShortWrite
	}
	return nil
}

// openSource returns the source of copyToConn.
func openSource(action, text string) (io.Reader, error) {
	if action == "file" {
		file, err := os.CreateTemp("", "")
		if err != nil {
			return nil, err
		}
		if _, err := file.WriteString(text); err != nil {
			return nil, err
		}
		if _, err := file.Seek(0, io.SeekStart); err != nil {
			return nil, err
		}
		return file, os.Remove(file.Name())
	}
	reader, writer, err := connPair()
	if err != nil {
		return nil, err
	}
	go func() { // ends when the text is read
		_, _ = io.WriteString(writer, text) // a short write fails copyToConn
		_ = writer.Close()
	}()
	if action == "tcp" {
		return struct{ io.Reader }{reader}, nil // hides the connection from io.Copy
	}
	return reader, nil
}

// connPair returns both ends of a TCP connection.
func connPair() (dialed, accepted net.Conn, err error) {
	listener, err := net.Listen("tcp4", os.Getenv(listenAddrEnv))
	if err != nil {
		return nil, nil, err
	}
	if dialed, err = net.Dial("tcp4", listener.Addr().String()); err != nil {
		return nil, nil, err
	}
	if accepted, err = listener.Accept(); err != nil {
		return nil, nil, err
	}
	return dialed, accepted, listener.Close()
}

// tracedCommand returns a command that runs the test binary as a tracer of itself.
func tracedCommand(t *testing.T, mode Mode, action string) *exec.Cmd {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), tracerModeEnv+"="+string(mode), tracedActionEnv+"="+action, "TMPDIR="+t.TempDir())
	return command
}

// Both modes detect and print each blocked call. Threads and IPv4 sockets are allowed. io.Copy still works after splice or sendfile is
// denied, since the standard library falls back to reads and writes.
func TestBlockedCalls(t *testing.T) {
	const message = "blocked system call: "
	for _, test := range []struct{ action, blocked, result string }{
		{"program", "fork", actionFailed},
		{"unix", "Unix socket", actionFailed},
		{"uring", "io_uring", actionFailed},
		{"copy", "splice", actionSucceeded},
		{"file", "sendfile", actionSucceeded},
		{"threads", "", actionSucceeded},
		{"tcp", "", actionSucceeded},
	} {
		for _, mode := range []Mode{Deny, Kill} {
			command := tracedCommand(t, mode, test.action)
			var out, stderr strings.Builder
			command.Stdout, command.Stderr = &out, &stderr
			err := command.Run()
			wantKilled := mode == Kill && test.blocked != ""
			if (err != nil) != wantKilled {
				t.Errorf("%s, %s: exit %v, want killed %v", test.action, mode, err, wantKilled)
			}
			if strings.Contains(stderr.String(), message+test.blocked) != (test.blocked != "") {
				t.Errorf("%s, %s: tracer printed %q, want %q blocked", test.action, mode, stderr.String(), test.blocked)
			}
			if !wantKilled && !strings.HasPrefix(out.String(), test.result) {
				t.Errorf("%s, %s: program printed %q, want %q", test.action, mode, out.String(), test.result)
			}
		}
	}
}

// Only the calls that a plan names fail. The program gets the errno as an error, unless the standard library handles it with a retry.
func TestFaults(t *testing.T) {
	host, _, err := net.SplitHostPort(os.Getenv(listenAddrEnv))
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ plan, action, result string }{
		{"calls=connect,errno=EADDRNOTAVAIL", "tcp", actionFailed + ": dial tcp4 " + host + ":"},
		{"calls=connect,errno=EADDRNOTAVAIL,from=1m", "tcp", actionSucceeded},
		{"calls=connect,errno=EADDRNOTAVAIL,share=0", "tcp", actionSucceeded},
		{"calls=accept,errno=ECONNABORTED,limit=1", "tcp", actionSucceeded},
		{"calls=accept,errno=ENFILE,limit=1", "tcp", actionFailed + ": accept tcp4"},
		{"calls=read+write,errno=EINTR,share=0.3,seed=5", "tcp", actionSucceeded},
		{"calls=read+write,errno=short,share=0.3,seed=5", "tcp", actionSucceeded},
		{"calls=server-write,errno=ETIMEDOUT", "tcp", actionFailed},
		{"calls=open,errno=ENOSPC,path=no such path", "file", actionSucceeded},
		{"calls=open,errno=ENOSPC,path=TestFaults", "file", actionFailed},
	} {
		command := tracedCommand(t, Mode(faultsPrefix+test.plan), test.action)
		out, err := command.Output()
		if err != nil || !strings.HasPrefix(string(out), test.result) {
			t.Errorf("%s: program printed %q, %v, want %q", test.plan, out, err, test.result)
		}
	}
}

// The tracer forwards SIGTERM to the program, and the program ends with a tracer that is killed.
func TestSignals(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		command := tracedCommand(t, Deny, "sleep")
		out, err := command.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := command.Start(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		if err := command.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if _, err := io.Copy(io.Discard, out); err != nil { // ends when no process has the pipe open
			t.Error(err)
		}
		if command.Wait() == nil || time.Since(start) > 5*time.Second {
			t.Errorf("%v: program ran for another %v", sig, time.Since(start))
		}
	}
}

// Run returns an error for an unknown mode.
func TestUnknownMode(t *testing.T) {
	if err := Run([]string{"/bin/true"}, "watch"); err == nil || !strings.Contains(err.Error(), `"watch"`) {
		t.Errorf("unknown mode: %v", err)
	}
}
