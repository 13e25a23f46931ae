// Package hotrestart is the channel between the process of a node and the one that is to take its place. It carries the
// state that the successor starts from, operators' commands that either process has carried out, how many descriptors each
// holds, and clients' connections as descriptors from which nothing was read.
//
// The package decides nothing: the node at either end is a Handler. A message is 4 bytes of body length (big-endian),
// a byte for its kind, and the body.
package hotrestart

import (
	"errors"
	"net"
	"time"

	"mintspring/internal/clock"
	"mintspring/internal/node/discovery"
	"mintspring/internal/node/exclusion"
	"mintspring/internal/node/serverstart"
)

// ProtocolVersion is the version of the messages. Processes of other versions go on by themselves, each within its limits.
const ProtocolVersion = 1

// Limits of the channel.
const (
	maxMessageBytes = 4 << 20     // a state with thousands of servers and ids is far smaller
	ioTimeout       = time.Second // for the other process to take a message
	replyTimeout    = ioTimeout / 2
	joinTimeout     = 2 * time.Second // for the exchange of hello and state; a successor has 6 s to be ready

	// busyPatience is for how long a process that is busy with another one is asked again: that one ends within the longest deadline (3 s
	// at most) and 0.7 s, and a successor has 6 s to be ready.
	busyPatience = 4 * time.Second

	// StateTimeout is how long a Handler may take for the state: the successor still waits then.
	StateTimeout = joinTimeout * 3 / 4
)

// messageKind is the byte that names the kind of a message.
type messageKind byte

const (
	kindHello       messageKind = 'H' // successor: its protocol version
	kindState       messageKind = 'S' // predecessor: what the successor starts from
	kindBusy        messageKind = 'B' // predecessor, in place of the state: ask again in a moment
	kindReady       messageKind = 'Y' // successor: it serves
	kindReadyAck    messageKind = 'A' // predecessor: it has processed kindReady
	kindCommand     messageKind = 'C' // either: an operator's command was carried out here
	kindCommandDone messageKind = 'D' // either: so it was there
	kindDescriptors messageKind = 'L' // either: how many descriptors it holds
	kindClient      messageKind = 'F' // predecessor: a client's connection, as a descriptor beside the message
)

// errMalformed is wrapped by the errors about messages that cannot be understood.
var errMalformed = errors.New("malformed message")

// ErrBusy refuses a successor for the moment: the process is itself in the middle of a handover.
var ErrBusy = errors.New("it is busy with another process of the node")

// errRefused is the error of a successor that got no state.
var errRefused = errors.New("it has closed the channel without its state")

// State is what a successor starts from.
type State struct {
	Version       int              `json:"Version"`
	DiscoveryAddr string           `json:"Discovery"` // of the discovery service that Endpoints is from
	Endpoints     discovery.Update `json:"List"`      // the complete endpoint list
	Exclusions    exclusion.State  `json:"Roll"`      // with the ids once listed
	Snapshot      []byte           `json:"Learnt"`    // in the form of package snapshot
	CacheLoad     float64          `json:"ColdRate"`  // work sent to all cache servers, per ms; the limit for warming servers follows from it
	StandbySince  float64          `json:"Standby"`   // Unix ms; 0: the node is not on standby
	Descriptors   int              `json:"Held"`      // how many the predecessor holds

	// Clock is the time of the predecessor's clock, by which all times in the state are; 0: a build that does not send it. The successor
	// continues that clock, for the wall clock may have been stepped since the predecessor started.
	Clock        float64             `json:"Clock,omitempty"`
	Monotonic    float64             `json:"Mono,omitempty"`   // of the machine at that time (clock.Monotonic); 0: unknown
	ServerStarts []serverstart.Start `json:"Starts,omitempty"` // of servers, by that clock
}

// ClockNow returns what the predecessor's clock says now: the state has been on its way for a while. 0: it did not send its clock.
func (s *State) ClockNow() float64 {
	now := clock.Monotonic()
	if s.Clock == 0 || s.Monotonic == 0 || now < s.Monotonic {
		return s.Clock
	}
	return s.Clock + now - s.Monotonic
}

// Command is an operator's command that changed something.
type Command struct {
	Name     string `json:"Word"` // as on the admin port
	ServerID string `json:"ID"`   // empty for commands without one
	Number   uint32 `json:"No"`   // matches the command with its acknowledgement
}

// Handler is the node at one end of a channel. Its methods are called from the channel's goroutine and must not block for
// long; SuccessorJoined may take StateTimeout.
type Handler interface {
	// SuccessorJoined is called in the predecessor; the successor starts from what it returns. Commands that are carried
	// out from then on have to be forwarded on the channel. With an error the successor is refused: it gets no state, and its
	// end of the channel is closed. After ErrBusy it asks again.
	SuccessorJoined(c *Channel) (State, error)
	// SuccessorReady is called in the predecessor: the successor serves now.
	SuccessorReady()
	// ApplyCommand carries out a command of the other process, and returns when it is in force.
	ApplyCommand(c Command)
	// PeerDescriptorsReported takes how many descriptors the other process holds.
	PeerDescriptorsReported(n int)
	// AdoptClient is called in the successor, which serves the connection from now on. hasSent says whether the client
	// has sent requests on it.
	AdoptClient(conn net.Conn, hasSent bool)
	// PeerLost says that the other process has ended, or that its messages cannot be understood.
	PeerLost(err error)
}
