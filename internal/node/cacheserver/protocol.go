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

// Protocol implements upstream.Protocol for cache servers.
type Protocol struct{}

const (
	maxLine     = 1024 // bytes of a line
	maxElements = 8    // elements of a response
	lineEnd     = "\r\n"
)

var (
	errTooLong   = errors.New("response too long")
	errMalformed = errors.New("malformed response")
)

// AppendRequest implements upstream.Protocol: it appends the client's command, with the node's limit in place of the client's.
func (Protocol) AppendRequest(b []byte, request *exchange.Exchange, limit float64) []byte {
	count := 4
	if request.Value != nil || request.Body != nil {
		count++
	}
	b = redcon.AppendArray(b, count)
	b = redcon.AppendBulk(b, request.Command)
	b = redcon.AppendBulk(b, request.Key)
	b = redcon.AppendBulk(b, request.ID)
	b = redcon.AppendBulk(b, upstream.ForwardedExtra(request.Extra, limit))
	switch {
	case request.IsLarge():
		b = append(strconv.AppendInt(append(b, '$'), request.ValueLength(), 10), lineEnd...)
	case request.Value != nil:
		b = redcon.AppendBulk(b, request.Value)
	}
	return b
}

// ValueTerminator implements upstream.Protocol.
func (Protocol) ValueTerminator() string { return lineEnd }

// ParseResponse implements upstream.Protocol. A response is an array of the value, how the server came by it and the load
// report, or an error line.
func (Protocol) ParseResponse(b []byte) (n int, response upstream.Response, err error) {
	line, at, err := nextLine(b, 0)
	if at == 0 || err != nil {
		return 0, upstream.Response{}, err
	}
	switch line[0] {
	case '-':
		return at, parseErrorLine(line[1:]), nil
	case '*':
	default:
		return 0, upstream.Response{}, fmt.Errorf("%w: it begins with %q", errMalformed, line[0])
	}
	count, err := strconv.Atoi(string(line[1:]))
	if err != nil || count < 1 || count > maxElements {
		return 0, upstream.Response{}, errMalformed
	}
	if size, start := largeValue(b, at); size > 0 {
		return start, upstream.Response{
			Result: fleet.Completed, Report: fleet.NewLoadReport(), LargeSize: size, TailParts: count - 1,
		}, nil
	}
	value, at, complete, err := nextBulk(b, at)
	if err != nil || !complete {
		return 0, upstream.Response{}, err
	}
	at, response, err = parseTailParts(b, at, count-1)
	if err != nil || at == 0 {
		return 0, upstream.Response{}, err
	}
	if response.Result = fleet.Completed; value == nil {
		response.Result = fleet.Missed
	} else {
		response.Value = append([]byte{}, value...)
	}
	return at, response, nil
}

// ParseTail implements upstream.Protocol: it parses the line end of a large value and the elements behind it.
func (Protocol) ParseTail(b []byte, head upstream.Response) (upstream.Tail, error) {
	if len(b) > 0 && b[0] != '\r' || len(b) > 1 && b[1] != '\n' {
		return upstream.Tail{}, errMalformed
	}
	if len(b) < len(lineEnd) {
		return upstream.Tail{}, nil
	}
	n, response, err := parseTailParts(b, len(lineEnd), head.TailParts)
	response.Result = fleet.Completed
	return upstream.Tail{Sound: true, Complete: n > 0 && err == nil, Length: n, Response: response}, err
}

// parseTailParts parses the elements behind the value, count of them from a position: how the server came by the value, and
// its load report. It returns the position behind them, or 0 while they are incomplete.
func parseTailParts(b []byte, at, count int) (int, upstream.Response, error) {
	var parts [maxElements - 1][]byte
	for i := range count {
		var complete bool
		var err error
		if parts[i], at, complete, err = nextBulk(b, at); err != nil || !complete {
			return 0, upstream.Response{}, err
		}
	}
	response := upstream.Response{Report: upstream.ParseReport(parts[1])}
	switch string(parts[0]) {
	case "hit":
		response.Cache = fleet.CacheHit
	case "miss":
		response.Cache = fleet.CacheMiss
	case "pending":
		response.Cache = fleet.CacheMissFetching
	}
	return at, response, nil
}

// largeValue returns the size of the value at a position, and where its bytes begin, if it is too large to be buffered but
// may be passed on; otherwise zeros.
func largeValue(b []byte, at int) (size int64, start int) {
	line, next, err := nextLine(b, at)
	if err != nil || next == 0 || line[0] != '$' {
		return 0, 0
	}
	n, err := strconv.Atoi(string(line[1:]))
	if err != nil || n <= exchange.MaxBufferedValue || n > exchange.MaxStreamedValue {
		return 0, 0
	}
	return int64(n), next
}

// parseErrorLine parses an error line, whose last word may be a load report. Only BUSY shows that the attempt did not run.
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

// nextLine returns the line at a position, and where the next one begins; 0 while it is incomplete.
func nextLine(b []byte, at int) (line []byte, next int, err error) {
	i := bytes.IndexByte(b[at:], '\n')
	switch {
	case i < 0 && len(b)-at > maxLine || i > maxLine:
		return nil, 0, errTooLong
	case i < 0:
		return nil, 0, nil
	case i < len(lineEnd) || b[at+i-1] != '\r':
		return nil, 0, errMalformed
	}
	return b[at : at+i-1], at + i + 1, nil
}

// nextBulk returns the bulk string at a position, nil for null, the position behind it, and whether it is complete.
func nextBulk(b []byte, at int) (value []byte, next int, complete bool, err error) {
	line, next, err := nextLine(b, at)
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
