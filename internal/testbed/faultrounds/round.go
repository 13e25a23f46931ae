// Package faultrounds runs rounds of several real processes under injected faults: processes are killed, paused and restarted, and a relay drops, delays,
// duplicates and corrupts the datagrams between them.
//
// A [Round] implements the parts that all kinds of rounds share. Each process runs the same command, with its configuration as JSON in the last argument.
package faultrounds

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"

	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/testbed/loopback"
)

// Options configure a round.
type Options struct {
	Name         string   // kind of round; prefix of the temporary directory's name
	Argv         []string // command of the nodes; the configuration is appended
	Nodes        int
	Seed         uint64
	RandomStream uint64 // separates the random numbers of different uses of one seed
}

// Node is a process of a round with its configuration, of type C. The configuration may be changed between starts.
type Node[C any] struct {
	Process
	Name    string
	Config  C
	MayExit bool // an exit without a kill is not a failure

	outputs []*bytes.Buffer
}

// Outputs returns the standard output of each run of the process. The last one may be read once the process has ended.
func (n *Node[C]) Outputs() []*bytes.Buffer { return n.outputs }

// Round is a round of processes whose configuration is of type C. It is not safe for concurrent use.
type Round[C any] struct {
	Dir      string // temporary; removed by Close
	Relay    *faultrelay.Relay
	Rand     *rand.Rand
	Nodes    []*Node[C]
	Faults   []string // injected faults, in order
	Failures []string // nodes that exited without being killed, with their exit status

	options   Options
	network   byte // of this process's loopback addresses
	startedAt time.Time
}

// New returns a round without nodes. The caller has to add the nodes in order with Add, and to call Close at the end.
func New[C any](options Options) (*Round[C], error) {
	r := &Round[C]{
		Rand:      rand.New(rand.NewPCG(options.Seed, options.RandomStream)),
		options:   options,
		startedAt: time.Now(),
	}
	if err := r.setUp(); err != nil {
		r.Close()
		return nil, fmt.Errorf("set up round: %w", err)
	}
	return r, nil
}

func (r *Round[C]) setUp() error {
	var err error
	if r.network, err = loopback.Network(); err != nil {
		return err
	}
	if r.Dir, err = os.MkdirTemp("", r.options.Name+"-"); err != nil {
		return err
	}
	if r.Relay, err = faultrelay.Start(r.options.Nodes, r.options.Seed); err != nil {
		return err
	}
	for i := range r.options.Nodes {
		if err := r.Relay.SetDestination(i, r.Addr(i)); err != nil {
			return err
		}
	}
	return nil
}

// Addr returns the address of the nth socket of the round. The datagram sockets of the nodes have the first numbers, in the order of the nodes.
func (r *Round[C]) Addr(n int) string { return networkAddr(r.network, r.options.Seed, n) }

// AddrsFrom returns the addresses at which a node reaches the first count nodes: its own address, and the relay's addresses for the others.
func (r *Round[C]) AddrsFrom(node, count int) []string {
	addrs := make([]string, 0, count)
	for to := range count {
		if to == node {
			addrs = append(addrs, r.Addr(node))
		} else {
			addrs = append(addrs, r.Relay.Addr(node, to))
		}
	}
	return addrs
}

// Add adds a node without starting it.
func (r *Round[C]) Add(name string, config C) *Node[C] {
	n := &Node[C]{Name: name, Config: config}
	r.Nodes = append(r.Nodes, n)
	return n
}

// Start starts nodes.
func (r *Round[C]) Start(nodes ...*Node[C]) error {
	for _, n := range nodes {
		if err := n.Start(r.options.Argv, n.Config); err != nil {
			return fmt.Errorf("%s: %w", n.Name, err)
		}
		n.outputs = append(n.outputs, n.Stdout)
	}
	return nil
}

// Kill kills nodes. It records nodes that had exited before in Failures, unless they may exit.
func (r *Round[C]) Kill(nodes ...*Node[C]) {
	for _, n := range nodes {
		if exit := n.Kill(); exit != "" && !n.MayExit {
			r.Failures = append(r.Failures, n.Name+": "+exit)
		}
	}
}

// Restart kills nodes, waits as Wait does, and starts them again.
func (r *Round[C]) Restart(ctx context.Context, minMillis, extraMillis float64, nodes ...*Node[C]) error {
	r.Kill(nodes...)
	r.Wait(ctx, minMillis, extraMillis)
	return r.Start(nodes...)
}

// Pause stops a node with SIGSTOP, waits as Wait does, and continues it.
func (r *Round[C]) Pause(ctx context.Context, minMillis, extraMillis float64, n *Node[C]) {
	n.signal(syscall.SIGSTOP)
	r.Wait(ctx, minMillis, extraMillis)
	n.signal(syscall.SIGCONT)
}

// CutLinks cuts the links from each node in from to each node in to.
func (r *Round[C]) CutLinks(from, to []int) {
	r.Relay.UpdateLinks(func(l *faultrelay.Links) { l.Set(from, to, func(link *faultrelay.Link) { link.Cut = true }) })
}

// DisturbLinks sets the faults of each link between nodes to the result of a call of draw.
func (r *Round[C]) DisturbLinks(nodes []int, draw func() faultrelay.Link) {
	r.Relay.UpdateLinks(func(l *faultrelay.Links) { l.Set(nodes, nodes, func(link *faultrelay.Link) { *link = draw() }) })
}

// HealLinks removes all link faults.
func (r *Round[C]) HealLinks() {
	r.Relay.UpdateLinks(func(l *faultrelay.Links) { l.Heal() })
}

// RandomSubset returns a random non-empty proper subset of at least two numbers, in random order.
func (r *Round[C]) RandomSubset(numbers []int) []int { return randomSubset(numbers, r.Rand.IntN) }

// Wait waits for minMillis and a random share of extraMillis more, or until the context is done.
func (r *Round[C]) Wait(ctx context.Context, minMillis, extraMillis float64) {
	millis := minMillis + extraMillis*r.Rand.Float64()
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(millis * float64(time.Millisecond))):
	}
}

// LogFault records a fault with the time since the start of the round.
func (r *Round[C]) LogFault(format string, args ...any) {
	millis := float64(time.Since(r.startedAt)) / float64(time.Millisecond)
	r.Faults = append(r.Faults, fmt.Sprintf("%.0f ms: ", millis)+fmt.Sprintf(format, args...))
}

// Close kills all nodes, closes the relay and removes the temporary directory. It may be called more than once.
func (r *Round[C]) Close() {
	r.Kill(r.Nodes...)
	if r.Relay != nil {
		r.Relay.Close()
		r.Relay = nil
	}
	_ = os.RemoveAll(r.Dir) // leftovers in the temporary directory are harmless
}

// Complement returns the numbers in all that are not in subset.
func Complement(all, subset []int) []int {
	return slices.DeleteFunc(slices.Clone(all), func(i int) bool { return slices.Contains(subset, i) })
}

// randomSubset returns a random non-empty proper subset of at least two numbers, in random order. The function draw returns a random number below n.
func randomSubset(numbers []int, draw func(n int) int) []int {
	numbers = slices.Clone(numbers)
	for i := len(numbers) - 1; i > 0; i-- {
		k := draw(i + 1)
		numbers[i], numbers[k] = numbers[k], numbers[i]
	}
	return numbers[:1+draw(len(numbers)-1)]
}
