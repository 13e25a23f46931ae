package faultrounds

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// A round starts nodes with their configuration, collects the output of each run, and records nodes that exit without a kill unless MayExit is set.
func TestRoundRunsNodes(t *testing.T) {
	r, err := New[string](Options{Name: "test", Argv: []string{"sh", "-c", `echo "$0"; case "$0" in *exit*) echo gone >&2; exit 3;; esac; exec sleep 60`}, Nodes: 2, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	running, exiting, mayExit := r.Add("running", "run"), r.Add("exiting", "exit"), r.Add("contender", "exit")
	mayExit.MayExit = true
	if err := r.Start(r.Nodes...); err != nil {
		t.Fatal(err)
	}
	for _, n := range []*Node[string]{exiting, mayExit} {
		n.exited <- <-n.exited // wait until the process has exited, and keep its result for Kill
	}
	if err := r.Restart(t.Context(), 50, 0, running); err != nil {
		t.Fatal(err)
	}
	r.Wait(t.Context(), 200, 0)
	r.Close()
	if len(r.Failures) != 1 || !strings.HasPrefix(r.Failures[0], "exiting: exit status 3: gone") {
		t.Errorf("failures %q", r.Failures)
	}
	outputs := running.Outputs()
	if len(outputs) != 2 || outputs[1].String() != "\"run\"\n" {
		t.Errorf("%d outputs of a node that was started twice: %v", len(outputs), outputs)
	}
	if running.running() {
		t.Error("a node runs after Close")
	}
}

func TestRandomSubset(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	all := []int{0, 1, 2, 3}
	for range 200 {
		subset := randomSubset(all, rng.IntN)
		others := Complement(all, subset)
		if len(subset) == 0 || len(others) == 0 {
			t.Fatalf("%v is not a non-empty proper subset of %v", subset, all)
		}
		if union := slices.Sorted(slices.Values(slices.Concat(subset, others))); !slices.Equal(union, all) {
			t.Fatalf("%v and the others %v are not %v", subset, others, all)
		}
	}
}

func TestAddrsFrom(t *testing.T) {
	r, err := New[int](Options{Name: "test", Nodes: 3, Seed: 2})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if got, want := r.AddrsFrom(1, 3), []string{r.Relay.Addr(1, 0), r.Addr(1), r.Relay.Addr(1, 2)}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}
