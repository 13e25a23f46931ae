package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"mintspring/internal/node/admin"
)

// Timeouts of a call on the admin port.
const (
	adminDialTimeout = time.Second
	adminCallTimeout = 2 * time.Second
)

// refusalError is the error of a call that a node has refused.
type refusalError struct{ Addr, Reply string }

// Error returns the address and the reply.
func (e *refusalError) Error() string { return fmt.Sprintf("%s replies %q", e.Addr, e.Reply) }

// callAdmin makes one call on a node's admin port and returns the text of the reply after OK. A reply without OK gives a *refusalError.
func callAdmin(addr, line string) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, adminDialTimeout)
	if err != nil {
		return "", err
	}
	defer conn.Close() //nolint:errcheck // the call is over
	if err := conn.SetDeadline(time.Now().Add(adminCallTimeout)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return "", err
	}
	b, err := io.ReadAll(conn)
	if err != nil {
		return "", err
	}
	reply := strings.TrimSpace(string(b))
	text, ok := strings.CutPrefix(reply, admin.ReplyOK)
	if !ok {
		return "", &refusalError{Addr: addr, Reply: reply}
	}
	return text, nil
}

// callAndPrint makes a call and prints the reply.
func callAndPrint(addr, line string) error {
	text, err := callAdmin(addr, line)
	if err == nil {
		fmt.Println(text)
	}
	return err
}

// callAndShow makes a call whose reply is JSON. It prints the reply unchanged if asJSON is set; otherwise it decodes it for show.
func callAndShow[T any](addr, line string, asJSON bool, show func(*T) error) error {
	text, err := callAdmin(addr, line)
	if err != nil {
		return err
	}
	if asJSON {
		fmt.Println(text)
		return nil
	}
	var status T
	if err := json.Unmarshal([]byte(text), &status); err != nil {
		return fmt.Errorf("%s: cannot parse the reply: %w", addr, err)
	}
	return show(&status)
}
