// Package admin is the operators' port: one line to a connection, one line back. It reads calls and writes replies; what a
// call does is up to a Handler.
package admin

import (
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"mintspring/internal/node/sockstate"
)

// Handler carries out calls. What it returns is sent to the caller, an error as the reason of a refusal. Its methods are
// called concurrently, and have to return within ReplyTimeout.
type Handler interface {
	Status() (string, error)
	ExcludeServer(id string) (string, error)
	ReadmitServer(id string) (string, error)
	EnterStandby() (string, error)
	LeaveStandby() (string, error)
	Peers() (string, error)
	RollingRestart(args []string) (string, error)
	IdempotencyStatus() (string, error)
	ChangeMembership(change string, args []string) (string, error)
}

// Limits of the port. The operators' page promises callers their reply within 1 s, beside others that hold a connection for
// 4 s without a complete call.
const (
	MaxConnections = 16               // at a time; one more closes the oldest without a complete call
	ReplyTimeout   = time.Second      // within which a reply is due
	maxLineBytes   = 512              // of a call; ids of servers are far shorter
	readTimeout    = 10 * time.Second // for a complete call
	maxDrainBytes  = 64 << 10         // read after a reply, so that closing the connection does not discard it
)

const (
	acceptRetryDelay  = 5 * time.Millisecond // after a failed accept
	closePollInterval = time.Millisecond     // between two looks at whether all calls have their reply
)

// Server serves the port. Each connection has a goroutine, which ends with it.
type Server struct {
	Handler Handler
	OnPanic func(any) // nil, or called with what a call has panicked with

	mu       sync.Mutex // guards the fields below, and the sessions' stages
	listener net.Listener
	closed   bool
	sessions []*session // the oldest first
}

// session is one connection.
type session struct {
	conn  net.Conn
	stage sessionStage
}

// sessionStage is how far a call has come.
type sessionStage uint8

const (
	reading   sessionStage = iota
	executing              // the call is complete, and its reply is not sent yet
	replied
)

// Serve accepts connections until the server is closed.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.listener = ln
	closed := s.closed
	s.mu.Unlock()
	if closed {
		_ = ln.Close() // it was not used
	}
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &session{conn: conn}
		s.add(c)
		go s.handle(c)
	}
}

// Close stops the listener, and returns when calls that have come have their reply, after ReplyTimeout at the latest: the process may end
// then.
func (s *Server) Close() {
	s.mu.Lock()
	if s.closed = true; s.listener != nil {
		_ = s.listener.Close() // it may be closed already
	}
	s.mu.Unlock()
	for deadline := time.Now().Add(ReplyTimeout); s.owesReply() && time.Now().Before(deadline); {
		time.Sleep(closePollInterval)
	}
}

// owesReply reports whether a call is being carried out, or has come and was not read yet.
func (s *Server) owesReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.sessions, func(c *session) bool {
		if c.stage != reading {
			return c.stage == executing
		}
		unread, _ := sockstate.Peek(c.conn)
		return unread
	})
}

// add makes room for a session by closing another, so that callers who connect and send nothing do not lock others out.
func (s *Server) add(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= MaxConnections {
		i := max(0, slices.IndexFunc(s.sessions, func(o *session) bool { return o.stage != executing }))
		_ = s.sessions[i].conn.Close() // which ends its goroutine
		s.sessions = slices.Delete(s.sessions, i, i+1)
	}
	s.sessions = append(s.sessions, c)
}

func (s *Server) remove(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.sessions, c); i >= 0 {
		s.sessions = slices.Delete(s.sessions, i, i+1)
	}
}

func (s *Server) setStage(c *session, stage sessionStage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.stage = stage
}

// handle serves one connection.
func (s *Server) handle(c *session) {
	defer func() {
		_ = c.conn.Close() // the reply was sent, or the caller is gone
		s.remove(c)
		if p := recover(); p != nil && s.OnPanic != nil {
			s.OnPanic(p)
		}
	}()
	_ = c.conn.SetDeadline(time.Now().Add(readTimeout)) // on a connection that is closed the read fails
	line, err := readLine(c.conn)
	if err != nil && !errors.Is(err, errBadLine) {
		return // the caller is gone, or has sent nothing
	}
	s.setStage(c, executing)
	reply := s.reply(line, err)
	_ = c.conn.SetDeadline(time.Now().Add(ReplyTimeout)) // on a connection that is closed the write fails
	if _, err := io.WriteString(c.conn, reply); err != nil {
		return
	}
	s.setStage(c, replied) // it may make room for others now
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()                            // the caller may be gone
		_, _ = io.CopyN(io.Discard, tcp, maxDrainBytes) // what the caller sends beyond its call is of no use
	}
}

// reply carries a call out and returns the line to send. readErr is the error with which the call was read, if any.
func (s *Server) reply(line string, readErr error) string {
	text, err := "", readErr
	if err == nil {
		text, err = s.execute(line)
	}
	reply := ReplyOK + text
	if err != nil {
		reply = ReplyError + err.Error()
	}
	return strings.TrimSpace(sanitize(reply)) + "\n"
}

// sanitize keeps a reply to one line, whatever is in it.
func sanitize(s string) string {
	return strings.Map(func(r rune) rune {
		if isControl(r) || r == utf8.RuneError {
			return '?'
		}
		return r
	}, s)
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }
