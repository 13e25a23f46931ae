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

// commandReader reads the next command of a connection. A command that needs no execution comes with its response.
type commandReader func() (request servermodel.Request, rawResponse []byte, err error)

// timestampReader notes when the first byte of a command came.
type timestampReader struct {
	reader      io.Reader
	firstByteMs float64 // 0: nothing was read since the last command
}

// Read reads from the connection.
func (r *timestampReader) Read(b []byte) (int, error) {
	n, err := r.reader.Read(b)
	if n > 0 && r.firstByteMs == 0 {
		r.firstByteMs = NowMs()
	}
	return n, err
}

// take returns when the first and the last byte of the command that was read now came, and begins the next one. The first byte of a
// command that was read together with the one before counts as coming now.
func (r *timestampReader) take(nowMs float64) (firstByteMs, lastByteMs float64) {
	firstByteMs = r.firstByteMs
	if firstByteMs == 0 {
		firstByteMs = nowMs
	}
	r.firstByteMs = 0
	return firstByteMs, nowMs
}

// parseOptions reads the list of options that follows a key and a request ID: c is the class, k the idempotency key, d the time that
// is left in ms.
func parseOptions(request *servermodel.Request, text string) {
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
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

// Commands of cache servers, and how many words each has at least: the name, the key, the request id, options, and the value of a write.
const (
	readCommand, readWords   = "KV.GET", 4
	writeCommand, writeWords = "KV.SET", 5
)

// IsCacheRequest reports whether a command is a request to a cache server, with all words that it needs.
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

// newRESPReader reads the commands of a cache server.
func newRESPReader(in io.Reader) commandReader {
	reader := redcon.NewReader(in)
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

// encodeRESP returns the response of a cache server: its value, a note and its load report.
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

// newHTTPReader reads the requests of an origin.
func newHTTPReader(in io.Reader) commandReader {
	reader := bufio.NewReader(in)
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
