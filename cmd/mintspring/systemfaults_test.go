package main

import (
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

// skipUnlessTraceable skips a test that makes system calls fail on platforms where processes cannot be traced.
func skipUnlessTraceable(t *testing.T) {
	t.Helper()
	if runtime.GOOS != "linux" || (runtime.GOARCH != "amd64" && runtime.GOARCH != "arm64") {
		t.Skip("system calls are traced on Linux on amd64 and arm64 only")
	}
}

// startAndAwaitFault starts a process with a plan of system calls that fail from one second after its start, and returns 100 ms after the
// failures begin.
func (n *testNode) startAndAwaitFault(plan string) *nodeProcess {
	n.t.Helper()
	n.faultPlan = plan
	startedAt := time.Now()
	p := n.start()
	p.waitForReply("status", "OK")
	time.Sleep(time.Until(startedAt.Add(1100 * time.Millisecond)))
	return p
}

// TestStartWhileSystemCallsFail checks that system calls that fail briefly during the start of a process delay it, but do not end it.
// Without a descriptor a process once could neither read its configuration nor listen, and exited.
func TestStartWhileSystemCallsFail(t *testing.T) {
	skipUnlessTraceable(t)
	for _, plan := range []string{
		"calls=socket,errno=ENFILE,for=700ms",
		"calls=socket,errno=ENOBUFS,share=0.3,for=2s",
		"calls=open,errno=EMFILE,path=config.json,for=700ms",
	} {
		t.Run(plan, func(t *testing.T) {
			t.Parallel()
			n := newTestNode(t)
			n.faultPlan = plan
			p := n.start()
			p.waitForReply("status", "OK")
			load := n.startLoad(4)
			time.Sleep(50 * time.Millisecond)
			load.stop(t)
			p.signalAndWait(syscall.SIGTERM, 2500*time.Millisecond)
		})
	}
}

// TestSuccessorWhileConnectsFail checks that a successor that briefly cannot connect still joins its predecessor. It once assumed that
// there was no predecessor, and started without its state.
func TestSuccessorWhileConnectsFail(t *testing.T) {
	skipUnlessTraceable(t)
	t.Parallel()
	n := newTestNode(t)
	current := n.start()
	current.waitForReply("status", "OK")
	current.waitForReply("maint-on s0", "OK")
	n.faultPlan = "calls=connect+socket,errno=ENFILE,for=700ms"
	successor := n.start()
	successor.waitForReply("status", "OK")
	n.checkExcluded(0)
	load := n.startLoad(4)
	current.signalAndWait(syscall.SIGTERM, 2500*time.Millisecond)
	load.stop(t)
	n.checkExcluded(0)
	if log := successor.log.String(); !strings.Contains(log, "took over from the predecessor") {
		t.Error("the successor has started without its predecessor")
	}
}

// TestHandoverWhileMessagesFail checks that clients do not notice a handover during which messages between the processes sometimes cannot
// be sent or received. The first such failure once ended the channel, and with it the connections of all remaining clients.
func TestHandoverWhileMessagesFail(t *testing.T) {
	skipUnlessTraceable(t)
	for _, plan := range []string{"calls=sendmsg,errno=ENOBUFS,share=0.3", "calls=recvmsg,errno=ENOMEM,share=0.2", "calls=read+write,errno=EINTR,share=0.1"} {
		t.Run(plan, func(t *testing.T) {
			t.Parallel()
			n := newTestNode(t)
			n.faultPlan = plan
			current := n.start()
			current.waitForReply("status", "OK")
			load := n.startLoad(20)
			time.Sleep(50 * time.Millisecond)
			successor := n.start()
			successor.waitForReply("status", "OK")
			current.signalAndWait(syscall.SIGTERM, 2500*time.Millisecond)
			load.stop(t)
		})
	}
}

// TestReloadWhileOpenFails checks that a configuration that cannot be opened for a moment after SIGHUP is read as soon as possible. It
// was once not read until the next SIGHUP.
func TestReloadWhileOpenFails(t *testing.T) {
	skipUnlessTraceable(t)
	t.Parallel()
	n := newTestNode(t)
	p := n.startAndAwaitFault("calls=open,errno=ENFILE,path=config.json,from=1s,for=1s")
	p.replaceInConfig(`"MaxExecutions":4`, `"MaxExecutions":3`)
	if err := p.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	p.log.WaitFor(t, "reloaded the configuration")
	p.signalAndWait(syscall.SIGTERM, 2500*time.Millisecond)
}

// TestExclusionWhileOpenFails checks that an exclusion is saved, and so remains in effect after the process, although the exclusions file
// cannot be opened for a moment. The call once returned an error, and only the running process excluded the server.
func TestExclusionWhileOpenFails(t *testing.T) {
	skipUnlessTraceable(t)
	t.Parallel()
	n := newTestNode(t)
	p := n.startAndAwaitFault("calls=open,errno=EMFILE,path=maintenance.json,from=1s,for=300ms")
	if _, err := callAdmin(p.adminAddr, "maint-on s0"); err != nil {
		t.Error(err)
	}
	p.signalAndWait(syscall.SIGKILL, time.Second)
	n.faultPlan = ""
	n.start().waitForReply("status", "OK")
	n.checkExcluded(0)
}

// TestUnsavedExclusionReachesTheOtherProcess checks that both processes of a handover exclude a server, also if the process that receives
// the command cannot save the exclusion. The other process was once not told.
func TestUnsavedExclusionReachesTheOtherProcess(t *testing.T) {
	skipUnlessTraceable(t)
	t.Parallel()
	n := newTestNode(t)
	current := n.start()
	current.waitForReply("status", "OK")
	successor := n.startAndAwaitFault("calls=open,errno=ENOSPC,path=maintenance.json,from=1s")
	if _, err := callAdmin(successor.adminAddr, "maint-on s0"); err == nil {
		t.Error("the call says that the exclusion is saved")
	}
	n.checkExcluded(0)
	if !strings.Contains(current.log.String(), "maintenance exclusions changed") {
		t.Error("the other process does not know of the exclusion")
	}
}
