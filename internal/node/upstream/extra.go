package upstream

import (
	"bytes"
	"strconv"
)

// timeoutPrefix begins the entry of a request's extra list that states how long the sender waits for the response, in ms.
var timeoutPrefix = []byte("d=")

// ForwardedExtra returns the extra list to send with an attempt. The list has name=value entries separated by commas. The
// client's timeout is replaced by this node's, in whole milliseconds and at least 1.
func ForwardedExtra(extra []byte, timeout float64) []byte {
	ms := strconv.AppendInt(nil, max(1, int64(timeout)), 10)
	out := make([]byte, 0, len(extra)+len(ms))
	for first := true; first || len(extra) > 0; first = false {
		var entry []byte
		entry, extra, _ = bytes.Cut(extra, []byte(","))
		if !first {
			out = append(out, ',')
		}
		if bytes.HasPrefix(entry, timeoutPrefix) {
			out = append(append(out, timeoutPrefix...), ms...)
		} else {
			out = append(out, entry...)
		}
	}
	return out
}
