// Package rollingrestart plans the restart of servers one after another.
//
// All nodes exclude a server, its operators restart it, and the next server follows once this one has warmed up. A [Plan] is stored as the
// progress of a lease: the node that holds the lease advances the plan, and every node excludes the servers that the plan lists as excluded. The
// package does no I/O and reads no clock; times are Unix milliseconds.
package rollingrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// LeaseName is the name of the lease that has the plan as its progress.
const LeaseName = "roll"

// Restart is a server that is being restarted.
type Restart struct {
	Server        string  `json:"server"`
	PreviousStart float64 `json:"started"` // start time of the process that was excluded
	Restarted     bool    `json:"back"`    // a new process has started: the server is used again and warms up
}

// Plan is the state of a rolling restart. The zero value has no servers to restart. It is not safe for concurrent use.
type Plan struct {
	Pending        []string  `json:"servers"` // not excluded yet, in the order of their restarts
	MaxUnavailable int       `json:"most"`    // limit of servers that are excluded or warming up at once
	InProgress     []Restart `json:"turns"`
	Done           []string  `json:"done"`
	Skipped        []string  `json:"gone"` // were not in the endpoint list when they were next
	Paused         bool      `json:"paused"`
}

// ServerStatus is the state of a server according to the endpoint list.
type ServerStatus struct {
	Listed      bool    // the list has the server in service
	ListedStart float64 // start time of its process, as listed; 0: unknown, long ago
	StartedAt   float64 // start time of its process, by this node's clock
}

// NewPlan returns a plan to restart servers, of which at most maxUnavailable are excluded or warming up at once.
func NewPlan(servers []string, maxUnavailable int) (*Plan, error) {
	if len(servers) == 0 || maxUnavailable < 1 {
		return nil, errors.New("a roll wants servers, and a number from 1 of those out at once")
	}
	for i, s := range servers {
		if s == "" || slices.Contains(servers[:i], s) {
			return nil, fmt.Errorf("%q stands there twice, or is no server", s)
		}
	}
	return &Plan{Pending: servers, MaxUnavailable: maxUnavailable}, nil
}

// DecodePlan reads a plan that Encode wrote. It returns a nil plan for empty input.
func DecodePlan(b []byte) (*Plan, error) {
	if len(b) == 0 {
		return nil, nil
	}
	p := &Plan{}
	if err := json.Unmarshal(b, p); err != nil {
		return nil, fmt.Errorf("decode plan of rolling restart: %w", err)
	}
	return p, nil
}

// Encode returns the plan as stored in the progress of its lease.
func (p *Plan) Encode() []byte {
	b, err := json.Marshal(p)
	if err != nil {
		panic(err) // cannot happen: all fields can be encoded
	}
	return b
}

// Finished reports whether no server is left to restart or warm up.
func (p *Plan) Finished() bool { return len(p.Pending) == 0 && len(p.InProgress) == 0 }

// Excluded returns the servers that every node has to exclude. A nil plan excludes none.
func (p *Plan) Excluded() []string {
	if p == nil {
		return nil
	}
	excluded, _ := p.splitInProgress()
	return excluded
}

// splitInProgress returns the servers in progress that are excluded, and those that have restarted and are warming up.
func (p *Plan) splitInProgress() (excluded, warming []string) {
	for _, r := range p.InProgress {
		if r.Restarted {
			warming = append(warming, r.Server)
		} else {
			excluded = append(excluded, r.Server)
		}
	}
	return excluded, warming
}

// Advance takes the next step if one is due, and returns its description. The function status returns the state of a server; a server has warmed
// up warmupMillis after its start.
//
// A server in progress that is no longer listed counts as unavailable until it is listed again. If it never is, the plan does not finish: the
// package cannot tell a late server from one that is gone, so operators have to abort the plan.
func (p *Plan) Advance(now, warmupMillis float64, status func(server string) ServerStatus) (step string, due bool) {
	if step, due := p.advanceInProgress(now, warmupMillis, status); due {
		return step, true
	}
	if p.Paused || len(p.InProgress) >= p.MaxUnavailable || len(p.Pending) == 0 {
		return "", false
	}
	return p.startNext(status), true
}

// advanceInProgress records that a server in progress has restarted or warmed up. It takes one step at most.
func (p *Plan) advanceInProgress(now, warmupMillis float64, status func(server string) ServerStatus) (step string, due bool) {
	for i := range p.InProgress {
		r := &p.InProgress[i]
		s := status(r.Server)
		switch {
		case !s.Listed:
			continue
		case !r.Restarted && s.ListedStart > 0 && s.ListedStart != r.PreviousStart:
			r.Restarted = true
			return r.Server + " restarted and readmitted", true
		case r.Restarted && now-s.StartedAt >= warmupMillis:
			server := r.Server
			p.Done = append(p.Done, server)
			p.InProgress = slices.Delete(p.InProgress, i, i+1)
			return server + " warmed up", true
		}
	}
	return "", false
}

// startNext excludes the first pending server, or skips it if it is not listed.
func (p *Plan) startNext(status func(server string) ServerStatus) (step string) {
	server := p.Pending[0]
	p.Pending = p.Pending[1:]
	s := status(server)
	if !s.Listed {
		p.Skipped = append(p.Skipped, server)
		return server + " not listed, skipped"
	}
	p.InProgress = append(p.InProgress, Restart{Server: server, PreviousStart: s.ListedStart})
	return server + " excluded, ready to be restarted"
}

// Abort removes all servers that are pending or in progress. Excluded servers are used again.
func (p *Plan) Abort() { p.Pending, p.InProgress = nil, nil }

// String returns the plan in one line, for operators. A nil plan stands for no rolling restart.
func (p *Plan) String() string {
	if p == nil {
		return "no roll"
	}
	state := "going on"
	switch {
	case p.Finished():
		state = "over"
	case p.Paused:
		state = "paused"
	}
	excluded, warming := p.splitInProgress()
	text := state
	for _, group := range []struct {
		name    string
		servers []string
	}{
		{"out", excluded},
		{"warming", warming},
		{"done", p.Done},
		{"not listed", p.Skipped},
		{"waiting", p.Pending},
	} {
		if len(group.servers) > 0 {
			text += "; " + group.name + " " + strings.Join(group.servers, ",")
		}
	}
	return text
}
