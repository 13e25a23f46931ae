package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mintspring/internal/config/tomlfile"
	"mintspring/internal/testbed/fakes"
)

// Step is an action at a time, which counts from the end of the settling time.
type Step struct {
	Time   tomlfile.Duration `toml:"time"`
	Action string            `toml:"do"`
	Server string            `toml:"box"`   // one server
	Zone   string            `toml:"zone"`  // or all caches of a zone
	Share  float64           `toml:"share"` // or a share of all caches
	Node   *int              `toml:"node"`
	Value  float64           `toml:"value"`
	Delay  tomlfile.Duration `toml:"late"` // late_surplus, crossing_surplus: of the duplicate response; slow_answers, slow_uploads: of each pause; paused_answers: of the longest pause; injure_peers: of each datagram; hold_node, crowd_node: duration

	Nodes          []int             `toml:"nodes"`   // senders of the links that a step acts on; left out: all nodes
	Peers          []int             `toml:"others"`  // receivers of these links; left out: all nodes
	OneWay         bool              `toml:"one_way"` // the links in the reverse direction are not affected
	LossRate       float64           `toml:"lose"`    // injure_peers: share of datagrams that are lost
	Jitter         tomlfile.Duration `toml:"spread"`  // greatest additional delay of each datagram
	Duplicates     int               `toml:"again"`   // number of duplicates of each datagram
	DuplicateDelay tomlfile.Duration `toml:"after"`   // delay of the duplicates
	CorruptRate    float64           `toml:"spoil"`   // share of datagrams with a flipped bit
	TruncateRate   float64           `toml:"short"`   // share of datagrams that are truncated
	BytesPerSecond float64           `toml:"rate"`    // throughput of a link; 0: unlimited
	Duration       tomlfile.Duration `toml:"for"`     // the step is undone after this time; 0: never
	Interval       tomlfile.Duration `toml:"every"`   // between repeats
	Repeats        int               `toml:"times"`   // number of times that the step is carried out; 0: once
}

// String describes the step.
func (s Step) String() string {
	text := s.Action
	for _, target := range []string{s.Server, s.Zone} {
		if target != "" {
			text += " " + target
		}
	}
	if s.Share > 0 {
		text += fmt.Sprintf(" a share of %.2g", s.Share)
	}
	if s.Node != nil {
		text += fmt.Sprintf(" %d", *s.Node)
	}
	if s.Value > 0 {
		text += fmt.Sprintf(" %.4g", s.Value)
	}
	return text
}

// TimelineEvent is a step with the time at which it is carried out.
type TimelineEvent struct {
	At   time.Duration // from the end of the settling time
	Step Step
}

// Timeline returns all events in order of time: steps, their repeats, and the steps that undo them.
func (x *Experiment) Timeline() []TimelineEvent {
	var events []TimelineEvent
	for _, step := range x.Steps {
		for i := range max(1, step.Repeats) {
			at := step.Time.Duration() + time.Duration(i)*step.Interval.Duration()
			events = append(events, TimelineEvent{at, step})
			if step.Duration > 0 {
				events = append(events, TimelineEvent{at + step.Duration.Duration(), step.inverse()})
			}
		}
	}
	slices.SortStableFunc(events, func(a, b TimelineEvent) int { return cmp.Compare(a.At, b.At) })
	return events
}

// inverse returns the step that undoes this one.
func (s Step) inverse() Step {
	a := actions[s.Action]
	s.Action, s.Value = a.inverse, a.inverseValue
	return s
}

// targetStream separates the random numbers that select targets from others under the same seed.
const targetStream = 19

// targets returns the indexes of the servers that a step acts on. A step by share and its inverse select the same servers.
func (x *Experiment) targets(s Step, seed uint64) (indexes []int) {
	specs := x.ServerSpecs()
	caches := specs[:len(specs)-1] // the origin is the last one
	switch {
	case s.Server != "":
		return []int{slices.IndexFunc(specs, func(spec fakes.ServerSpec) bool { return spec.Name == s.Server })}
	case s.Zone != "":
		for i, spec := range caches {
			if spec.Zone == s.Zone {
				indexes = append(indexes, i)
			}
		}
		return indexes
	}
	count := int(math.Ceil(s.Share * float64(len(caches))))
	return rand.New(rand.NewPCG(seed, targetStream)).Perm(len(caches))[:count]
}
