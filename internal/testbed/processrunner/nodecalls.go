package processrunner

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	// callTimeout is how long a node may take to answer on its admin address, or a ping.
	callTimeout = time.Second
	// pingDialTimeout is how long a node may take to accept the connection of a ping.
	pingDialTimeout = 200 * time.Millisecond
)

// Pings of the clients' protocol.
const (
	pingCommand  = "*1\r\n$4\r\nPING\r\n"
	pingResponse = "+PONG\r\n" // of a node that serves
)

// adminCall sends a line to the admin address of the process that serves, and returns the answer.
func (n *nodeRunner) adminCall(line string) (string, error) {
	n.mu.Lock()
	addr := n.servingAdmin
	n.mu.Unlock()
	return n.callAdmin(addr, line)
}

// callAdmin sends a line to an admin address of the node, and returns the answer.
func (n *nodeRunner) callAdmin(addr, line string) (string, error) {
	conn, err := net.DialTimeout("tcp4", addr, callTimeout)
	if err != nil {
		return "", err
	}
	answer, err := callOn(conn, line+"\n")
	if err = errors.Join(err, conn.Close()); err != nil {
		return answer, err
	}
	if !strings.HasPrefix(answer, "OK") {
		return answer, fmt.Errorf("node %d answers %s with %q", n.index, line, answer)
	}
	return answer, nil
}

// callOn writes a text and reads all that comes back.
func callOn(conn net.Conn, text string) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return "", err
	}
	answer, err := io.ReadAll(conn)
	return string(answer), err
}

// isServing reports whether a node answers that it serves.
func isServing(addr string) bool { return ping(addr) == pingResponse }

// isAlive reports whether a node answers at all.
func isAlive(addr string) bool { return ping(addr) != "" }

// ping returns what a node answers to a ping, "" for nothing.
func ping(addr string) string {
	conn, err := net.DialTimeout("tcp4", addr, pingDialTimeout)
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }() // the answer is there or it is not
	if err := conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return ""
	}
	if _, err := io.WriteString(conn, pingCommand); err != nil {
		return ""
	}
	answer := make([]byte, 2*len(pingResponse))
	n, err := conn.Read(answer)
	if err != nil {
		return ""
	}
	return string(answer[:n])
}
