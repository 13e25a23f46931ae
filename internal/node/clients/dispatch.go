package clients

import (
	"fmt"
	"strings"

	"github.com/tidwall/redcon"

	"mintspring/internal/node/exchange"
)

// Bounds for what a client sent and a reply or a comparison repeats, in bytes.
const (
	maxCommandName   = 16
	maxQuotedCommand = 64
	maxErrorMessage  = 200
)

// dispatch replies to a command, or passes its request on. With memory reserved for a large command (nil: none) the arguments
// are the request's own, and the reply takes the reservation over.
func (s *Server) dispatch(c *conn, args [][]byte, at float64, reserved *reservation) {
	if len(args) == 0 {
		return
	}
	switch strings.ToUpper(string(args[0][:min(len(args[0]), maxCommandName)])) {
	case "PING":
		s.ping(c, args)
	case "QUIT":
		c.reply("+OK\r\n", true)
	case "KV.GET", "KV.SET":
		request, err := s.Config().parseRequest(args, at, reserved != nil)
		if err != nil {
			c.replyError(err.Error(), false)
			return
		}
		c.submit(request, reserved)
	default:
		c.replyError("unknown command '"+string(args[0][:min(len(args[0]), maxQuotedCommand)])+"'", false)
	}
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

// claimID registers a request under its id, and reports false if another one in flight has that. Cache servers tell
// requests apart by their ids, and could give one the response of the other or take it for a duplicate.
func (s *Server) claimID(request *exchange.Exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.inFlight[string(request.ID)]; taken {
		return false
	}
	if s.inFlight == nil {
		s.inFlight = map[string]*exchange.Exchange{}
	}
	s.inFlight[string(request.ID)] = request
	return true
}

// releaseID frees the id of a request that has a response, or whose client has gone.
func (s *Server) releaseID(request *exchange.Exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[string(request.ID)] == request {
		delete(s.inFlight, string(request.ID))
	}
}

// overMemory reports whether n more bytes would exceed the given multiple of MaxBuffered.
func (s *Server) overMemory(n int64, multiple float64) bool {
	return s.MaxBuffered > 0 && float64(s.buffered.Load()+n) > multiple*float64(s.MaxBuffered)
}

// rejection is the reply to a request that is rejected before the node has seen it.
func (s *Server) rejection() string {
	response := exchange.Response{Kind: exchange.Rejected, RetryAfter: s.Config().RetryAfter}
	return string(appendReply(nil, &response))
}

func errorReply(message string) string {
	return string(redcon.AppendError(nil, "ERR "+sanitize(message)))
}

// sanitize makes a message that may contain what a client sent fit for an error line.
func sanitize(message string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, message[:min(len(message), maxErrorMessage)])
}
