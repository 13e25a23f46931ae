package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/schollz/progressbar/v3"

	"mintspring/internal/testbed/experiment"
)

// mainProgram is the name in reports of the program under test, as opposed to a baseline.
const mainProgram = "mintspring"

// errInterrupted reports that the user interrupted the program.
var errInterrupted = errors.New("interrupted")

// siblingProgram returns the path of a program in the folder of this executable, or the bare name if that folder is unknown.
func siblingProgram(name string) string {
	self, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(self), name)
}

// nodeProgram returns the path of the node's program: the given one, or the one in the folder of this executable by default.
func nodeProgram(name string) (string, error) {
	if name == "" {
		name = siblingProgram("mintspring")
	}
	if _, err := os.Stat(name); err != nil {
		return "", fmt.Errorf("the node's program: %w; build it with make build", err)
	}
	return name, nil
}

// checkLoopback rejects addresses that are not on loopback.
func checkLoopback(addr string) error {
	if !strings.HasPrefix(addr, "127.") && !strings.HasPrefix(addr, "localhost:") && !strings.HasPrefix(addr, "[::1]:") {
		return fmt.Errorf("%s is not a loopback address", addr)
	}
	return nil
}

// progress returns a function that shows the completed share as a progress bar on standard error, or nil if that is not a terminal.
func progress(description string) func(done float64) {
	const steps = 1000
	stat, err := os.Stderr.Stat()
	if err != nil || stat.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	bar := progressbar.NewOptions(steps, progressbar.OptionSetDescription(description), progressbar.OptionClearOnFinish(),
		progressbar.OptionSetWriter(os.Stderr))
	return func(done float64) {
		_ = bar.Set(int(steps * min(1, done))) // progress is only informative
	}
}

// parseSeeds parses a single seed, or A..B for the seeds from A to B. An empty text means the experiment file's own seed, written as 0.
func parseSeeds(text string) ([]uint64, error) {
	const maxSeeds = 10_000
	if text == "" {
		return []uint64{0}, nil
	}
	first, last, isRange := strings.Cut(text, "..")
	if !isRange {
		last = first
	}
	from, fromErr := strconv.ParseUint(first, 10, 64)
	to, toErr := strconv.ParseUint(last, 10, 64)
	if fromErr != nil || toErr != nil || from == 0 || to < from || to-from >= maxSeeds {
		return nil, fmt.Errorf("--seeds: %q is neither a seed above 0 nor A..B", text)
	}
	var seeds []uint64
	for seed := from; seed <= to; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// forEachParallel calls a function for each index below count, with at most jobs calls at a time (one per core if jobs is not above 0). It
// starts no further call after the context ends.
func forEachParallel(ctx context.Context, count, jobs int, call func(i int), showProgress func(float64)) {
	if jobs <= 0 {
		jobs = runtime.NumCPU()
	}
	var mu sync.Mutex // guards next and finished
	next, finished := 0, 0
	nextIndex := func() int {
		mu.Lock()
		defer mu.Unlock()
		next++
		return next - 1
	}
	var workers sync.WaitGroup
	for range min(jobs, count) {
		workers.Go(func() {
			for i := nextIndex(); i < count && ctx.Err() == nil; i = nextIndex() {
				call(i)
				mu.Lock()
				if finished++; showProgress != nil {
					showProgress(float64(finished) / float64(count))
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait()
}

// quantile sorts the values and returns the quantile at the given share, or 0 if there are no values.
func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(share*float64(len(values))))]
}

// printVerdict prints the verdict of a run.
func printVerdict(v *experiment.Verdict, asJSON bool) error {
	if asJSON {
		text, err := v.JSON()
		if err == nil {
			fmt.Println(text)
		}
		return err
	}
	fmt.Print(v.Text())
	if !v.IsValid {
		fmt.Printf("  the machine was too busy: the bench was %.0f ms late at p99 (%d at most), so this run does not count\n",
			v.LatenessMs, experiment.MaxLatenessMs)
	}
	fmt.Println(v.String())
	return nil
}
