package processrunner

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/invariants"
)

const (
	// dialTimeout is how long a node may take to accept a connection before it counts as dead.
	dialTimeout = time.Second
	// clientBufferBytes is the size of a client connection's read buffer.
	clientBufferBytes = 2048
)

// client is a connection to a node. One goroutine may use it at a time.
type client struct {
	netConn net.Conn
	reader  *bufio.Reader
	reused  bool // a response has been received on it
}

// dial connects to a node.
func dial(addr string) (*client, error) {
	netConn, err := net.DialTimeout("tcp4", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &client{netConn: netConn, reader: bufio.NewReaderSize(netConn, clientBufferBytes)}, nil
}

// close closes the connection.
func (c *client) close() {
	_ = c.netConn.Close() // nothing more is sent on it
}

// command is one command of the client protocol.
type command struct {
	Key, ID, Options, Value string
	Write                   bool
}

// encode returns the command's bytes.
func (c *command) encode() []byte {
	arguments := []string{"KV.GET", c.Key, c.ID, c.Options}
	if c.Write {
		arguments = []string{"KV.SET", c.Key, c.ID, c.Options, c.Value}
	}
	b := redcon.AppendArray(nil, len(arguments))
	for _, argument := range arguments {
		b = redcon.AppendBulkString(b, argument)
	}
	return b
}

// commandOptions returns the options of a command: its request class, tenant and timeout.
func commandOptions(class, tenant string, timeoutMs int64) string {
	return fmt.Sprintf("c=%s,t=%s,d=%d", class, tenant, timeoutMs)
}

// largeValueBytes is the size in bytes above which the first byte of a value counts for its deadline, and not the last one (DAYS.md, "Less room").
const largeValueBytes = 64 << 10

// response is a node's response to a command.
type response struct {
	BegunMs      float64 // when the first byte of a large value arrived, in Unix ms, also if the value broke off; 0: it is not large
	Outcome      invariants.Outcome
	Value        string
	RetryAfterMs float64 // set for a rejection
	Error        string  // set for an abort
}

// exchange is the response to a command, and the Unix times in ms at which the command was fully sent and the response fully read.
type exchange struct {
	response
	sentMs     float64 // 0 if the command was not sent
	answeredMs float64
}

// errMalformedResponse reports a response that does not follow the protocol.
var errMalformedResponse = errors.New("malformed response")

// send sets the connection's read and write deadline, writes b, and returns the time at which the last byte was written.
func (c *client) send(b []byte, deadline time.Time) (sentMs float64, err error) {
	if err := c.netConn.SetDeadline(deadline); err != nil {
		return 0, err
	}
	_, err = c.netConn.Write(b)
	return fakes.NowMs(), err
}

// roundTrip sends a command and reads its response; both must finish by the deadline.
func (c *client) roundTrip(cmd *command, deadline time.Time) (exchange, error) {
	sentMs, err := c.send(cmd.encode(), deadline)
	if err != nil {
		return exchange{}, err
	}
	r, err := readResponse(c.reader)
	return exchange{response: r, sentMs: sentMs, answeredMs: fakes.NowMs()}, err
}

// readResponse reads one response.
func readResponse(r *bufio.Reader) (response, error) {
	line, err := readLine(r)
	if err != nil {
		return response{}, err
	}
	switch line[0] {
	case '-':
		return parseError(line[1:]), nil
	case '$':
		value, begunMs, err := readValue(r, line)
		if err != nil {
			return response{Outcome: invariants.Aborted, BegunMs: begunMs, Error: err.Error()}, err
		}
		return response{Outcome: invariants.Completed, BegunMs: begunMs, Value: value}, nil
	case '*':
		value, err := readFirstOfArray(r, line)
		return response{Outcome: invariants.Completed, Value: value}, err
	}
	return response{Outcome: invariants.Aborted, Error: line}, nil
}

// parseError parses an error response. "BUSY", optionally followed by a retry delay in ms, is a rejection; any other error is an abort.
func parseError(text string) response {
	fields := strings.Fields(text)
	if len(fields) == 0 || fields[0] != "BUSY" {
		return response{Outcome: invariants.Aborted, Error: text}
	}
	rejection := response{Outcome: invariants.Rejected}
	if len(fields) > 1 {
		if ms, err := strconv.ParseFloat(fields[1], 64); err == nil {
			rejection.RetryAfterMs = ms
		}
	}
	return rejection
}

// readFirstOfArray reads an array whose header line has already been read, and returns its first element.
func readFirstOfArray(r *bufio.Reader, line string) (first string, err error) {
	count, err := strconv.Atoi(line[1:])
	if err != nil || count < 1 {
		return "", errMalformedResponse
	}
	for i := range count {
		line, err := readLine(r)
		if err != nil {
			return "", err
		}
		value, err := readBulk(r, line)
		if err != nil {
			return "", err
		}
		if i == 0 {
			first = value
		}
	}
	return first, nil
}

// readLine reads a line and strips its terminator. An empty line is an error.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	if line = strings.TrimRight(line, "\r\n"); line == "" {
		return "", errMalformedResponse
	}
	return line, nil
}

