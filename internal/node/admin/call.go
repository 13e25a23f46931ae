package admin

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

// readLine reads a call. A line without a line feed is rejected, because a truncated id may be the id of another server.
func readLine(r io.Reader) (string, error) {
	var b [maxLineBytes]byte
	n := 0
	for n < len(b) {
		k, err := r.Read(b[n:])
		if i := bytes.IndexByte(b[n:n+k], '\n'); i >= 0 {
			return string(bytes.TrimSuffix(b[:n+i], []byte("\r"))), nil
		}
		if n += k; err != nil {
			if n > 0 && errors.Is(err, io.EOF) {
				return "", errBadLine
			}
			return "", err
		}
	}
	return "", errBadLine
}

// execute parses a call and passes it to the handler.
func (s *Server) execute(line string) (string, error) {
	if !utf8.ValidString(line) || strings.ContainsFunc(line, isControl) {
		return "", errNotPrintable
	}
	words := strings.Fields(line)
	if len(words) == 0 {
		return "", errEmptyLine
	}
	name, args := words[0], words[1:]
	if change, ok := strings.CutPrefix(name, MembershipPrefix); ok {
		return s.Handler.ChangeMembership(change, args)
	}
	switch name {
	case CallRollingRestart:
		return s.Handler.RollingRestart(args)
	case CallExclude:
		return withServerID(name, args, s.Handler.ExcludeServer)
	case CallReadmit:
		return withServerID(name, args, s.Handler.ReadmitServer)
	case CallStatus:
		return withoutArgs(name, args, s.Handler.Status)
	case CallStandby:
		return withoutArgs(name, args, s.Handler.EnterStandby)
	case CallActive:
		return withoutArgs(name, args, s.Handler.LeaveStandby)
	case CallPeers:
		return withoutArgs(name, args, s.Handler.Peers)
	case CallIdempotency:
		return withoutArgs(name, args, s.Handler.IdempotencyStatus)
	}
	return "", errUnknownCall
}

func withoutArgs(name string, args []string, do func() (string, error)) (string, error) {
	if len(args) > 0 {
		return "", fmt.Errorf("%s takes no argument", name)
	}
	return do()
}

func withServerID(name string, args []string, do func(id string) (string, error)) (string, error) {
	if len(args) != 1 {
		return "", fmt.Errorf("%s takes one id of a cache server", name)
	}
	return do(args[0])
}
