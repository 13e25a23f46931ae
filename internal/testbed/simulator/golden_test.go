package simulator

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"testing"

	"mintspring/internal/testbed/experiment"
)

// TestGoldenRun runs a small fleet with all kinds of faults. It compares the verdict, to the last digit, and a digest of all requests and
// executions with stored results of an earlier version, to detect changes of behavior. The stored results are valid for amd64 only: other
// processors may fuse multiplications with additions, which changes the last digits.
func TestGoldenRun(t *testing.T) {
	x, err := experiment.Read("testdata/golden/fleet.toml")
	if err != nil {
		t.Fatal(err)
	}
	r := runExperiment(t, x, Options{Program: "golden"})
	v := r.Verdict(true)
	encoded, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/golden/fleet.verdict.json")
	if err != nil {
		t.Fatal(err)
	}
	if string(encoded) != string(want) {
		t.Errorf("the verdict differs:\n%s", encoded)
	}
	var decoded experiment.Verdict
	if err := json.Unmarshal(want, &decoded); err != nil {
		t.Fatal(err)
	}
	reencoded, err := json.MarshalIndent(decoded, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if string(reencoded) != string(want) || !reflect.DeepEqual(decoded.Figures, v.Figures) {
		t.Error("the stored verdict changes when it is decoded and encoded again")
	}
	h := sha256.New()
	writeLine := func(values ...any) {
		if _, err := fmt.Fprintln(h, values...); err != nil {
			t.Fatal(err)
		}
	}
	for i := range r.Requests {
		q := &r.Requests[i]
		writeLine("query", q.DueMs, q.Class, int(q.Outcome), q.DoneMs, q.Tenant, q.Key, q.Attempts, q.MetObjective)
	}
	for _, e := range r.Executions {
		writeLine("execution", e.FirstByteMs, e.Server, e.Node, e.Class, int(e.Outcome), e.Write, e.RepeatedEffect)
	}
	digest, err := os.ReadFile("testdata/golden/fleet.sha256")
	if err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprintf("%d %d %x\n", len(r.Requests), len(r.Executions), h.Sum(nil)); got != string(digest) {
		t.Errorf("requests, executions and their digest are %s, were %s", got, digest)
	}
}