// readBulk reads a bulk string whose header line has already been read. A null bulk string is returned as "".
func readBulk(r *bufio.Reader, line string) (string, error) {
	const end = "\r\n"
	length, err := strconv.Atoi(line[1:])
	if err != nil || line[0] != '$' {
		return "", errMalformedResponse
	}
	if length < 0 {
		return "", nil
	}
	b := make([]byte, length+len(end))
	if _, err := io.ReadFull(r, b); err != nil {
		return "", err
	}
	return string(b[:length]), nil
}

// readValue reads a bulk string whose header line has already been read. For a large one, it also returns when its first byte arrived.
func readValue(r *bufio.Reader, line string) (value string, begunMs float64, err error) {
	if length, err := strconv.Atoi(line[1:]); err == nil && length > largeValueBytes {
		if _, err := r.Peek(1); err != nil {
			return "", 0, err
		}
		begunMs = fakes.NowMs()
	}
	value, err = readBulk(r, line)
	return value, begunMs, err
}

// maxShownValue is how many bytes of a wrong value a violation shows.
const maxShownValue = 60

// record records the response to an attempt of a request, which was read completely, or broke off, at a time in Unix ms.
func (r *response) record(attempt *invariants.ClientAttempt, request *experiment.GeneratedRequest, endedMs float64) {
	attempt.Outcome, attempt.AnsweredAt = r.Outcome, cmp.Or(r.BegunMs, endedMs)
	attempt.ValueBrokeOff = r.Outcome == invariants.Aborted && r.BegunMs > 0
	if r.Outcome == invariants.Completed && !experiment.IsValueOf(r.Value, request.Key) {
		attempt.WrongKey, attempt.WrongValue = true, request.Key+": "+r.Value[:min(len(r.Value), maxShownValue)]
	}
}

// SingleRequest is one request sent to a node by hand.
type SingleRequest struct {
	Addr           string
	Class, Tenant  string
	Key            string
	Value          string // used by writes only
	Write          bool
	IdempotencyKey string // used by writes only; "" generates one
	Timeout        time.Duration
}

// Send sends the request and returns the value in the response. A rejection or an abort is an error.
func (s *SingleRequest) Send() (string, error) {
	c, err := dial(s.Addr)
	if err != nil {
		return "", err
	}
	defer c.close()
	id := fmt.Sprintf("%016x", time.Now().UnixNano())
	cmd := &command{Key: s.Key, ID: id, Write: s.Write, Value: s.Value, Options: commandOptions(s.Class, s.Tenant, s.Timeout.Milliseconds())}
	if s.Write {
		cmd.Options += ",k=" + cmp.Or(s.IdempotencyKey, id)
	}
	answer, err := c.roundTrip(cmd, time.Now().Add(s.Timeout+time.Second))
	if err != nil {
		return "", fmt.Errorf("sending a request to %s: %w", s.Addr, err)
	}
	switch answer.Outcome {
	case invariants.Completed:
		return answer.Value, nil
	case invariants.Rejected:
		return "", fmt.Errorf("rejected; retry after %.0f ms", answer.RetryAfterMs)
	}
	return "", fmt.Errorf("aborted: %s", answer.Error)
}
