// Package hotrestart is the channel between two processes of a node during a hot restart: the running process (the predecessor) and the
// one that replaces it (the successor). The channel carries the state that the successor starts from, operators' commands that either
// process has executed, the number of descriptors that each process holds, and client connections as file descriptors.
//
// The package makes no decisions: the node at either end implements Handler. A message is 4 bytes of body length (big-endian), one byte
// for the message kind, and the body.
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

// ProtocolVersion is the version of the messages. If the versions of the two processes differ, there is no handover: each process serves
// on its own.
const ProtocolVersion = 1

// Limits of the channel.
const (
	maxMessageBytes = 4 << 20         // a state with thousands of servers and ids is far smaller
	ioTimeout       = time.Second     // time limit to connect, to send a message, and to retry a failed read
	replyTimeout    = ioTimeout / 2   // how long to wait for the acknowledgement of a message
	joinTimeout     = 2 * time.Second // for the exchange of hello and state; a successor must be ready within 6 s

	// busyRetryTimeout is how long a successor retries while the predecessor is busy with a third process. That process ends within the
	// longest deadline (at most 3 s) plus 0.7 s, and the successor must be ready within 6 s.
	busyRetryTimeout = 4 * time.Second

	// StateTimeout is how long a Handler may take to return the state. It is below joinTimeout, so that the successor is still waiting.
	StateTimeout = joinTimeout * 3 / 4
)

// messageKind identifies the kind of a message on the channel. Each kind below names the sender.
type messageKind byte

const (
	kindHello       messageKind = 'H' // successor: its protocol version
	kindState       messageKind = 'S' // predecessor: the State that the successor starts from
	kindBusy        messageKind = 'B' // predecessor, instead of the state: busy, the successor retries
	kindReady       messageKind = 'Y' // successor: it is serving
	kindReadyAck    messageKind = 'A' // predecessor: it has processed kindReady
	kindCommand     messageKind = 'C' // either: an operator's command that the sender has executed
	kindCommandDone messageKind = 'D' // either: acknowledges kindCommand after executing the command
	kindDescriptors messageKind = 'L' // either: number of descriptors that the sender holds
	kindClient      messageKind = 'F' // predecessor: a client connection, passed as a descriptor with the message
)

// errMalformed is wrapped by the errors about messages that cannot be parsed or are unexpected.
var errMalformed = errors.New("malformed message")

// ErrBusy refuses a successor that should retry later: the predecessor is in the middle of another handover.
var ErrBusy = errors.New("predecessor is busy with another process of the node")

// errRefused is returned to a successor whose channel was closed before it received the state.
var errRefused = errors.New("predecessor closed the channel without sending its state")

// State is the state of the predecessor that a successor starts from.
type State struct {
	Version       int              `json:"Version"`
	DiscoveryAddr string           `json:"Discovery"` // address of the discovery service that sent Endpoints
	Endpoints     discovery.Update `json:"List"`      // the complete endpoint list
	Exclusions    exclusion.State  `json:"Roll"`      // including the hashes of ids that were listed
	Snapshot      []byte           `json:"Learnt"`    // learned state, encoded by package snapshot
	CacheLoad     float64          `json:"ColdRate"`  // work per ms sent to all caches; the limit for servers in slow start follows from it
	StandbySince  float64          `json:"Standby"`   // Unix ms; 0: the node is not on standby
	Descriptors   int              `json:"Held"`      // number that the predecessor holds

	// Clock is the reading of the predecessor's clock, which all times in the state refer to; 0: sent by a build without this field. The
	// successor continues that clock, because the wall clock may have been stepped since the predecessor started.
	Clock        float64             `json:"Clock,omitempty"`
	Monotonic    float64             `json:"Mono,omitempty"`   // clock.Monotonic when Clock was read; 0: unknown
	ServerStarts []serverstart.Start `json:"Starts,omitempty"` // start times of servers on that clock
}

// ClockNow returns the current reading of the predecessor's clock: Clock plus the time since it was read. Without a valid Monotonic it
// returns Clock as it was sent, and 0 if the predecessor did not send its clock.
func (s *State) ClockNow() float64 {
	now := clock.Monotonic()
	if s.Clock == 0 || s.Monotonic == 0 || now < s.Monotonic {
		return s.Clock
	}
	return s.Clock + now - s.Monotonic
}

// Command is an operator's command that one process has executed and forwards to the other.
type Command struct {
	Name     string `json:"Word"` // name of the call on the admin port
	ServerID string `json:"ID"`   // empty for commands without a server
	Number   uint32 `json:"No"`   // matches the command with its acknowledgement
}

// Handler is the node at one end of a channel. Its methods are called from the channel's goroutine and must not block for long, except
// that SuccessorJoined may take up to StateTimeout.
type Handler interface {
	// SuccessorJoined is called in the predecessor and returns the state that the successor starts from. Commands that are executed
	// afterwards must be forwarded on the channel. If it returns an error, the successor gets no state and the channel is closed; after
	// ErrBusy the successor retries.
	SuccessorJoined(c *Channel) (State, error)
	// SuccessorReady is called in the predecessor once the successor is serving.
	SuccessorReady()
	// ApplyCommand executes a command that the other process has forwarded, and returns when the command is in effect.
	ApplyCommand(c Command)
	// PeerDescriptorsReported is called with the number of descriptors that the other process holds.
	PeerDescriptorsReported(n int)
	// AdoptClient is called in the successor, which serves the connection from then on. hasSent reports whether the client has sent
	// requests on it.
	AdoptClient(conn net.Conn, hasSent bool)
	// PeerLost is called when the channel has failed: the other process has ended, or it sent a malformed message.
	PeerLost(err error)
}
