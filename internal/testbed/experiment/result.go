package experiment

import (
	"cmp"
	"slices"
	"sort"

	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/invariants"
	"mintspring/internal/testbed/servermodel"
)

// MaxLatenessMs is the greatest lateness of the bench itself, at p99 in ms, in a valid run. On a machine that is too busy, nodes seem to
// perform worse than they do.
const MaxLatenessMs = 20

// latenessWindowMs is the time before and after a late response in which lateness of the bench itself excuses the response, in ms.
const latenessWindowMs = 200

// Run is the record of one run of an experiment. Times are Unix ms.
type Run struct {
	Experiment   *Experiment
	Program      string
	Seed         uint64
	FromMs, ToMs float64 // start and end of the measurement

	Requests            []Request         // in the order of their due times
	Executions          []ExecutionRecord // in the order of their first bytes
	ConnectionEvents    []fakes.ConnectionEvent
	Notifications       []fakes.Notification
	Samples             []Sample
	Events              []Event
	Collapses           []invariants.Collapse // one for each server that collapsed
	OriginCollapses     int                   // how often the origin collapsed
	Violations          []invariants.Violation
	Crossings           []string // attempts without a response that crossed the end of their connection
	WrongKeyResponses   []invariants.WrongKeyResponse
	DuplicateDetections []fakes.DuplicateDetection
	DiscoveryCalls      int
	DiscoveryBytes      int       // of lists that discovery has written to nodes
	NodeCPUSeconds      []float64 // processor time of all processes of a node, by node; nil if unknown
	MovedKeyShare       float64   // share of keys whose owner at the end differs from that at the beginning, or UnknownMovedKeyShare
	LatenessMs          float64   // of the bench itself, at p99

	originIndex int
}

// UnknownMovedKeyShare is the MovedKeyShare of a run that cannot observe the owners of keys.
const UnknownMovedKeyShare = -1

// Sample is the state of servers and nodes at one time.
type Sample struct {
	AtMs            float64
	Servers         []fakes.ServerSnapshot
	NodeMemoryMB    []float64 // resident memory by node; nil if not sampled
	NodeDescriptors []int     // open descriptors by node
}

// Event is a step that the timeline carried out.
type Event struct {
	AtMs        float64
	Description string
}

// NewRun returns an empty record of a run that is measured between two times.
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

// RecordCollapses records how often a server collapsed under overload. It returns the collapse for the caller to check against the rules, or
// nil if the server did not collapse.
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

// LatenessP99 returns the p99 of the lateness with which the bench sent requests, in ms.
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

// WorstLateness returns the greatest lateness of the bench itself around a late response, in ms. A short pause of the machine delays the
// bench and the nodes alike, but does not show in the p99 of a run.
func WorstLateness(requests []Request, fromMs, toMs float64) (worst float64) {
	first := sort.Search(len(requests), func(i int) bool { return requests[i].DueMs >= fromMs-latenessWindowMs })
	for i := first; i < len(requests) && requests[i].DueMs <= toMs+latenessWindowMs; i++ {
		worst = max(worst, requests[i].LatenessMs)
	}
	return worst
}

// ExecutionRecord holds the fields of an execution that figures need. It is small because runs have many millions of executions.
type ExecutionRecord struct {
	FirstByteMs    float64 // when its first byte arrived at the server
	Server         int32
	Node           int32
	Class          int16
	Outcome        servermodel.Outcome
	Write          bool
	RepeatedEffect bool // it had an effect, and so did an earlier execution with its idempotency key
}

// ExecutionRecorder records executions in the order of their arrival.
type ExecutionRecorder struct {
	Executions []ExecutionRecord

	classIndexes map[string]int16
	appliedKeys  map[string]bool // idempotency keys (request IDs if there is no key) of executions that had an effect
}

// NewExecutionRecorder returns an empty recorder.
func NewExecutionRecorder(x *Experiment) *ExecutionRecorder {
	r := &ExecutionRecorder{classIndexes: map[string]int16{}, appliedKeys: map[string]bool{}}
	for i := range x.Classes {
		r.classIndexes[x.Classes[i].Name] = int16(i)
	}
	return r
}

// Add records an execution that has arrived and ended.
func (r *ExecutionRecorder) Add(e *servermodel.Execution) { r.Ended(r.Arrived(e), e) }

// Arrived records the arrival of an execution and returns its index.
func (r *ExecutionRecorder) Arrived(e *servermodel.Execution) (index int) {
	r.Executions = append(r.Executions, ExecutionRecord{
		FirstByteMs: e.FirstByte, Server: int32(e.Server), Node: int32(e.Node),
		Class: r.classIndexes[e.Class], Outcome: e.Outcome, Write: e.Write,
	})
	return len(r.Executions) - 1
}

// Ended records how the execution at an index ended. Repeated effects under an idempotency key are also counted across the retries of a
// client, although no node is at fault if the client retries after the deduplication window.
func (r *ExecutionRecorder) Ended(index int, e *servermodel.Execution) {
	record := &r.Executions[index]
	record.Outcome = e.Outcome
	if !e.Applied {
		return
	}
	key := cmp.Or(e.IdempotencyKey, e.RequestID)
	record.RepeatedEffect = r.appliedKeys[key]
	r.appliedKeys[key] = true
}
