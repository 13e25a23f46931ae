package clients

import (
	"fmt"
	"strings"

	"github.com/tidwall/redcon"

	"mintspring/internal/node/exchange"
)

// Limits for client input that is compared or quoted in a reply, in bytes.
const (
	maxCommandName   = 16
	maxQuotedCommand = 64
	maxErrorMessage  = 200
)

// dispatch replies to a command, or hands its request to the Handler, and counts it as one or the other.
func (r *commandReader) dispatch(args [][]byte, arrivedAt float64, reserved *reservation) {
	if r.conn.server.dispatch(r.conn, args, arrivedAt, reserved) {
		r.cost.forwarded++
	} else {
		r.cost.local++
	}
}

// dispatch replies to a command, or hands its request to the Handler, and reports whether it did the latter. For a large command, reserved is
// the memory reserved for it: the request keeps args instead of copying them, and the reply takes over the reservation. For other commands,
// reserved is nil.
func (s *Server) dispatch(c *conn, args [][]byte, arrivedAt float64, reserved *reservation) (forwarded bool) {
	if len(args) == 0 {
		return false
	}
	switch strings.ToUpper(string(args[0][:min(len(args[0]), maxCommandName)])) {
	case "PING":
		s.ping(c, args)
	case "QUIT":
		c.reply("+OK\r\n", true)
	case "KV.GET", "KV.SET":
		request, err := c.parseRequest(args, arrivedAt, reserved != nil)
		if err != nil {
			c.replyError(err.Error(), false)
			return false
		}
		request.Deadline -= c.held.timeLost(request)
		return c.submit(request, reserved)
	default:
		c.replyError("unknown command '"+string(args[0][:min(len(args[0]), maxQuotedCommand)])+"'", false)
	}
	return false
}

func (s *Server) ping(c *conn, args [][]byte) {
	switch {
	case len(args) > 2:
		c.replyError("wrong number of arguments for 'PING'", false)
	case !s.Lifecycle.ReadyForClients():
		c.reply("-LOADING the node is "+s.Lifecycle.Phase().String()+"\r\n", false)
	case len(args) == 2:
		c.reply(fmt.Sprintf("$%d\r\n%s\r\n", len(args[1]), args[1]), false)
	default:
		c.reply("+PONG\r\n", false)
	}
}

// claimID registers a request under its ID. It reports false if another request in flight has the same ID, or one whose client has left: cache servers tell requests
// apart by their IDs, and could answer one request with the response to the other, or take one for a duplicate of the other.
func (s *Server) claimID(request *exchange.Exchange) bool {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, inUse := s.inFlight[string(request.ID)]; inUse || s.departed.contains(now, request.ID) {
		return false
	}
	if s.inFlight == nil {
		s.inFlight = map[string]*exchange.Exchange{}
	}
	s.inFlight[string(request.ID)] = request
	return true
}

// releaseID frees the ID of a request that has a response, or whose client has disconnected.
func (s *Server) releaseID(request *exchange.Exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[string(request.ID)] == request {
		delete(s.inFlight, string(request.ID))
	}
}

// exceedsMaxBuffered reports whether n more buffered bytes would exceed the given multiple of MaxBuffered.
func (s *Server) exceedsMaxBuffered(n int64, multiple float64) bool {
	return s.MaxBuffered > 0 && float64(s.buffered.Load()+n) > multiple*float64(s.MaxBuffered)
}

// rejectedReply returns the reply to a request that is rejected before it reaches the Handler.
func (s *Server) rejectedReply() string {
	response := exchange.Response{Kind: exchange.Rejected, RetryAfter: s.Config().RetryAfter}
	return string(appendReply(nil, &response))
}

func errorReply(message string) string {
	return string(redcon.AppendError(nil, "ERR "+sanitize(message)))
}

// sanitize makes a message that may contain client input fit for an error line: it truncates the message and replaces control characters.
func sanitize(message string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, message[:min(len(message), maxErrorMessage)])
}
