package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/cluster/idempotency"
	"mintspring/internal/cluster/idempotency/storage"
	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/processrunner"
)

// idempotencyExperiment runs nodes with idempotency records. The servers deduplicate writes by their idempotency keys for 400 ms only.
const idempotencyExperiment = `name = "sales"
seed = 3
settle = "1s"
length = "5s"
[fleet]
zones = ["a"]
[[fleet.boxes]]
count = 2
cores = 8
connections = 400
warm_within = "1s"
[fleet.origin]
cores = 8
[nodes]
count = %d
operator = %q
[load]
rate = 150
keys = 300
retries = 4
retry_wait = "700ms"
insist = true
honour_waits = false
[[workloads]]
name = "read"
share = 0.5
slo = "300ms"
timeout = "1s"
[[workloads]]
name = "write"
share = 0.5
write = true
effect = "deduplicated"
dedup_span = "400ms"
slo = "300ms"
timeout = "500ms"
[[workloads]]
name = "credit"
share = 0.001
write = true
effect = "deduplicated"
dedup_span = "400ms"
timeout = "500ms"
[[expect]]
what = "breaches"
at_most = 0
%s`

// writeIdempotencyOperatorFile writes an operator's file with the given number of members, followed by extraSections, and returns its
// path.
func writeIdempotencyOperatorFile(t *testing.T, members int, extraSections string) string {
	t.Helper()
	var addrs strings.Builder
	for i := range members {
		fmt.Fprintf(&addrs, "\"${MINTSPRING_REPLICA_%d}\", ", i+1)
	}
	name := filepath.Join(t.TempDir(), "operator.toml")
	writeFile(t, name, `[idempotency]
name = "sales"
data_dir = "${MINTSPRING_NODE_DIR}/book"
retry_interval = "10ms"
claim_timeout = "150ms"
commit_timeout = "150ms"
anti_entropy_interval = "300ms"
members = [`+addrs.String()+"]\n"+extraSections)
	return name
}

// idempotencyFleet is three nodes with idempotency records among fake servers.
type idempotencyFleet struct{ *processrunner.StandaloneFleet }

func startIdempotencyFleet(t *testing.T, extraSections string) idempotencyFleet {
	t.Helper()
	x, err := experiment.Parse("sales", fmt.Sprintf(idempotencyExperiment, 3, writeIdempotencyOperatorFile(t, 3, extraSections), ""))
	if err != nil {
		t.Fatal(err)
	}
	fleet, err := processrunner.StartStandalone(x, nil, t.TempDir(), []string{os.Args[0], programArg})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	return idempotencyFleet{fleet}
}

// write sends a write with an idempotency key to a node, and returns its receipt.
func (f idempotencyFleet) write(node int, class, key string) (string, error) {
	request := processrunner.SingleRequest{
		Addr: f.Addrs[node], Class: class, Tenant: "all", Key: "key-" + key, Value: "value", Write: true, IdempotencyKey: key,
		Timeout: 500 * time.Millisecond,
	}
	return request.Send()
}

// writeEventually repeats a write until it has a receipt: a node that has just started may not return one at once.
func (f idempotencyFleet) writeEventually(t *testing.T, node int, class, key string) (receipt string) {
	t.Helper()
	eventually(t, testTimeout, func() (err error) {
		receipt, err = f.write(node, class, key)
		return err
	})
	return receipt
}

// checkExecutions checks how often the write with an idempotency key was executed.
func (f idempotencyFleet) checkExecutions(t *testing.T, key string, want int) {
	t.Helper()
	if n := f.EffectCount("key-" + key); n != want {
		t.Errorf("%s was executed %d times, want %d", key, n, want)
	}
}

