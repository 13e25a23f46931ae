// Package faultrounds runs rounds in which several real processes run while faults are injected: processes are killed, paused and restarted, and the
// datagrams between them pass a relay that cuts, delays, duplicates and corrupts.
//
// A [Round] has what all kinds of rounds share. Each process is the running program again, with its configuration as JSON in its last argument.
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
	Name         string   // of the kind of round, for the temporary directory
	Argv         []string // that nodes are started with, before their configuration
	Nodes        int
	Seed         uint64
	RandomStream uint64 // tells the random numbers of different uses of one seed apart
}

// Node is a process of a round with its configuration, of type C. The configuration may be changed between starts.
type Node[C any] struct {
	Process
	Name    string
	Config  C
	MayExit bool // it is no failure if the process exits by itself

	outputs []*bytes.Buffer
}

// Outputs returns what the process has written to its standard output, in each of its runs. It may be read once the process has ended.
func (n *Node[C]) Outputs() []*bytes.Buffer { return n.outputs }

// Round is a round of processes whose configuration is of type C. It is not safe for concurrent use.
type Round[C any] struct {
	Dir      string // temporary; removed by Close
	Relay    *faultrelay.Relay
	Rand     *rand.Rand
	Nodes    []*Node[C]
	Faults   []string // injected, in order
	Failures []string // nodes that exited by themselves

	options   Options
	network   byte // of loopback addresses, of the process
	startedAt time.Time
}

// New returns a round without nodes. The caller has to add them in order with Add, and to call Close in the end.
func New[C any](options Options) (*Round[C], error) {
	r := &Round[C]{
		Rand:      rand.New(rand.NewPCG(options.Seed, options.RandomStream)),
		options:   options,
		startedAt: time.Now(),
	}
	if err := r.open(); err != nil {
		r.Close()
		return nil, fmt.Errorf("set up round: %w", err)
	}
	return r, nil
}

func (r *Round[C]) open() error {
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

// Addr returns the address of the nth socket of the round: the nodes' own datagram sockets come first.
func (r *Round[C]) Addr(n int) string { return addrInNet(r.network, r.options.Seed, n) }

// AddrsFrom returns the addresses at which a node reaches the first so many nodes: the others through the relay, and itself directly.
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

// Add adds the next node, which is not started yet.
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

// Kill kills nodes. One that had exited by itself is recorded in Failures.
func (r *Round[C]) Kill(nodes ...*Node[C]) {
	for _, n := range nodes {
		if exit := n.Kill(); exit != "" && !n.MayExit {
			r.Failures = append(r.Failures, n.Name+": "+exit)
		}
	}
}

// Restart kills nodes, and starts them again after a random time.
func (r *Round[C]) Restart(ctx context.Context, minMillis, extraMillis float64, nodes ...*Node[C]) error {
	r.Kill(nodes...)
	r.Wait(ctx, minMillis, extraMillis)
	return r.Start(nodes...)
}

// Pause stops a node by a signal for a random time.
func (r *Round[C]) Pause(ctx context.Context, minMillis, extraMillis float64, n *Node[C]) {
	n.signal(syscall.SIGSTOP)
	r.Wait(ctx, minMillis, extraMillis)
	n.signal(syscall.SIGCONT)
}

// CutLinks cuts the links from each of some nodes to each of others.
func (r *Round[C]) CutLinks(from, to []int) {
	r.Relay.UpdateLinks(func(l *faultrelay.Links) { l.Set(from, to, func(link *faultrelay.Link) { link.Cut = true }) })
}

// DisturbLinks sets faults of each link between some nodes, as drawn for it.
func (r *Round[C]) DisturbLinks(nodes []int, draw func() faultrelay.Link) {
	r.Relay.UpdateLinks(func(l *faultrelay.Links) { l.Set(nodes, nodes, func(link *faultrelay.Link) { *link = draw() }) })
}

// HealLinks ends all faults of links.
func (r *Round[C]) HealLinks() {
	r.Relay.UpdateLinks(func(l *faultrelay.Links) { l.Heal() })
}

// RandomSubset returns some of several numbers, in random order, and never all of them. There have to be two at least.
func (r *Round[C]) RandomSubset(of []int) []int { return randomSubset(of, r.Rand.IntN) }

// Wait waits for minMillis and a random share of extraMillis more, or until the context is done.
func (r *Round[C]) Wait(ctx context.Context, minMillis, extraMillis float64) {
	millis := minMillis + extraMillis*r.Rand.Float64()
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(millis * float64(time.Millisecond))):
	}
}

// LogFault records a fault with the time since the round has begun.
func (r *Round[C]) LogFault(format string, args ...any) {
	millis := float64(time.Since(r.startedAt)) / float64(time.Millisecond)
	r.Faults = append(r.Faults, fmt.Sprintf("%.0f ms: ", millis)+fmt.Sprintf(format, args...))
}

// Close kills all nodes, closes the relay and removes the temporary directory. It may be called again.
func (r *Round[C]) Close() {
	r.Kill(r.Nodes...)
	if r.Relay != nil {
		r.Relay.Close()
		r.Relay = nil
	}
	_ = os.RemoveAll(r.Dir) // what is left there is temporary
}

// Others returns the numbers of all that are not among some.
func Others(all, some []int) []int {
	return slices.DeleteFunc(slices.Clone(all), func(i int) bool { return slices.Contains(some, i) })
}

// randomSubset returns some of several numbers, in random order, and never all of them. There have to be two at least. The function draw returns a
// random number below n.
func randomSubset(of []int, draw func(n int) int) []int {
	of = slices.Clone(of)
	for i := len(of) - 1; i > 0; i-- {
		k := draw(i + 1)
		of[i], of[k] = of[k], of[i]
	}
	return of[:1+draw(len(of)-1)]
}
