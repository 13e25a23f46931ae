package faultsearch

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"mintspring/internal/testbed/experiment"
)

// A seed always generates the same experiment, different seeds generate different ones, and an encoded experiment is decoded unchanged.
func TestGeneratedExperimentsRoundTrip(t *testing.T) {
	r := DefaultRanges()
	seen := map[string]uint64{}
	for seed := range uint64(200) {
		x, err := r.Generate(seed + 1)
		if err != nil {
			t.Fatalf("seed %d: %v", seed+1, err)
		}
		encoded, err := EncodeTOML(x)
		if err != nil {
			t.Fatal(err)
		}
		again, err := r.Generate(seed + 1)
		if err != nil {
			t.Fatal(err)
		}
		if other, err := EncodeTOML(again); err != nil || other != encoded {
			t.Fatalf("seed %d gives two experiments", seed+1)
		}
		decoded, err := experiment.Parse(x.Name+".toml", encoded)
		if err != nil {
			t.Fatalf("seed %d is not read back: %v\n%s", seed+1, err, encoded)
		}
		if !reflect.DeepEqual(decoded.Steps, x.Steps) || !reflect.DeepEqual(decoded.Fleet, x.Fleet) || !reflect.DeepEqual(decoded.Classes, x.Classes) ||
			!reflect.DeepEqual(decoded.Nodes, x.Nodes) || decoded.Load != x.Load {
			t.Fatalf("seed %d is read back as another experiment", seed+1)
		}
		if earlier, found := seen[encoded]; found {
			t.Errorf("seeds %d and %d give one experiment", earlier, seed+1)
		}
		seen[encoded] = seed + 1
	}
}

// Shrinking keeps the one fault and the number of nodes that the failure needs, and stays within the limit of calls.
func TestShrink(t *testing.T) {
	r := DefaultRanges()
	r.Faults, r.FaultKinds = [2]int{3, 3}, []string{"kill", "slow", "reset"}
	for seed := range uint64(20) {
		x, err := r.Generate(seed + 1)
		if err != nil {
			t.Fatal(err)
		}
		kind := x.Steps[int(seed)%3].Action
		calls := 0
		reproduces := func(y *experiment.Experiment) bool {
			calls++
			for _, s := range y.Steps {
				if s.Action == kind && y.Nodes.Count >= min(3, x.Nodes.Count) {
					return true
				}
			}
			return false
		}
		smallest := Shrink(x, 60, reproduces)
		if len(smallest.Steps) != 1 || smallest.Steps[0].Action != kind || smallest.Nodes.Count > 5 || smallest.Nodes.Count < min(3, x.Nodes.Count) || calls > 60 {
			t.Errorf("seed %d: %d faults, %d nodes, %d calls", seed+1, len(smallest.Steps), smallest.Nodes.Count, calls)
		}
	}
}

// The error for an invalid file of ranges names the field.
func TestInvalidRanges(t *testing.T) {
	for text, want := range map[string]string{
		"nodes = [0, 3]":        "nodes: from 0 to 3 is not a range above 0",
		"boxes = [5, 3]":        "boxes: from 5 to 3",
		`kinds = ["kill", "x"]`: `kinds: number 2, "x"`,
		"writes = [0.5, 0.95]":  "writes: from 0.5 to 0.95",
		"nodez = [1, 2]":        "nodez: no such field",
	} {
		file := filepath.Join(t.TempDir(), "ranges.toml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadRanges(file); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// Every file of ranges in the repository is valid and generates an experiment.
func TestRepositoryRanges(t *testing.T) {
	files, err := filepath.Glob("../../../experiments/hunts/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, f := range files {
		r, err := ReadRanges(f)
		if err == nil {
			_, err = r.Generate(1)
		}
		if err != nil {
			t.Error(err)
		}
	}
}
