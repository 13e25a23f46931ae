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
	// callTimeout is how long a node may take to answer an admin command or a ping.
	callTimeout = time.Second
	// pingDialTimeout is how long a node may take to accept the connection for a ping.
	pingDialTimeout = 200 * time.Millisecond
)

// Ping command and response of the client protocol.
const (
	pingCommand  = "*1\r\n$4\r\nPING\r\n"
	pingResponse = "+PONG\r\n" // sent by a node that is serving
)

// callServingAdmin sends a line to the admin address of the serving process, and returns the answer.
func (n *nodeRunner) callServingAdmin(line string) (string, error) {
	n.mu.Lock()
	addr := n.servingAdmin
	n.mu.Unlock()
	return n.callAdmin(addr, line)
}

// callAdmin sends a line to the given admin address of the node, and returns the answer. Any answer but "OK..." is an error.
func (n *nodeRunner) callAdmin(addr, line string) (string, error) {
	conn, err := net.DialTimeout("tcp4", addr, callTimeout)
	if err != nil {
		return "", err
	}
	answer, err := writeAndReadAll(conn, line+"\n")
	if err = errors.Join(err, conn.Close()); err != nil {
		return answer, err
	}
	if !strings.HasPrefix(answer, "OK") {
		return answer, fmt.Errorf("node %d answered admin command %q with %q", n.index, line, answer)
	}
	return answer, nil
}

// writeAndReadAll writes a text and reads until the peer closes the connection.
func writeAndReadAll(conn net.Conn, text string) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return "", err
	}
	answer, err := io.ReadAll(conn)
	return string(answer), err
}

// isServing reports whether a node answers a ping as one that is serving.
func isServing(addr string) bool { return ping(addr) == pingResponse }

// isAlive reports whether a node answers a ping at all, serving or not.
func isAlive(addr string) bool { return ping(addr) != "" }

// ping returns a node's answer to a ping, or "" if there is none.
func ping(addr string) string {
	conn, err := net.DialTimeout("tcp4", addr, pingDialTimeout)
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }() // the answer has been read by then
	if err := conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return ""
	}
	if _, err := io.WriteString(conn, pingCommand); err != nil {
		return ""
	}
	response := make([]byte, 2*len(pingResponse))
	length, err := conn.Read(response)
	if err != nil {
		return ""
	}
	return string(response[:length])
}
