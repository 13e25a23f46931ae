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

// idempotencyExperiment is so many nodes with records of their sales, whose idempotency keys servers forget after a moment.
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

// writeIdempotencyFile writes the operator's file of so many members, with more behind it, and returns its name.
func writeIdempotencyFile(t *testing.T, members int, more string) string {
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
members = [`+addrs.String()+"]\n"+more)
	return name
}

// salesFleet is three nodes of the program with idempotency records, among fake servers.
type salesFleet struct{ *processrunner.StandaloneFleet }

func startSalesFleet(t *testing.T, more string) salesFleet {
	t.Helper()
	x, err := experiment.Parse("sales", fmt.Sprintf(idempotencyExperiment, 3, writeIdempotencyFile(t, 3, more), ""))
	if err != nil {
		t.Fatal(err)
	}
	fleet, err := processrunner.StartStandalone(x, nil, t.TempDir(), []string{os.Args[0], programArg})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	return salesFleet{fleet}
}

// sell sends a sale to a node, and returns its receipt.
func (f salesFleet) sell(node int, class, key string) (string, error) {
	request := processrunner.SingleRequest{
		Addr: f.Addrs[node], Class: class, Tenant: "all", Key: "key-" + key, Value: "value", Write: true, IdempotencyKey: key,
		Timeout: 500 * time.Millisecond,
	}
	return request.Send()
}

// sellEventually repeats a sale until it has a receipt, which a node that has just started may not give at once.
func (f salesFleet) sellEventually(t *testing.T, node int, class, key string) (receipt string) {
	t.Helper()
	eventually(t, testTimeout, func() (err error) {
		receipt, err = f.sell(node, class, key)
		return err
	})
	return receipt
}

// checkExecutions checks how often the sale with a key was executed.
func (f salesFleet) checkExecutions(t *testing.T, key string, want int) {
	t.Helper()
	if n := f.EffectCount("key-" + key); n != want {
		t.Errorf("%s was executed %d times, want %d", key, n, want)
	}
}

// TestSaleOutlivesItsMachines: a sale is executed at one node, whose machine is lost with its disk. Retried at another, after its
// servers have forgotten it, it gets the same receipt and is not executed again; also when the next machine is lost as well,
// once the first one has been replaced.
func TestSaleOutlivesItsMachines(t *testing.T) {
	f := startSalesFleet(t, "")
	receipt := f.sellEventually(t, 0, "write", "m1")
	time.Sleep(500 * time.Millisecond) // longer than servers drop repeats
	for lost := range 3 {
		if err := f.LoseMachine(lost); err != nil {
			t.Fatal(err)
		}
		f.checkReceiptWithout(t, lost, receipt)
		if err := f.Restart(lost); err != nil {
			t.Fatal(err)
		}
		// The next one is lost when this one reports that it holds all records again; what it holds is checked below.
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

// checkReceiptWithout sells m1 again at each node but the lost one, and expects the receipt of the first sale.
func (f salesFleet) checkReceiptWithout(t *testing.T, lost int, receipt string) {
	t.Helper()
	for node := range 3 {
		if node == lost {
			continue
		}
		if again, err := f.sell(node, "write", "m1"); err != nil || again != receipt {
			t.Errorf("node %d, with the machine of %d lost: %q, %v; the receipt was %q", node, lost, again, err, receipt)
		}
	}
}

// checkStoredReceipt expects one completed record in the data directory of a node that has caught up, with the receipt.
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

// TestSalesWithoutQuorum: with most members cut off, sales are rejected at once with a Retry-After, or are executed where the
// operators say so; reads are not affected.
func TestSalesWithoutQuorum(t *testing.T) {
	f := startSalesFleet(t, "[idempotency.no_quorum]\ncredit = \"origin\"\n")
	f.sellEventually(t, 0, "write", "m0")
	f.UpdateIdempotencyLinks(func(l *faultrelay.Links) {
		l.Set([]int{0, 1, 2}, []int{0, 1, 2}, func(x *faultrelay.Link) { x.Cut = true })
	})
	start := time.Now()
	if reply, err := f.sell(0, "write", "m1"); err == nil || !strings.Contains(err.Error(), "retry after") {
		t.Errorf("the reply is %q, %v", reply, err)
	}
	if took := time.Since(start); took > 400*time.Millisecond {
		t.Errorf("rejected after %v", took)
	}
	f.checkExecutions(t, "m1", 0)
	if _, err := f.sell(0, "credit", "m2"); err != nil {
		t.Errorf("where it may be executed: %v", err)
	}
	start = time.Now()
	read := processrunner.SingleRequest{Addr: f.Addrs[0], Class: "read", Tenant: "all", Key: "key-m0", Timeout: 500 * time.Millisecond}
	_, err := read.Send()
	if took := time.Since(start); err != nil || took > 140*time.Millisecond {
		t.Errorf("a read: %v after %v", err, took)
	}
	f.UpdateIdempotencyLinks(func(l *faultrelay.Links) { l.Heal() })
	f.sellEventually(t, 0, "write", "m1")
	f.checkExecutions(t, "m1", 1)
}

// TestFiveNodesKeepRecords: five processes with idempotency records lose machines with their disks one after another, are frozen,
// killed at once and cut off, while a tenth of the origin's responses are lost and clients retry their sales long after servers
// have forgotten them: none is executed twice and no rule is broken. The same without records shows what they are for.
func TestFiveNodesKeepRecords(t *testing.T) {
	const lostResponses = `
[[at]]
time = "0s"
do = "lost_answers"
box = "origin"
value = 0.1
for = "4s"
`
	const noRepeats, someRepeats = "[[expect]]\nwhat = \"repeats\"\nat_most = 0\n", "[[expect]]\nwhat = \"repeats\"\nat_least = 5\n"
	event := func(at, do string, node int, more string) string {
		return fmt.Sprintf("[[at]]\ntime = %q\ndo = %q\nnode = %d\n%s\n", at, do, node, more)
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
				operator = writeIdempotencyFile(t, 5, "")
			}
			playExperiment(t, name, fmt.Sprintf(idempotencyExperiment, 5, operator, lostResponses+c.events), t.TempDir())
		})
	}
}

// TestBareMachineGetsASnapshot: a node on a bare machine restores the snapshot of another member, within a second and as another
// node's.
func TestBareMachineGetsASnapshot(t *testing.T) {
	f := startSalesFleet(t, "[snapshot]\ndata_dir = \"${MINTSPRING_NODE_DIR}/learnt\"\n")
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
