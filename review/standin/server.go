package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request is a request as a cache server or the origin gets it.
type Request struct {
	Name, Key, ID, Extra string
	Value                []byte
	FirstByteMs          float64 // when its first byte came, by the clock of the run
}

// ServerConn is a connection of a node to a server.
type ServerConn struct {
	net.Conn
	mu     sync.Mutex // one answer is written after the other
	begun  int        // requests whose last byte has come
	closed bool
}

// Begun returns how many requests have come completely.
func (c *ServerConn) Begun() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun
}

// Send writes bytes.
func (c *ServerConn) Send(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Write(b) // the reader notices a connection that has ended
}

// SendIfResting writes bytes if no request has come since the first so many.
func (c *ServerConn) SendIfResting(begun int, b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun != begun || c.closed {
		return false
	}
	_, err := c.Write(b)
	return err == nil
}

// serve accepts connections and reads their requests, one after the other.
func (r *Run) serve(read func(*bufio.Reader) (Request, error), handle func(*ServerConn, Request)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Check(err)
	go func() {
		for {
			netConn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serveConn(&ServerConn{Conn: netConn}, read, handle)
		}
	}()
	return l.Addr().String()
}

func (r *Run) serveConn(c *ServerConn, read func(*bufio.Reader) (Request, error), handle func(*ServerConn, Request)) {
	defer func() {
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		firstByte := r.Ms()
		request, err := read(in)
		if err != nil {
			r.Logf("a request to %s broke off: its first byte came at %.3f ms (%v)", c.LocalAddr(), firstByte, err)
			return
		}
		request.FirstByteMs = firstByte
		c.mu.Lock()
		c.begun++
		c.mu.Unlock()
		handle(c, request)
	}
}

// StartCache starts a cache server. Its requests are handled one after the other on each connection.
func (r *Run) StartCache(handle func(*ServerConn, Request)) string {
	return r.serve(readCommand, handle)
}

// StartOrigin starts an origin.
func (r *Run) StartOrigin(handle func(*ServerConn, Request)) string {
	return r.serve(readHTTP, handle)
}

var errCommand = errors.New("not a command")

// readCommand reads a command of RESP2.
func readCommand(in *bufio.Reader) (Request, error) {
	count, err := readLength(in, '*')
	if err != nil || count < 4 || count > 5 {
		return Request{}, errCommand
	}
	var words [5][]byte
	for i := range count {
		n, err := readLength(in, '$')
		if err != nil {
			return Request{}, err
		}
		words[i] = make([]byte, n+2)
		if _, err := io.ReadFull(in, words[i]); err != nil {
			return Request{}, err
		}
		words[i] = words[i][:n]
	}
	return Request{Name: string(words[0]), Key: string(words[1]), ID: string(words[2]), Extra: string(words[3]), Value: words[4]}, nil
}

func readLength(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, errCommand
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// readHTTP reads a request of HTTP/1.1.
func readHTTP(in *bufio.Reader) (Request, error) {
	req, err := http.ReadRequest(in)
	if err != nil {
		return Request{}, err
	}
	value, err := io.ReadAll(req.Body)
	if err != nil {
		return Request{}, fmt.Errorf("%s: %w after %d of %d bytes", req.Header.Get("Req-Id"), err, len(value), req.ContentLength)
	}
	return Request{
		Name: req.Method, Key: strings.TrimPrefix(req.URL.Path, "/"), ID: req.Header.Get("Req-Id"), Extra: req.Header.Get("Req-Extra"), Value: value,
	}, nil
}

// Report is the load report that the servers send.
const Report = "cpu=0.2,waiting=0,x0=0.9"

// CacheAnswer returns a cache server's answer with a value.
func CacheAnswer(value string) []byte {
	return fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$%d\r\n%s\r\n", len(value), value, len(Report), Report)
}

// CacheMiss is a cache server's answer without a value.
func CacheMiss() []byte {
	return fmt.Appendf(nil, "*3\r\n$-1\r\n$4\r\nmiss\r\n$%d\r\n%s\r\n", len(Report), Report)
}

// OriginAnswer returns the origin's answer with a value.
func OriginAnswer(value string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nSrv-Load: %s\r\n\r\n%s", len(value), Report, value)
}

// Link starts a link to an address on which bytes take some time in each direction, and returns its address.
func (r *Run) Link(to string, oneWay time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Check(err)
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			target, err := net.Dial("tcp", to)
			if err != nil {
				_ = from.Close()
				continue
			}
			go carry(from, target, oneWay)
			go carry(target, from, oneWay)
		}
	}()
	return l.Addr().String()
}

// carry copies bytes from one connection to another, each after the same time, and the end of the connection too.
func carry(from, to net.Conn, oneWay time.Duration) {
	type piece struct {
		at time.Time
		b  []byte
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				pieces <- piece{time.Now().Add(oneWay), b[:n]}
			}
			if err != nil {
				pieces <- piece{time.Now().Add(oneWay), nil}
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.at))
		if p.b == nil {
			break
		}
		if _, err := to.Write(p.b); err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	for range pieces { // the reader ends with its connection
	}
}
