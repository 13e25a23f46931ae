package experiment

import (
	"cmp"
	"slices"
	"sort"

	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/invariants"
	"mintspring/internal/testbed/servermodel"
)

// MaxLatenessMs is how late the bench itself may be, at p99 in ms, for a run to count. A machine that is too busy makes nodes look bad
// that are not.
const MaxLatenessMs = 20

// latenessWindowMs is how far around a late response the bench's own lateness speaks for it, in ms.
const latenessWindowMs = 200

// Run is one run of an experiment as it was seen. Times are Unix ms.
type Run struct {
	Experiment   *Experiment
	Program      string
	Seed         uint64
	FromMs, ToMs float64 // of the measurement

	Requests            []Request         // in the order in which they were due
	Executions          []ExecutionRecord // in the order in which they came
	ConnectionEvents    []fakes.ConnectionEvent
	Notifications       []fakes.Notification
	Samples             []Sample
	Events              []Event
	Collapses           []invariants.Collapse // one for each server that collapsed
	OriginCollapses     int
	Violations          []invariants.Violation
	WrongKeyResponses   []invariants.WrongKeyResponse
	DuplicateDetections []fakes.DuplicateDetection
	DiscoveryCalls      int
	MovedKeyShare       float64 // share of keys with another owner at the end than at the beginning; UnknownMovedKeyShare: it is not seen
	LatenessMs          float64 // of the bench itself, at p99

	originIndex int
}

// UnknownMovedKeyShare says that a run does not see the owners of keys.
const UnknownMovedKeyShare = -1

// Sample is what was seen at one moment.
type Sample struct {
	AtMs            float64
	Servers         []fakes.ServerSnapshot
	NodeMemoryMB    []float64 // resident memory by node; nil where none was taken
	NodeDescriptors []int     // open descriptors by node
}

// Event is one thing that the timeline did.
type Event struct {
	AtMs        float64
	Description string
}

// NewRun begins the record of a run that is measured from a time to another.
func NewRun(x *Experiment, program string, seed uint64, fromMs, toMs float64) *Run {
	return &Run{
		Experiment: x, Program: program, Seed: seed, FromMs: fromMs, ToMs: toMs,
		originIndex: int(x.originID()), MovedKeyShare: UnknownMovedKeyShare,
	}
}

// RecordConnection records a connection that a server accepted or refused.
func (r *Run) RecordConnection(atMs float64, server servermodel.ServerID, node servermodel.NodeID, refused bool) {
	r.ConnectionEvents = append(r.ConnectionEvents, fakes.ConnectionEvent{AtMs: atMs, Server: server, Node: node, Refused: refused})
}

// RecordCollapses records how often a server collapsed, and returns what the rules have to say to that; nil for nothing.
func (r *Run) RecordCollapses(server string, isOrigin bool, count int, blamedShare float64) *invariants.Collapse {
	if isOrigin {
		r.OriginCollapses = count
	}
	if count == 0 {
		return nil
	}
	r.Collapses = append(r.Collapses, invariants.Collapse{Server: server, Origin: isOrigin, AvoidableShare: blamedShare})
	return &r.Collapses[len(r.Collapses)-1]
}

// LatenessP99 returns how late the bench sent requests at p99, in ms.
func LatenessP99(requests []Request) float64 {
	if len(requests) == 0 {
		return 0
	}
	lateness := make([]float64, len(requests))
	for i := range requests {
		lateness[i] = requests[i].LatenessMs
	}
	slices.Sort(lateness)
	return lateness[len(lateness)*99/100]
}

// WorstLateness returns how late the bench itself was at its worst around a late response. A machine that pauses for a moment delays
// the bench and the nodes alike, which p99 of a run does not show.
func WorstLateness(requests []Request, fromMs, toMs float64) (worst float64) {
	first := sort.Search(len(requests), func(i int) bool { return requests[i].DueMs >= fromMs-latenessWindowMs })
	for i := first; i < len(requests) && requests[i].DueMs <= toMs+latenessWindowMs; i++ {
		worst = max(worst, requests[i].LatenessMs)
	}
	return worst
}

// ExecutionRecord is what figures need of one execution. Runs have many millions.
type ExecutionRecord struct {
	FirstByteMs    float64 // when its first byte came
	Server         int32
	Node           int32
	Class          int16
	Outcome        servermodel.Outcome
	Write          bool
	RepeatedEffect bool // it had an effect although an earlier one with its idempotency key did
}

// ExecutionRecorder records executions in the order in which they came.
type ExecutionRecorder struct {
	Executions []ExecutionRecord

	classIndexes map[string]int16
	appliedKeys  map[string]bool // idempotency keys, or request IDs, with an effect
}

// NewExecutionRecorder returns an empty recorder.
func NewExecutionRecorder(x *Experiment) *ExecutionRecorder {
	r := &ExecutionRecorder{classIndexes: map[string]int16{}, appliedKeys: map[string]bool{}}
	for i := range x.Classes {
		r.classIndexes[x.Classes[i].Name] = int16(i)
	}
	return r
}

// Add records an execution that has come and ended.
func (r *ExecutionRecorder) Add(e *servermodel.Execution) { r.Ended(r.Arrived(e), e) }

// Arrived records an execution that has come, and returns its place.
func (r *ExecutionRecorder) Arrived(e *servermodel.Execution) (place int) {
	r.Executions = append(r.Executions, ExecutionRecord{
		FirstByteMs: e.FirstByte, Server: int32(e.Server), Node: int32(e.Node),
		Class: r.classIndexes[e.Class], Outcome: e.Outcome, Write: e.Write,
	})
	return len(r.Executions) - 1
}

// Ended records how the execution at a place ended. Effects beyond the first under an idempotency key also count over the retries of a
// client: those that come of its return after the deduplication window are no node's fault.
func (r *ExecutionRecorder) Ended(place int, e *servermodel.Execution) {
	record := &r.Executions[place]
	record.Outcome = e.Outcome
	if !e.Applied {
		return
	}
	key := cmp.Or(e.IdempotencyKey, e.RequestID)
	record.RepeatedEffect = r.appliedKeys[key]
	r.appliedKeys[key] = true
}
