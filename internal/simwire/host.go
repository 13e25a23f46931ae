// Package simwire hosts instances of the decision module for the operators' simulator. It translates the messages of the simulator's text
// protocol into calls on the module, and the module's decisions into actions. It keeps timers and requests in flight, but decides nothing.
//
// A batch of messages begins with ROUND and ends with OVER_TO_YOU. The response to a batch consists of actions and ends with END. Times on
// the wire are in microseconds, times of the module in milliseconds.
package simwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"

	"mintspring/decide"
	"mintspring/internal/fleet"
)

const (
	inputBufferBytes  = 1 << 18
	outputBufferBytes = 1 << 16
	// maxEndpointLists is the number of slots for endpoint lists.
	maxEndpointLists = 16
	// maxTimerMicros is the longest time that a timer is set to.
	maxTimerMicros = 4e9
	// microsPerMs converts between the wire's times and the module's.
	microsPerMs = 1000
)

// errInputEnded is the error for an input that ends within a batch.
var errInputEnded = errors.New("input ends within a batch")

// Host runs the instances of one process. It is not safe for concurrent use.
type Host struct {
	in       *bufio.Reader
	longLine []byte // buffer for a line longer than the input's buffer
	lineNo   int
	message  message // last one read
	out      actionWriter

	nowMs          float64
	instances      map[int64]*instance
	touched        []*instance // instances with messages in this batch
	endpointLists  [maxEndpointLists][]listEntry
	endpointBuffer []fleet.Endpoint
}

// instance is a hosted instance of the decision module.
type instance struct {
	id          int64
	module      *decide.Node
	slab        fleet.Slab
	requests    map[fleet.RequestID]fleet.Ref
	serverIDs   map[string]fleet.ServerID // by name
	serverNames []string                  // by ID
	classCount  int                       // number of request classes in the settings

	timerDueMs    float64 // when the pending timer is due; +Inf: none
	timerSequence int64   // number of the last timer set
	isTouched     bool    // it is in Host.touched
	exited        bool
}

// listEntry is an endpoint with its server's name, which each instance maps to an ID of its own.
type listEntry struct {
	name string
	fleet.Endpoint
}

// NewHost returns a host that reads batches from in and writes actions to out.
func NewHost(in io.Reader, out io.Writer) *Host {
	return &Host{
		in: bufio.NewReaderSize(in, inputBufferBytes), out: newActionWriter(out), instances: map[int64]*instance{},
	}
}

// Run processes batches until the input ends or has an error. An error in a line names the line's number.
func (h *Host) Run() error {
	for {
		line, err := h.readLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if len(line) == 0 {
			continue
		}
		if err := h.handleBatch(line); err != nil {
			return fmt.Errorf("line %d: %w", h.lineNo, err)
		}
		if err := h.out.flush(); err != nil {
			return fmt.Errorf("reply: %w", err)
		}
	}
}

// readLine returns the next line without its line ending; the slice is valid until the next call. A last line without a line ending is an
// error.
func (h *Host) readLine() ([]byte, error) {
	h.longLine = h.longLine[:0]
	for {
		line, err := h.in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			h.longLine = append(h.longLine, line...)
			continue
		}
		if errors.Is(err, io.EOF) && len(line)+len(h.longLine) == 0 {
			return nil, io.EOF
		}
		h.lineNo++
		if errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("line %d: input ends within a line", h.lineNo)
		}
		if err != nil {
			return nil, fmt.Errorf("input: %w", err)
		}
		if len(h.longLine) > 0 {
			h.longLine = append(h.longLine, line...)
			line = h.longLine
		}
		return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
	}
}

// readMessage reads a message within a batch. The end of the input is an error there.
func (h *Host) readMessage() error {
	line, err := h.readLine()
	if errors.Is(err, io.EOF) {
		return errInputEnded
	}
	if err != nil {
		return err
	}
	h.message.parse(line)
	return h.message.err
}

// handleBatch processes the batch that begins with the given line and writes the resulting actions.
func (h *Host) handleBatch(first []byte) error {
	m := &h.message
	if m.parse(first); m.err != nil {
		return m.err
	}
	if string(m.name) != "ROUND" {
		return fmt.Errorf("message %q where a batch should begin", m.name)
	}
	h.nowMs = float64(m.requiredInteger("Moment")) / microsPerMs
	for m.err == nil {
		if err := h.readMessage(); err != nil {
			return err
		}
		if string(m.name) == "OVER_TO_YOU" {
			break
		}
		if err := h.handleEvent(); err != nil {
			return err
		}
	}
	if m.err != nil {
		return m.err
	}
	for _, inst := range h.touched {
		inst.isTouched = false
		if !inst.exited {
			h.runDueWork(inst)
		}
	}
	h.touched = h.touched[:0]
	h.out.text("END\n")
	return nil
}

// touch schedules an instance's due work for the end of the batch.
func (h *Host) touch(inst *instance) {
	if inst != nil && !inst.isTouched {
		inst.isTouched = true
		h.touched = append(h.touched, inst)
	}
}

// runDueWork calls the module for all work that is due, and sets a timer for the next.
func (h *Host) runDueWork(inst *instance) {
	for {
		ref, waitMs := inst.module.NextDue(h.nowMs)
		if waitMs <= 0 {
			request := inst.slab.Get(ref)
			h.apply(inst, request, inst.module.Route(h.nowMs, request))
			continue
		}
		if dueMs := h.nowMs + waitMs; dueMs < inst.timerDueMs && !math.IsInf(dueMs, 1) {
			inst.timerDueMs = dueMs
			inst.timerSequence++
			h.out.timer(inst, int64(min(math.Ceil(waitMs*microsPerMs), maxTimerMicros)))
		}
		return
	}
}

// apply writes a decision; request is nil for decisions about the instance itself.
func (h *Host) apply(inst *instance, request *fleet.Request, decision fleet.Decision) {
	h.out.decision(inst, request, decision)
	if request != nil {
		inst.releaseIfDone(request)
	}
}

// request returns the request in flight with an ID, or nil.
func (inst *instance) request(id fleet.RequestID) *fleet.Request {
	return inst.slab.Get(inst.requests[id])
}

// releaseIfDone frees a request that is closed and has no attempt in flight.
func (inst *instance) releaseIfDone(request *fleet.Request) {
	if !request.Closed || request.InFlight != 0 || inst.slab.Get(request.Ref) != request {
		return
	}
	if inst.requests[request.ID] == request.Ref {
		delete(inst.requests, request.ID)
	}
	inst.slab.Free(request)
}

// serverID returns the ID for a server name. It assigns a new ID to a name that the instance has not seen yet.
func (inst *instance) serverID(name string) fleet.ServerID {
	id, known := inst.serverIDs[name]
	if !known {
		id = fleet.ServerID(len(inst.serverNames))
		inst.serverIDs[name] = id
		inst.serverNames = append(inst.serverNames, name)
	}
	return id
}
