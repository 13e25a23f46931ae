// Package cacheserver implements the RESP2 protocol of the cache servers.
package cacheserver

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"github.com/tidwall/redcon"

	"mintspring/internal/fleet"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/upstream"
)

// Protocol implements upstream.Protocol and upstream.Fencer for cache servers.
type Protocol struct{}

const (
	maxLine     = 1024 // longest line, in bytes
	maxElements = 8    // most elements of a response array
	lineEnd     = "\r\n"
)

var (
	errTooLong   = errors.New("response too long")
	errMalformed = errors.New("malformed response")
)

// AppendRequest implements upstream.Protocol. It appends the client's command, in which the node's timeout replaces the client's.
func (Protocol) AppendRequest(b []byte, request *exchange.Exchange, timeout float64) []byte {
	count := 4
	if request.Value != nil || request.Body != nil {
		count++
	}
	b = redcon.AppendArray(b, count)
	b = redcon.AppendBulk(b, request.Command)
	b = redcon.AppendBulk(b, request.Key)
	b = redcon.AppendBulk(b, request.ID)
	b = redcon.AppendBulk(b, upstream.ForwardedExtra(request.Extra, timeout))
	switch {
	case request.IsLarge():
		b = append(strconv.AppendInt(append(b, '$'), request.ValueLength(), 10), lineEnd...)
	case request.Value != nil:
		b = redcon.AppendBulk(b, request.Value)
	}
	return b
}

// fence is a command that servers answer with fenceReply, which is the response to no request, where the settings allow probes (the operators'
// page of the protocol, "Nodes to cache servers").
const (
	fence      = "*1\r\n$4\r\nPING\r\n"
	fenceReply = "+PONG\r\n"
)

// AppendFence implements upstream.Fencer.
func (Protocol) AppendFence(b []byte) []byte { return append(b, fence...) }

// ParseFenceReply implements upstream.Fencer.
func (Protocol) ParseFenceReply(b []byte) int {
	if bytes.HasPrefix(b, []byte(fenceReply)) {
		return len(fenceReply)
	}
	return 0
}

// ValueTerminator implements upstream.Protocol.
func (Protocol) ValueTerminator() string { return lineEnd }

// ParseResponse implements upstream.Protocol. A response is either an error line or an array of the value, the cache status (hit,
// miss or pending) and the load report.
func (Protocol) ParseResponse(b []byte) (n int, response upstream.Response, err error) {
	line, pos, err := nextLine(b, 0)
	if pos == 0 || err != nil {
		return 0, upstream.Response{}, err
	}
	switch line[0] {
	case '-':
		return pos, parseErrorLine(line[1:]), nil
	case '*':
	default:
		return 0, upstream.Response{}, fmt.Errorf("%w: it begins with %q", errMalformed, line[0])
	}
	count, err := strconv.Atoi(string(line[1:]))
	if err != nil || count < 1 || count > maxElements {
		return 0, upstream.Response{}, errMalformed
	}
	if size, start := parseLargeValueHeader(b, pos); size > 0 {
		return start, upstream.Response{
			Result: fleet.Completed, Report: fleet.NewLoadReport(), LargeValueSize: size, TailElements: count - 1,
		}, nil
	}
	value, pos, complete, err := nextBulk(b, pos)
	if err != nil || !complete {
		return 0, upstream.Response{}, err
	}
	pos, response, err = parseTailElements(b, pos, count-1)
	if err != nil || pos == 0 {
		return 0, upstream.Response{}, err
	}
	if response.Result = fleet.Completed; value == nil {
		response.Result = fleet.Missed
	} else {
		response.Value = append([]byte{}, value...)
	}
	return pos, response, nil
}

