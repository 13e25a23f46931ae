package standin

import (
	"bufio"
	"fmt"
	"hash/fnv"
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

// slowReader reads a few bytes at a time, with a pause before each.
type slowReader struct {
	io.Reader
	bytes int
	pause time.Duration
}

// Read implements io.Reader.
func (s slowReader) Read(b []byte) (int, error) {
	time.Sleep(s.pause)
	return s.Reader.Read(b[:min(len(b), s.bytes)])
}

// ReadSlowly makes the client read so many bytes at a time from now on, with a pause before each.
func (c *Client) ReadSlowly(bytes int, pause time.Duration) {
	c.in = bufio.NewReaderSize(slowReader{c.Conn, bytes, pause}, bytes)
}

// Key returns a key for a text: 16 hexadecimal digits.
func Key(text string) string {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text)) // a hash never fails
	return fmt.Sprintf("%016x", hash.Sum64()*0x9e3779b97f4a7c15)
}
