// Package admin serves the operators' admin port. A connection carries one line with a call and one line with its reply. The package
// parses calls and writes replies; a Handler executes them.
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

// Handler executes calls. The text that a method returns is sent to the caller as the reply; an error is sent as the reason why the call
// was refused. The methods are called concurrently and must return within ReplyTimeout.
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

// Limits of the port. The operators' page promises callers a reply within 1 s, even while other callers hold a connection for 4 s without
// a complete call.
const (
	MaxConnections = 16               // concurrent connections; one more closes the oldest one that is not executing a call
	ReplyTimeout   = time.Second      // time within which the reply to a complete call is due
	maxLineBytes   = 512              // length of a call, its line feed included; server ids are far shorter
	readTimeout    = 10 * time.Second // time limit for a complete call to arrive
	maxDrainBytes  = 64 << 10         // bytes read after the reply: closing a connection with unread bytes resets it and loses the reply
)

const (
	acceptRetryDelay  = 5 * time.Millisecond // pause after a failed accept
	closePollInterval = time.Millisecond     // interval at which Close checks for pending calls
)

// Server serves the admin port. Each connection has its own goroutine, which ends with the connection.
type Server struct {
	Handler Handler
	OnPanic func(any) // if not nil, called with the value of a panic in a call

	mu       sync.Mutex // guards the fields below and the stage of each session
	listener net.Listener
	closed   bool
	sessions []*session // oldest first
}

// session is one connection and the progress of its call.
type session struct {
	conn  net.Conn
	stage sessionStage
}

// sessionStage is the progress of a call.
type sessionStage uint8

const (
	reading   sessionStage = iota
	executing              // the call has been read; its reply has not been sent yet
	replied
)

// Serve accepts connections until the server is closed.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.listener = ln
	closed := s.closed
	s.mu.Unlock()
	if closed {
		_ = ln.Close() // no connection was accepted
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

// Close closes the listener and waits until every call that has arrived has its reply, for at most ReplyTimeout. The process may exit
// afterwards.
func (s *Server) Close() {
	s.mu.Lock()
	if s.closed = true; s.listener != nil {
		_ = s.listener.Close() // it may be closed already
	}
	s.mu.Unlock()
	for deadline := time.Now().Add(ReplyTimeout); s.hasPendingCalls() && time.Now().Before(deadline); {
		time.Sleep(closePollInterval)
	}
}

// hasPendingCalls reports whether a call is being executed, or has arrived but has not been read yet.
func (s *Server) hasPendingCalls() bool {
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

// add registers a session. At MaxConnections it first closes the oldest one that is not executing a call, or the oldest of all if there is
// none, so that callers that connect and send nothing do not block others.
func (s *Server) add(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= MaxConnections {
		i := max(0, slices.IndexFunc(s.sessions, func(o *session) bool { return o.stage != executing }))
		_ = s.sessions[i].conn.Close() // ends its goroutine
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

// handle reads the call of a connection, executes it and sends the reply.
func (s *Server) handle(c *session) {
	defer func() {
		_ = c.conn.Close() // the reply has been sent, or the caller is gone
		s.remove(c)
		if p := recover(); p != nil && s.OnPanic != nil {
			s.OnPanic(p)
		}
	}()
	_ = c.conn.SetDeadline(time.Now().Add(readTimeout)) // if the connection is closed, the read fails
	line, err := readLine(c.conn)
	if err != nil && !errors.Is(err, errBadLine) {
		return // the caller is gone, or has not sent a call in time
	}
	s.setStage(c, executing)
	reply := s.reply(line, err)
	_ = c.conn.SetDeadline(time.Now().Add(ReplyTimeout)) // if the connection is closed, the write fails
	if _, err := io.WriteString(c.conn, reply); err != nil {
		return
	}
	s.setStage(c, replied) // from now on add may close it
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()                            // the caller may be gone
		_, _ = io.CopyN(io.Discard, tcp, maxDrainBytes) // bytes after the call are ignored
	}
}

// reply executes a call and returns the line to send. readErr is the error from reading the call, if any.
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

// sanitize replaces control characters and invalid UTF-8, so that a reply is always one line.
func sanitize(s string) string {
	return strings.Map(func(r rune) rune {
		if isControl(r) || r == utf8.RuneError {
			return '?'
		}
		return r
	}, s)
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }
