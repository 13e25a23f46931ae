package fakes

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Faults are the faults injected into a server's responses and connections. Each is a share of executions from 0 to 1.
type Faults struct {
	Errors        float64 // an immediate error response
	Reset         float64 // the connection is reset when the command has arrived
	Truncated     float64 // half a response, and nothing more
	Corrupt       float64 // a response that does not follow the protocol
	Duplicate     float64 // the response twice without a delay
	LateDuplicate float64 // the response twice, the second after a delay
	// CrossingDuplicate is the response twice, the second when the next command has arrived on the connection, or after the delay.
	CrossingDuplicate float64
	Dropped           float64 // no response, although the command was executed

	Stalled   float64 // the response up to a random place in it, and nothing more
	Slow      float64 // the response in pieces, with pauses of PauseMs
	Paused    float64 // the response up to its value or a part of its head, the rest after at most PauseMs; all attempts of a request pause for as long
	SlowReads float64 // a share of reads, not of executions: within a large command the server pauses for PauseMs first

	PauseMs          float64 // of Slow, Paused and SlowReads
	DuplicateDelayMs float64 // of LateDuplicate, and at most of CrossingDuplicate; 0: defaultDuplicateDelayMs
}

// defaultDuplicateDelayMs is the delay of late duplicates for which none is set.
const defaultDuplicateDelayMs = 3

// ResponseFault is the fault injected into one response.
type ResponseFault uint8

// The response faults. Errors and resets are drawn before there is a response.
const (
	NoFault ResponseFault = iota
	DroppedResponse
	TruncatedResponse
	CorruptResponse
	DuplicateResponse
	LateDuplicateResponse
	CrossingDuplicateResponse
	StalledResponse
	SlowResponse
)

// DrawResponseFault draws the fault of the next response. Only faults with a share above 0 take a number from rng, so that a run
// without faults draws none.
func (f *Faults) DrawResponseFault(rng *rand.Rand) ResponseFault {
	for _, candidate := range [...]struct {
		share float64
		fault ResponseFault
	}{
		{f.Dropped, DroppedResponse},
		{f.Truncated, TruncatedResponse},
		{f.Corrupt, CorruptResponse},
		{f.Duplicate, DuplicateResponse},
		{f.LateDuplicate, LateDuplicateResponse},
		{f.CrossingDuplicate, CrossingDuplicateResponse},
		{f.Stalled, StalledResponse},
		{f.Slow, SlowResponse},
	} {
		if candidate.share > 0 && rng.Float64() < candidate.share {
			return candidate.fault
		}
	}
	return NoFault
}

// DrawReset draws whether the connection of the next command is reset.
func (f *Faults) DrawReset(rng *rand.Rand) bool { return f.Reset > 0 && rng.Float64() < f.Reset }

// DuplicateDelay returns the time from a response to its late duplicate, in ms.
func (f *Faults) DuplicateDelay() float64 { return cmp.Or(f.DuplicateDelayMs, defaultDuplicateDelayMs) }

// duplicateDelay returns DuplicateDelay as a duration.
func (f *Faults) duplicateDelay() time.Duration { return msDuration(f.DuplicateDelay()) }
