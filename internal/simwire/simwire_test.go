package simwire

import (
	"bytes"
	"strings"
	"testing"
)

// env holds the settings of an instance with one request class.
const env = `{"Workloads":[{"Effect":"pure","SloTime":300000,"StatementTimeout":900000,"Importance":1}],` +
	`"Discovery":"subscribe","Later":{"x":[1]},"PolicyLimits":{"MaxExecutions":3},"Guarantees":{"MustAskIn":9000000}}`

// runHost runs a host on an input and returns its output.
func runHost(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := NewHost(strings.NewReader(in), &out).Run()
	return out.String(), err
}

func TestBatches(t *testing.T) {
	out, err := runHost(t, "ROUND Moment=1000\nOVER_TO_YOU\n"+
		"ROUND Moment=5000000\nSPAWN Who=3 Prng=9 New=1 Env="+env+"\n"+
		"LEDGER Elements=1 Slot=0\nSERVER Server=10.0.0.1:11211 Mode=2 Size=1.5\n"+
		"ANNOUNCE Slot=0 Stamp=4 Mode=2 Who=3\n"+
		"LEDGER Slot=0 Elements=0\nOVER_TO_YOU\n"+
		"ROUND Moment=5001000\nKNOCK PathKey=91f03b7c55d20a64 Job=77 Who=3 DropDead=5400000 Odd=x\nELAPSED Who=9 KeyBack=1\nOVER_TO_YOU\n"+
		"ROUND Moment=5020000\nVERDICT Who=3 Job=77 Go=0 Server=10.0.0.1:11211 Result=ok CostTime=18500 Over=1 "+
		"Usage=cpu:0.5,novel:3\nDROPPED Who=3 Job=77\nEXIT Who=3\nOVER_TO_YOU\n")
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"END\nKEEP_INFORMED Who=3 Active=1\n", "SEND Who=3 Job=77 Server=10.0.0.1:11211 Limit=399000\n"} {
		if !strings.Contains(out, want) {
			t.Errorf("the output lacks %q:\n%s", want, out)
		}
	}
	if strings.Count(out, "END\n") != 4 {
		t.Errorf("want one END for each batch, output: %s", out)
	}
}

// An instance that exits and is spawned again within a batch keeps neither requests nor servers. A timer event for an instance that has
// exited is ignored.
func TestInstanceRestartsWithinABatch(t *testing.T) {
	const spawn = "SPAWN Who=3 Prng=9 Env=" + env + "\n"
	list := func(server string) string {
		return "LEDGER Elements=1 Slot=0\nSERVER Server=" + server + " Mode=2\nANNOUNCE Slot=0 Stamp=4 Mode=2 Who=3\n"
	}
	out, err := runHost(t, "ROUND Moment=5000000\n"+spawn+list("10.0.0.1:1")+"KNOCK PathKey=91f03b7c55d20a64 Job=77 Who=3 DropDead=5400000\nOVER_TO_YOU\n"+
		"ROUND Moment=5010000\nEXIT Who=3\n"+spawn+list("10.0.0.2:1")+"KNOCK PathKey=91f03b7c55d20a64 Job=78 Who=3 DropDead=5400000\nOVER_TO_YOU\n"+
		"ROUND Moment=5020000\nEXIT Who=3\nOVER_TO_YOU\nROUND Moment=5030000\nELAPSED Who=3 KeyBack=1\nOVER_TO_YOU\n")
	if err != nil {
		t.Fatal(err)
	}
	batches := strings.Split(out, "END\n")
	if len(batches) != 5 || batches[2] != "" || batches[3] != "" {
		t.Fatalf("%q", batches)
	}
	if !strings.Contains(batches[0], "SEND Who=3 Job=77 Server=10.0.0.1:1 ") || !strings.Contains(batches[1], "SEND Who=3 Job=78 Server=10.0.0.2:1 ") ||
		strings.Contains(batches[1], "Job=77") || strings.Contains(batches[1], "10.0.0.1") {
		t.Errorf("%q", batches)
	}
}

func TestMalformedInputNamesTheLine(t *testing.T) {
	for _, c := range []struct{ in, want string }{
		{"HELLO\n", "line 1: message \"HELLO\""},
		{"ROUND Moment=1\nKNOCK Who=1 Job=x\nOVER_TO_YOU\n", "line 2: bad value \"x\" for Job"},
		{"ROUND Moment=1\nWAVE Who=1\nOVER_TO_YOU\n", "line 2: message \"WAVE\""},
		{"ROUND Moment=1\nKNOCK Who=1 Job\n", "line 2: part \"Job\""},
		{"ROUND Moment=1\nEXIT Who=1\n", "line 2: input ends within a batch"},
		{"ROUND Moment=1\nEXIT Wh", "line 2: input ends within a line"},
		{"ROUND Moment=1\nSPAWN Who=1 Prng=1 Env={\nOVER_TO_YOU\n", "line 2: settings"},
		{"ROUND Moment=1\nLEDGER Slot=16 Elements=0\n", "line 2: list 16"},
	} {
		if out, err := runHost(t, c.in); err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(out, "END") {
			t.Errorf("%q: error %v, output %q, want %q", c.in, err, out, c.want)
		}
	}
}
