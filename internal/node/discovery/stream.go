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

// listPath is the path of the full list.
const listPath = "/catalog/members"

// maxObjectBytes bounds one object of a watch, and the full list.
const maxObjectBytes = 8 << 20

var (
	errWatchEnded = errors.New("the watch ended")
	errSwitched   = errors.New("the address of the discovery service has changed meanwhile")
)

// stream makes one request and delivers the objects of its response: one of the full list, or all of a watch until that
// ends, which is an error.
func (c *Client) stream(ctx context.Context, addr, path string) error {
	timeouts := c.timeouts()
	headerDeadline := time.Now().Add(timeouts.Header)
	conn, err := (&net.Dialer{Timeout: timeouts.Dial, KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return fmt.Errorf("connecting to the discovery service: %w", err)
	}
	defer conn.Close()                                          //nolint:errcheck // the call is over
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })() // the call is given up
	resp, err := sendRequest(conn, addr, path, headerDeadline)  //nolint:bodyclose // Close would wait for the rest of a watch
	if err != nil {
		return err
	}
	extendDeadline := func() {
		_ = conn.SetDeadline(time.Now().Add(timeouts.Idle)) // a connection that is closed fails the next read
	}
	extendDeadline()
	body := &lineReader{source: resp.Body, remaining: maxObjectBytes, onLine: func() {
		extendDeadline()
		if c.OnActivity != nil {
			c.OnActivity()
		}
	}, onHeartbeat: func() { c.heartbeat(ctx) }}
	// An object ends with its last brace, whether it stands on one line or is indented, and whether or not the response ends
	// with it.
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

// sendRequest sends a request and reads the header of the response, skipping provisional ones. The body need not be closed:
// it ends with the connection.
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
		return nil, fmt.Errorf("the discovery service responds %s", resp.Status)
	}
	return resp, nil
}

// lineReader calls onLine for each read with the end of a line in it, onHeartbeat for each with nothing else in it, and bounds the
// bytes of one object.
type lineReader struct {
	source      io.Reader
	onLine      func()
	onHeartbeat func()
	remaining   int // bytes that the current object may still have
}

// Read skips empty lines: those of a watch of months would pile up in the decoder's memory. No JSON string holds one.
func (l *lineReader) Read(b []byte) (int, error) {
	for {
		if l.remaining <= 0 {
			return 0, fmt.Errorf("an object of over %d bytes", maxObjectBytes)
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
