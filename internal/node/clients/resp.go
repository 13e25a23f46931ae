package clients

import (
	"bytes"
	"strconv"

	"github.com/tidwall/redcon"

	"mintspring/internal/node/exchange"
)

// Messages of error replies to commands that are malformed or too large.
const (
	malformedMessage = "Protocol error: not a command of RESP"
	tooLargeMessage  = "a part larger than any may be"
)

// crlf ends each line and each argument of a command.
const crlf = "\r\n"

const (
	maxCommandHeader = 4096    // bytes of a command that may precede a large value
	maxArgs          = 16      // arguments of a command
	maxArgLength     = 1 << 29 // bytes; a longer argument is malformed
)

// largeWritePrefix is the beginning of a command whose value may be large.
var largeWritePrefix = []byte("*5\r\n$6\r\nKV.SET")

// isLargeWrite reports whether an oversized command of the given length is a write whose value may be accepted.
func isLargeWrite(b []byte, length int) bool {
	n := len(largeWritePrefix)
	return len(b) >= n && bytes.EqualFold(b[:n], largeWritePrefix) && length <= exchange.MaxStreamedValue+maxCommandHeader
}

// parseLargeWriteHeader parses the bytes of a write that precede its value. It returns the arguments there, the offset of the value and
// its length. It returns no arguments if another argument than the value is oversized.
func parseLargeWriteHeader(b []byte) (args [][]byte, start, length int) {
	offset := bytes.IndexByte(b, '\n') + 1
	for {
		i := bytes.IndexByte(b[offset:], '\n')
		if i < 2 {
			return nil, 0, 0
		}
		n, err := strconv.Atoi(string(b[offset+1 : offset+i-1]))
		if err != nil {
			return nil, 0, 0
		}
		offset += i + 1
		if len(args) == setArgCount-1 {
			return args, offset, n
		}
		if n < 0 || len(b) < offset+n+len(crlf) {
			return nil, 0, 0
		}
		args = append(args, b[offset:offset+n:offset+n])
		offset += n + len(crlf)
	}
}

// oversizedLength returns the length of a command up to the end of its first argument that exceeds MaxBufferedValue. It returns 0 if no
// such argument has begun to arrive, and -1 if the bytes are no command.
func oversizedLength(b []byte) int {
	count, offset := parseLength(b, 0, '*')
	if count < 0 || count > maxArgs {
		return -1
	}
	for range count {
		length, start := parseLength(b, offset, '$')
		switch {
		case length < 0:
			return -1
		case start == 0:
			return 0
		case length > exchange.MaxBufferedValue:
			return start + length + len(crlf)
		}
		offset = start + length + len(crlf)
	}
	return 0
}

// parseLength parses the line at an offset, which consists of a type byte and a length. It returns the length and the offset of the next
// line. If the line is incomplete or has another type, it returns 0, 0. If the length is invalid, it returns -1, 0.
func parseLength(b []byte, offset int, typeByte byte) (length, next int) {
	i := bytes.IndexByte(b[min(offset, len(b)):], '\n')
	if i < 2 || b[offset] != typeByte {
		return 0, 0
	}
	length, err := strconv.Atoi(string(b[offset+1 : offset+i-1]))
	if err != nil || length < 0 || length > maxArgLength {
		return -1, 0
	}
	return length, offset + i + 1
}

// appendBulkHeader appends the bytes that precede a bulk string of the given size.
func appendBulkHeader(b []byte, size int64) []byte {
	return append(strconv.AppendInt(append(b, '$'), size, 10), crlf...)
}

// appendReply appends a response encoded in RESP2.
func appendReply(b []byte, response *exchange.Response) []byte {
	switch response.Kind {
	case exchange.Completed:
		return redcon.AppendBulk(b, response.Value)
	case exchange.Rejected:
		if ms := int64(response.RetryAfter); ms > 0 {
			return redcon.AppendError(b, "BUSY "+strconv.FormatInt(ms, 10))
		}
		return redcon.AppendError(b, "BUSY")
	case exchange.Aborted:
	}
	return redcon.AppendError(b, "ERR "+response.Reason)
}