// TestWriteSurvivesMachineLoss executes a write at one node, whose machine is then lost with its disk. A retry at another node, after the
// servers have forgotten the write, must return the same receipt without a second execution. The same holds when the next machine is lost
// after the first one has been replaced.
func TestWriteSurvivesMachineLoss(t *testing.T) {
	f := startIdempotencyFleet(t, "")
	receipt := f.writeEventually(t, 0, "write", "m1")
	time.Sleep(500 * time.Millisecond) // longer than the servers deduplicate
	for lost := range 3 {
		if err := f.LoseMachine(lost); err != nil {
			t.Fatal(err)
		}
		f.checkReceiptWithout(t, lost, receipt)
		if err := f.Restart(lost); err != nil {
			t.Fatal(err)
		}
		// The next machine is lost once this node reports that it holds all records again. The records are checked below.
		eventually(t, testTimeout, func() error {
			text, err := f.AdminCall(lost, "book")
			if err == nil && !strings.Contains(text, `"state":"holds"`) {
				err = errors.New(text)
			}
			return err
		})
	}
	f.checkExecutions(t, "m1", 1)
	if err := (&idempotencyShowCmd{Address: f.AdminAddr(0)}).Run(); err != nil {
		t.Error(err)
	}
	if err := f.LoseMachine(1); err != nil {
		t.Fatal(err)
	}
	dir := filepath.Join(f.DataDir(2), "book")
	f.Stop(2)
	checkStoredReceipt(t, dir, receipt)
}

// checkReceiptWithout repeats the write m1 at each node but the lost one, and expects the receipt of the first write.
func (f idempotencyFleet) checkReceiptWithout(t *testing.T, lost int, receipt string) {
	t.Helper()
	for node := range 3 {
		if node == lost {
			continue
		}
		if again, err := f.write(node, "write", "m1"); err != nil || again != receipt {
			t.Errorf("node %d, with the machine of %d lost: %q, %v; the receipt was %q", node, lost, again, err, receipt)
		}
	}
}

// checkStoredReceipt expects one completed record with the receipt in a data directory, and that the directory has caught up.
func checkStoredReceipt(t *testing.T, dir, receipt string) {
	t.Helper()
	summary, err := storage.Inspect(dir)
	if err != nil || len(summary.State.Records) != 1 || summary.State.CaughtUpStorage != summary.Incarnation {
		t.Fatalf("%+v, %v", summary, err)
	}
	for _, r := range summary.State.Records {
		if r.Record.State != idempotency.StateCompleted || string(r.Record.Receipt) != receipt {
			t.Errorf("%+v", r.Record)
		}
	}
	if err := (&idempotencyVerifyCmd{Dir: dir}).Run(); err != nil {
		t.Error(err)
	}
}

// TestWritesWithoutQuorum cuts off most members. Writes must be rejected at once with a Retry-After, or executed if the operator's file
// allows that for their class. Reads must not be affected.
func TestWritesWithoutQuorum(t *testing.T) {
	f := startIdempotencyFleet(t, "[idempotency.no_quorum]\ncredit = \"origin\"\n")
	f.writeEventually(t, 0, "write", "m0")
	f.UpdateIdempotencyLinks(func(l *faultrelay.Links) {
		l.Set([]int{0, 1, 2}, []int{0, 1, 2}, func(x *faultrelay.Link) { x.Cut = true })
	})
	start := time.Now()
	if reply, err := f.write(0, "write", "m1"); err == nil || !strings.Contains(err.Error(), "retry after") {
		t.Errorf("the reply is %q, %v", reply, err)
	}
	if took := time.Since(start); took > 400*time.Millisecond {
		t.Errorf("rejected after %v", took)
	}
	f.checkExecutions(t, "m1", 0)
	if _, err := f.write(0, "credit", "m2"); err != nil {
		t.Errorf("a write that may be executed without a quorum: %v", err)
	}
	start = time.Now()
	read := processrunner.SingleRequest{Addr: f.Addrs[0], Class: "read", Tenant: "all", Key: "key-m0", Timeout: 500 * time.Millisecond}
	_, err := read.Send()
	if took := time.Since(start); err != nil || took > 140*time.Millisecond {
		t.Errorf("a read: %v after %v", err, took)
	}
	f.UpdateIdempotencyLinks(func(l *faultrelay.Links) { l.Heal() })
	f.writeEventually(t, 0, "write", "m1")
	f.checkExecutions(t, "m1", 1)
}

