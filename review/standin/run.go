// Package standin holds what the cases of the review share: stand-ins for clients, cache servers, the origin, discovery and the network
// between them, and the start of the project's own programs by the commands of the deploy file. All of it is on loopback addresses.
package standin

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// maxRun is the longest time of a run.
const maxRun = 110 * time.Second

// Run is one run of a case: its temporary folder, its record and the processes that it has started.
type Run struct {
	Trouble bool   // the disruption is on
	Root    string // of the repository
	Dir     string // temporary folder

	start time.Time

	mu     sync.Mutex // guards the fields below
	record *bufio.Writer
	file   *os.File
	nodes  []*Node
	broken int
	ended  bool
}

// Start begins a run. Its argument is the folder of the case, in which the record is written.
func Start() *Run {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER")
		os.Exit(NotRun)
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	file, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	r := &Run{
		Trouble: os.Getenv("TROUBLE") != "0", Root: root, Dir: dir, start: time.Now(),
		record: bufio.NewWriter(file), file: file,
	}
	r.Logf("the disruption is on: %v", r.Trouble)
	time.AfterFunc(maxRun, func() { r.Fatal("the run took too long") })
	return r
}

// Ms returns the time since the start of the run.
func (r *Run) Ms() float64 { return float64(time.Since(r.start)) / float64(time.Millisecond) }

// Logf adds a line to the record.
func (r *Run) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		_, _ = fmt.Fprintf(r.record, "%10.3f ms  %s\n", r.Ms(), fmt.Sprintf(format, args...)) // an error shows in end
	}
}

// Break records that the rule was broken.
func (r *Run) Break(format string, args ...any) {
	r.Logf("BROKEN: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
}

// Fatal ends the run because the case cannot run.
func (r *Run) Fatal(reason any) {
	r.Logf("the case could not run: %v", reason)
	r.end(NotRun)
}

// Check ends the run because the case cannot run, if there is an error.
func (r *Run) Check(err error) {
	if err != nil {
		r.Fatal(err)
	}
}

// Finish ends the run with its verdict.
func (r *Run) Finish() {
	r.mu.Lock()
	broken := r.broken
	r.mu.Unlock()
	r.Logf("the rule was broken %d times", broken)
	if broken > 0 {
		r.end(Broken)
	}
	r.end(Held)
}

// end ends all processes and removes the temporary folder.
func (r *Run) end(code int) {
	r.mu.Lock()
	nodes := r.nodes
	r.mu.Unlock()
	for _, n := range nodes {
		n.Kill()
	}
	_ = os.RemoveAll(r.Dir) // what is left is in the system's temporary folder
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	if err := r.record.Flush(); err != nil {
		code = NotRun
	}
	_ = r.file.Close() // all of it has been flushed
	os.Exit(code)
}

// deployCommand returns a command of the deploy file.
func (r *Run) deployCommand(name string) (string, error) {
	text, err := os.ReadFile(filepath.Join(r.Root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, name+" = \""); ok {
			command, _, _ := strings.Cut(rest, "\"")
			return command, nil
		}
	}
	return "", fmt.Errorf("the deploy file has no %s", name)
}
