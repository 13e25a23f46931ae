// Package origin speaks HTTP/1.1 with the origin. Requests are written here and not by net/http, whose
// transport sends some again by itself.
package origin

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"mintspring/fleet"
	"mintspring/node/exchange"
	"mintspring/node/link"
)

// Wire is link.Wire for the origin.
type Wire struct{}

const mostHead = 8 << 10

var errLong = errors.New("an answer longer than any may be")

// Append writes the request; the list of names and values goes on as it came.
func (Wire) Append(b []byte, x *exchange.Exchange, limit float64) []byte {
	method := "GET /"
	if x.Write {
		method = "PUT /"
	}
	b = append(b, method...)
	b = append(b, url.PathEscape(string(x.Key))...)
	b = append(b, " HTTP/1.1\r\nHost: origin\r\nReq-Id: "...)
	b = append(b, x.ID...)
	b = append(b, "\r\nReq-Extra: "...)
	b = append(b, x.Extra...)
	if x.Write {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(x.Value)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	if x.Write {
		b = append(b, x.Value...)
	}
	return b
}

// Parse reads an answer. One whose length is not told is not taken for whole: a cut one would look the same.
func (Wire) Parse(b []byte) (int, link.Reply, error) {
	src := bytes.NewReader(b)
	buf := bufio.NewReaderSize(src, 512)
	var resp *http.Response
	// Any number of provisional answers may come ahead, which say nothing yet.
	for rest := b; resp == nil || resp.StatusCode/100 == 1; {
		head := bytes.Index(rest, []byte("\r\n\r\n"))
		switch {
		case head < 0 && len(rest) > mostHead || head > mostHead:
			return 0, link.Reply{}, errLong
		case head < 0:
			return 0, link.Reply{}, nil
		}
		var err error
		if resp, err = http.ReadResponse(buf, nil); err != nil {
			return 0, link.Reply{}, fmt.Errorf("reading the head of an answer: %w", err)
		}
		rest = rest[head+4:]
	}
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength > exchange.MostValue {
		return 0, link.Reply{}, errLong
	}
	if resp.ContentLength < 0 && !chunked {
		return 0, link.Reply{}, errors.New("an answer that does not tell its length")
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, exchange.MostValue+1))
	switch {
	case len(value) > exchange.MostValue:
		return 0, link.Reply{}, errLong
	case err != nil && strings.Contains(err.Error(), io.ErrUnexpectedEOF.Error()):
		return 0, link.Reply{}, nil // net/http words the end within a trailer as an error of its own
	case err != nil:
		return 0, link.Reply{}, fmt.Errorf("reading the body of an answer: %w", err)
	}
	r := link.Reply{Result: fleet.Failed, Last: resp.Close,
		Report: link.ParseReport([]byte(resp.Header.Get("Srv-Load")))}
	switch {
	case resp.StatusCode == http.StatusOK:
		r.Result, r.Value = fleet.Completed, value
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout:
		if resp.Header.Get("Srv-Declined") == "1" {
			r.Result = fleet.Full
		}
	}
	return len(b) - src.Len() - buf.Buffered(), r, nil
}