// TestIdempotencyRecordsSurviveFaults runs five nodes with idempotency records. They lose machines with their disks one after another,
// are frozen, killed at once and cut off, while a tenth of the origin's responses is lost and clients retry their writes long after the
// servers have forgotten them. No write may be executed twice and no rule may be broken. Without records some writes must be executed
// twice, which shows that the records prevent it.
func TestIdempotencyRecordsSurviveFaults(t *testing.T) {
	const lostResponses = `
[[at]]
time = "0s"
do = "lost_answers"
box = "origin"
value = 0.1
for = "4s"
`
	const noRepeats, someRepeats = "[[expect]]\nwhat = \"repeats\"\nat_most = 0\n", "[[expect]]\nwhat = \"repeats\"\nat_least = 5\n"
	event := func(at, do string, node int, extraKeys string) string {
		return fmt.Sprintf("[[at]]\ntime = %q\ndo = %q\nnode = %d\n%s\n", at, do, node, extraKeys)
	}
	killAll := ""
	for node := range 5 {
		killAll += event("1s", "kill_node", node, "for = \"200ms\"")
	}
	for name, c := range map[string]struct {
		events  string
		records bool
	}{
		"machines lost": {event("500ms", "wipe_node", 0, "") + event("2s", "wipe_node", 1, "") + event("3500ms", "wipe_node", 2, "") +
			event("1200ms", "freeze_node", 3, "for = \"700ms\"") + noRepeats, true},
		"all at once, cut off": {killAll + `
[[at]]
time = "2500ms"
do = "cut_peers"
nodes = [0, 1]
others = [2, 3, 4]
for = "700ms"
[[at]]
time = "3500ms"
do = "injure_peers"
lose = 0.1
spread = "30ms"
again = 1
after = "300ms"
spoil = 0.05
` + event("4200ms", "stop_node", 2, "for = \"300ms\"") + noRepeats, true},
		"without records": {someRepeats, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			operator := ""
			if c.records {
				operator = writeIdempotencyOperatorFile(t, 5, "")
			}
			runExperiment(t, name, fmt.Sprintf(idempotencyExperiment, 5, operator, lostResponses+c.events), t.TempDir())
		})
	}
}

// TestNewMachineRestoresPeerSnapshot checks that a node on a new machine restores the snapshot of another member, for which it waits at
// most a second, and treats it as the snapshot of another node.
func TestNewMachineRestoresPeerSnapshot(t *testing.T) {
	f := startIdempotencyFleet(t, "[snapshot]\ndata_dir = \"${MINTSPRING_NODE_DIR}/learnt\"\n")
	load := processrunner.LoadTest{
		Addr: f.Addrs[1], Rate: 200, Clients: 8, Duration: time.Second, Class: "read", Tenant: "all", Timeout: 500 * time.Millisecond, Keys: 50,
	}
	if _, err := load.Run(); err != nil {
		t.Fatal(err)
	}
	if err := f.LoseMachine(0); err != nil {
		t.Fatal(err)
	}
	if err := f.Restart(0); err != nil {
		t.Fatal(err)
	}
	eventually(t, testTimeout, func() error {
		b, err := os.ReadFile(f.LogFile(0))
		if err != nil {
			return err
		}
		log := string(b)
		if start := strings.LastIndex(log, "read the operator's file"); start >= 0 {
			log = log[start:]
		}
		if !strings.Contains(log, "restored a snapshot") || !strings.Contains(log, `it is from node \"n1\"`) {
			return errors.New(log)
		}
		return nil
	})
}
