package admin

import "errors"

// Names of the calls. These names, the words below and the error texts are the protocol of the port. Operators' programs send and parse
// them, so they must not change.
const (
	CallStatus         = "status"
	CallExclude        = "maint-on"  // takes a server id
	CallReadmit        = "maint-off" // takes a server id
	CallStandby        = "standby"
	CallActive         = "active"
	CallPeers          = "peers"
	CallIdempotency    = "book"
	CallRollingRestart = "roll" // takes an action and its arguments
)

// Actions of a rolling restart.
const (
	ActionShow   = "show"
	ActionStart  = "start" // takes the number of servers that may be unavailable at once, and the server ids separated by commas
	ActionPause  = "pause"
	ActionResume = "go-on"
	ActionStop   = "stop"
)

// MembershipPrefix begins the calls that change the members of the consensus group. One of the changes below follows, then the number of
// a member and, except for ChangeRemove, its generation.
const (
	MembershipPrefix = "council-"

	ChangeRejoin = "take-in"
	ChangeAdd    = "add"
	ChangeRemove = "drop"
)

// ReplyOK begins the reply to a call that was executed, ReplyError the reply to a call that was refused.
const (
	ReplyOK    = "OK "
	ReplyError = "ERR "
)

var (
	errBadLine      = errors.New("a call is one line of at most 512 bytes")
	errNotPrintable = errors.New("a call is of printable characters")
	errEmptyLine    = errors.New("an empty line is no call")
	errUnknownCall  = errors.New("no such call; there are status, maint-on ID, maint-off ID, standby, active, peers, book, roll, " +
		"council-take-in, council-add, council-drop")
)