// ParseTail implements upstream.Protocol. It parses the line end after a large value and the array elements that follow.
func (Protocol) ParseTail(b []byte, head upstream.Response) (upstream.Tail, error) {
	if len(b) > 0 && b[0] != '\r' || len(b) > 1 && b[1] != '\n' {
		return upstream.Tail{}, errMalformed
	}
	if len(b) < len(lineEnd) {
		return upstream.Tail{}, nil
	}
	n, response, err := parseTailElements(b, len(lineEnd), head.TailElements)
	response.Result = fleet.Completed
	return upstream.Tail{ValueEnded: true, Complete: n > 0 && err == nil, Length: n, Response: response}, err
}

// parseTailElements parses the elements that follow the value, count of them, from position pos. The first two are the cache status
// and the load report; others are ignored. It returns the position after the last one, or 0 while they are incomplete.
func parseTailElements(b []byte, pos, count int) (int, upstream.Response, error) {
	var elements [maxElements - 1][]byte
	for i := range count {
		var complete bool
		var err error
		if elements[i], pos, complete, err = nextBulk(b, pos); err != nil || !complete {
			return 0, upstream.Response{}, err
		}
	}
	response := upstream.Response{Report: upstream.ParseReport(elements[1])}
	switch string(elements[0]) {
	case "hit":
		response.Cache = fleet.CacheHit
	case "miss":
		response.Cache = fleet.CacheMiss
	case "pending":
		response.Cache = fleet.CacheMissFetching
	}
	return pos, response, nil
}

// parseLargeValueHeader parses the header of the bulk string at position pos. It returns the size of the value and the position of its
// first byte if the value is too large to be buffered but not too large to be streamed; otherwise zeros.
func parseLargeValueHeader(b []byte, pos int) (size int64, start int) {
	line, next, err := nextLine(b, pos)
	if err != nil || next == 0 || line[0] != '$' {
		return 0, 0
	}
	n, err := strconv.Atoi(string(line[1:]))
	if err != nil || n <= exchange.MaxBufferedValue || n > exchange.MaxStreamedValue {
		return 0, 0
	}
	return int64(n), next
}

// parseErrorLine parses an error line, whose last word may be a load report. Only the error BUSY proves that the request was not
// executed.
func parseErrorLine(line []byte) upstream.Response {
	response := upstream.Response{Result: fleet.Failed, Report: fleet.NewLoadReport()}
	words := bytes.Fields(line)
	if len(words) == 0 {
		return response
	}
	if string(words[0]) == "BUSY" {
		response.Result = fleet.Declined
	}
	if last := words[len(words)-1]; bytes.IndexByte(last, '=') > 0 {
		response.Report = upstream.ParseReport(last)
	}
	return response
}

// nextLine returns the line at position pos without its end, and the position after it; 0 while the line is incomplete.
func nextLine(b []byte, pos int) (line []byte, next int, err error) {
	i := bytes.IndexByte(b[pos:], '\n')
	switch {
	case i < 0 && len(b)-pos > maxLine || i > maxLine:
		return nil, 0, errTooLong
	case i < 0:
		return nil, 0, nil
	case i < len(lineEnd) || b[pos+i-1] != '\r':
		return nil, 0, errMalformed
	}
	return b[pos : pos+i-1], pos + i + 1, nil
}

// nextBulk returns the bulk string at position pos (nil for a null), the position after it, and whether it is complete.
func nextBulk(b []byte, pos int) (value []byte, next int, complete bool, err error) {
	line, next, err := nextLine(b, pos)
	if next == 0 || err != nil {
		return nil, 0, false, err
	}
	if string(line) == "$-1" || string(line) == "*-1" {
		return nil, next, true, nil
	}
	if line[0] != '$' {
		return nil, 0, false, errMalformed
	}
	n, err := strconv.Atoi(string(line[1:]))
	switch {
	case err != nil || n < 0:
		return nil, 0, false, errMalformed
	case n > exchange.MaxBufferedValue:
		return nil, 0, false, errTooLong
	case len(b) < next+n+len(lineEnd):
		return nil, 0, false, nil
	case string(b[next+n:next+n+len(lineEnd)]) != lineEnd:
		return nil, 0, false, errMalformed
	}
	return b[next : next+n : next+n], next + n + len(lineEnd), true, nil
}
