package main

import (
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

// skipUntraceable skips a test of system calls that fail where processes cannot be traced.
func skipUntraceable(t *testing.T) {
	t.Helper()
	if runtime.GOOS != "linux" || runtime.GOARCH != "amd64" {
		t.Skip("system calls are traced on Linux on amd64 only")
	}
}

// startUntilFault starts a process with a plan of system calls that fail from its first second on, and returns a moment after that.
func (n *testNode) startUntilFault(plan string) *nodeProcess {
	n.t.Helper()
	n.faults = plan
	startedAt := time.Now()
	p := n.start()
	p.waitForReply("status", "OK")
	time.Sleep(time.Until(startedAt.Add(1100 * time.Millisecond)))
	return p
}

// System calls that fail for a moment as a process starts delay it, and do not end it: for want of a descriptor it could once neither read its
// configuration nor listen, and exited.
func TestStartWhileSystemCallsFail(t *testing.T) {
	skipUntraceable(t)
	for _, plan := range []string{
		"calls=socket,errno=ENFILE,for=700ms",
		"calls=socket,errno=ENOBUFS,share=0.3,for=2s",
		"calls=open,errno=EMFILE,path=config.json,for=700ms",
	} {
		t.Run(plan, func(t *testing.T) {
			t.Parallel()
			n := newTestNode(t)
			n.faults = plan
			p := n.start()
			p.waitForReply("status", "OK")
			load := n.startLoad(4)
			time.Sleep(50 * time.Millisecond)
			load.stop(t)
			p.signal(syscall.SIGTERM, 2500*time.Millisecond)
		})
	}
}

// A successor that can make no connection for a moment joins its predecessor all the same: it once took none to be there, and started without
// its state.
func TestSuccessorWhileConnectsFail(t *testing.T) {
	skipUntraceable(t)
	t.Parallel()
	n := newTestNode(t)
	current := n.start()
	current.waitForReply("status", "OK")
	current.waitForReply("maint-on s0", "OK")
	n.faults = "calls=connect+socket,errno=ENFILE,for=700ms"
	successor := n.start()
	successor.waitForReply("status", "OK")
	n.checkExcluded(0)
	load := n.startLoad(4)
	current.signal(syscall.SIGTERM, 2500*time.Millisecond)
	load.stop(t)
	n.checkExcluded(0)
	if log := successor.log.String(); !strings.Contains(log, "took over from the predecessor") {
		t.Error("the successor has started without its predecessor")
	}
}

// Clients notice nothing of a handover in which messages between the processes cannot be sent, or received, for the moment. The first one once
// ended the channel, and the connections of all clients that were left.
func TestHandoverWhileMessagesFail(t *testing.T) {
	skipUntraceable(t)
	for _, plan := range []string{"calls=sendmsg,errno=ENOBUFS,share=0.3", "calls=recvmsg,errno=ENOMEM,share=0.2", "calls=read+write,errno=EINTR,share=0.1"} {
		t.Run(plan, func(t *testing.T) {
			t.Parallel()
			n := newTestNode(t)
			n.faults = plan
			current := n.start()
			current.waitForReply("status", "OK")
			load := n.startLoad(20)
			time.Sleep(50 * time.Millisecond)
			successor := n.start()
			successor.waitForReply("status", "OK")
			current.signal(syscall.SIGTERM, 2500*time.Millisecond)
			load.stop(t)
		})
	}
}

// A configuration that cannot be opened for a moment after SIGHUP is read as soon as it can be. It was once kept back until the next signal.
func TestReloadWhileOpenFails(t *testing.T) {
	skipUntraceable(t)
	t.Parallel()
	n := newTestNode(t)
	p := n.startUntilFault("calls=open,errno=ENFILE,path=config.json,from=1s,for=1s")
	p.rewriteConfig(`"MaxExecutions":4`, `"MaxExecutions":3`)
	if err := p.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	p.log.WaitFor(t, "reloaded the configuration")
	p.signal(syscall.SIGTERM, 2500*time.Millisecond)
}

// A server is left out for good, also beyond the process, though the file that says so cannot be opened for a moment. The call was once answered
// with an error, and the server left out by this process only.
func TestExclusionWhileOpenFails(t *testing.T) {
	skipUntraceable(t)
	t.Parallel()
	n := newTestNode(t)
	p := n.startUntilFault("calls=open,errno=EMFILE,path=maintenance.json,from=1s,for=300ms")
	if _, err := callAdmin(p.adminAddr, "maint-on s0"); err != nil {
		t.Error(err)
	}
	p.signal(syscall.SIGKILL, time.Second)
	n.faults = ""
	n.start().waitForReply("status", "OK")
	n.checkExcluded(0)
}

// A server is left out by both processes of a handover, also where the one that is told cannot save that. The other one was once not told.
func TestUnsavedExclusionReachesTheOtherProcess(t *testing.T) {
	skipUntraceable(t)
	t.Parallel()
	n := newTestNode(t)
	current := n.start()
	current.waitForReply("status", "OK")
	successor := n.startUntilFault("calls=open,errno=ENOSPC,path=maintenance.json,from=1s")
	if _, err := callAdmin(successor.adminAddr, "maint-on s0"); err == nil {
		t.Error("the call says that the exclusion is saved")
	}
	n.checkExcluded(0)
	if !strings.Contains(current.log.String(), "maintenance exclusions changed") {
		t.Error("the other process does not know of the exclusion")
	}
}
