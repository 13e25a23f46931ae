package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// Client is one connection of a client to a node.
type Client struct {
	net.Conn
	in *bufio.Reader
}

// Dial connects a client.
func (r *Run) Dial(addr string) *Client {
	c, err := net.Dial("tcp", addr)
	r.Check(err)
	return &Client{c, bufio.NewReader(c)}
}

// Command encodes a command.
func Command(words ...string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b
}

// ReadReply reads a reply: a value, or the line of an error.
func (c *Client) ReadReply(timeout time.Duration) (value string, isValue bool, err error) {
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return "", false, err
	}
	line, err := c.in.ReadString('\n')
	if err != nil {
		return "", false, err
	}
	line = strings.TrimSpace(line)
	if !strings.HasPrefix(line, "$") {
		return line, false, nil
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 {
		return line, false, err
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(c.in, b); err != nil {
		return "", false, err
	}
	return string(b[:n]), true, nil
}
