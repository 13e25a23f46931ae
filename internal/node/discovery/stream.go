package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// listPath is the URL path of the full list. With a query it is the path of a watch.
const listPath = "/catalog/members"

// maxObjectBytes is the maximum size of the full list or of one JSON object of a watch.
const maxObjectBytes = 8 << 20

var (
	errWatchEnded = errors.New("the watch ended")
	errSwitched   = errors.New("the address of the discovery service changed during the call")
)

// stream sends one request and delivers the JSON objects of the response: a single one for the full list, or those of a watch until it ends.
// The end of a watch is always an error.
func (c *Client) stream(ctx context.Context, addr, path string) error {
	timeouts := c.timeouts()
	headerDeadline := time.Now().Add(timeouts.Header)
	conn, err := (&net.Dialer{Timeout: timeouts.Dial, KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return fmt.Errorf("connecting to the discovery service: %w", err)
	}
	defer conn.Close()                                          //nolint:errcheck // the call has ended
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })() // the call was cancelled
	resp, err := sendRequest(conn, addr, path, headerDeadline)  //nolint:bodyclose // Close would wait for the end of a watch
	if err != nil {
		return err
	}
	extendDeadline := func() {
		_ = conn.SetDeadline(time.Now().Add(timeouts.Idle)) // if the connection is closed, the next read fails
	}
	extendDeadline()
	body := &lineReader{source: resp.Body, remaining: maxObjectBytes, onLine: func() {
		extendDeadline()
		if c.OnActivity != nil {
			c.OnActivity()
		}
	}, onHeartbeat: func() { c.heartbeat(ctx) }}
	// The decoder finds the end of an object by its last brace, so an object may be indented over several lines, and the response need not
	// end after it.
	for objects := json.NewDecoder(body); ; {
		var u Update
		err := objects.Decode(&u)
		if errors.Is(err, io.EOF) {
			return errWatchEnded
		}
		if err != nil {
			return fmt.Errorf("reading the endpoint list: %w", err)
		}
		body.remaining = maxObjectBytes
		if err := c.deliver(ctx, addr, u); err != nil || path == listPath {
			return err
		}
	}
}

// sendRequest sends a request and reads the header of the response, skipping 1xx responses. The body need not be closed, because it ends
// with the connection.
func sendRequest(conn net.Conn, addr, path string, deadline time.Time) (*http.Response, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, fmt.Errorf("calling the discovery service: %w", err)
	}
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: "+addr+"\r\n\r\n"); err != nil {
		return nil, fmt.Errorf("calling the discovery service: %w", err)
	}
	buffered := bufio.NewReader(conn)
	resp, err := http.ReadResponse(buffered, nil)
	for err == nil && resp.StatusCode/100 == 1 {
		resp, err = http.ReadResponse(buffered, nil)
	}
	if err != nil {
		return nil, fmt.Errorf("reading the discovery service's response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the discovery service responded %s", resp.Status)
	}
	return resp, nil
}

// lineReader limits the bytes of one object. It calls onLine for each read that contains the end of a line, and onHeartbeat for each read
// that contains nothing but line ends.
type lineReader struct {
	source      io.Reader
	onLine      func()
	onHeartbeat func()
	remaining   int // bytes left for the current object
}

// Read skips empty lines, because those of a watch that runs for months would accumulate in the decoder's buffer. Skipping is safe: a JSON
// string contains no line ends.
func (l *lineReader) Read(b []byte) (int, error) {
	for {
		if l.remaining <= 0 {
			return 0, fmt.Errorf("an object exceeds %d bytes", maxObjectBytes)
		}
		n, err := l.source.Read(b[:min(len(b), l.remaining)])
		if bytes.IndexByte(b[:n], '\n') >= 0 {
			l.onLine()
		}
		if err == nil && n > 0 && len(bytes.Trim(b[:n], "\r\n")) == 0 {
			l.onHeartbeat()
			continue
		}
		l.remaining -= n
		return n, err
	}
}
