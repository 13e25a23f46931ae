package fakes

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/tidwall/redcon"

	"mintspring/internal/testbed/servermodel"
)

// commandReader reads the next command of a connection. For a command that needs no execution it returns the response.
type commandReader func() (request servermodel.Request, rawResponse []byte, err error)

// timestampReader records the time at which the first byte of a command was read.
type timestampReader struct {
	reader      io.Reader
	firstByteMs float64 // 0: no byte was read since the last command
}

// Read implements io.Reader.
func (r *timestampReader) Read(b []byte) (int, error) {
	n, err := r.reader.Read(b)
	if n > 0 && r.firstByteMs == 0 {
		r.firstByteMs = NowMs()
	}
	return n, err
}

// takeTimestamps returns the times of the first and the last byte of the command that was just read, and resets them for the next command.
// If a command was read together with the previous one, nowMs counts as the time of its first byte.
func (r *timestampReader) takeTimestamps(nowMs float64) (firstByteMs, lastByteMs float64) {
	firstByteMs = r.firstByteMs
	if firstByteMs == 0 {
		firstByteMs = nowMs
	}
	r.firstByteMs = 0
	return firstByteMs, nowMs
}

// parseOptions parses the options that follow a key and a request ID: c is the request class, k the idempotency key, d the time left until
// the deadline in ms.
func parseOptions(request *servermodel.Request, text string) {
	for option := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(option, "=")
		switch name {
		case "c":
			request.Class = value
		case "k":
			request.IdempotencyKey = value
		case "d":
			if ms, err := strconv.ParseFloat(value, 64); err == nil {
				request.Deadline = NowMs() + ms
			}
		}
	}
}

// Commands of cache servers and the least number of words in each: the name, the key, the request ID, the options, and the value of a write.
const (
	readCommand, readWords   = "KV.GET", 4
	writeCommand, writeWords = "KV.SET", 5
)

// IsCacheRequest reports whether a command is a complete request to a cache server.
func IsCacheRequest(words [][]byte) bool {
	if len(words) == 0 {
		return false
	}
	switch strings.ToUpper(string(words[0])) {
	case readCommand:
		return len(words) >= readWords
	case writeCommand:
		return len(words) >= writeWords
	}
	return false
}

// IsFence reports whether a command is PING, which every cache server answers with +PONG.
func IsFence(words [][]byte) bool {
	return len(words) == 1 && strings.EqualFold(string(words[0]), "PING")
}

// newRESPReader returns a reader of the commands to a cache server.
func newRESPReader(input io.Reader) commandReader {
	reader := redcon.NewReader(input)
	return func() (servermodel.Request, []byte, error) {
		command, err := reader.ReadCommand()
		if err != nil {
			return servermodel.Request{}, nil, err
		}
		name := strings.ToUpper(string(command.Args[0]))
		switch {
		case name == "PING":
			return servermodel.Request{}, []byte("+PONG\r\n"), nil
		case name == "CLIENT" || name == "SELECT":
			return servermodel.Request{}, []byte("+OK\r\n"), nil
		case name != readCommand && name != writeCommand:
			return servermodel.Request{}, []byte("-ERR unknown\r\n"), nil
		case !IsCacheRequest(command.Args):
			return servermodel.Request{}, []byte("-SYNTAX\r\n"), nil
		}
		request := servermodel.Request{Key: string(command.Args[1]), RequestID: string(command.Args[2]), Write: name == writeCommand}
		parseOptions(&request, string(command.Args[3]))
		return request, nil, nil
	}
}

// encodeRESP returns the response of a cache server: the value, a note (hit or miss) and the load report.
func encodeRESP(e *servermodel.Execution) []byte {
	switch e.Outcome {
	case servermodel.Rejected, servermodel.Expired:
		return []byte("-BUSY " + e.Report + "\r\n")
	case servermodel.Failed:
		return []byte("-ERR failed " + e.Report + "\r\n")
	}
	b := redcon.AppendArray(nil, 3)
	if e.Outcome == servermodel.CacheMiss {
		b = redcon.AppendNull(b)
	} else {
		b = redcon.AppendBulkString(b, e.Value)
	}
	b = redcon.AppendBulkString(b, e.Note)
	return redcon.AppendBulkString(b, e.Report)
}

// newHTTPReader returns a reader of the requests to an origin.
func newHTTPReader(input io.Reader) commandReader {
	reader := bufio.NewReader(input)
	return func() (servermodel.Request, []byte, error) {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return servermodel.Request{}, nil, err
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return servermodel.Request{}, nil, err
		}
		request := servermodel.Request{
			Key: strings.TrimPrefix(r.URL.Path, "/"), RequestID: r.Header.Get("Req-Id"), Write: r.Method == http.MethodPut,
		}
		if request.RequestID == "" {
			return request, []byte("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"), nil
		}
		parseOptions(&request, r.Header.Get("Req-Extra"))
		return request, nil, nil
	}
}

// encodeHTTP returns the response of an origin.
func encodeHTTP(e *servermodel.Execution) []byte {
	head := "HTTP/1.1 200 OK"
	switch e.Outcome {
	case servermodel.Rejected, servermodel.Expired:
		head = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1"
	case servermodel.Failed:
		head = "HTTP/1.1 500 Internal Server Error"
	}
	return fmt.Appendf(nil, "%s\r\nSrv-Load: %s\r\nContent-Length: %d\r\n\r\n%s", head, e.Report, len(e.Value), e.Value)
}
