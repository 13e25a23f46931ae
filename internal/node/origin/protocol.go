// Package origin implements the HTTP/1.1 client protocol for the origin. It does not use the transport of net/http, which retries
// some requests by itself.
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
	"sync"

	"mintspring/internal/fleet"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/upstream"
)

// Protocol implements upstream.Protocol and upstream.UnsizedReader for the origin.
type Protocol struct{}

const (
	maxHead    = 8 << 10  // longest response head, in bytes
	maxReparse = 16 << 10 // bytes; an incomplete chunked response is parsed anew after each read up to this size, and as unsized beyond it

	declinedHeader   = "Srv-Declined" // 1: the request was not executed
	loadReportHeader = "Srv-Load"
)

// headEnd ends the head of a request or response.
var headEnd = []byte("\r\n\r\n")

// readerPool reuses readers. Their size limits the trailer of a chunked response, because net/http reads a trailer only if all of it
// fits into the reader's buffer.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxHead) }}

var errTooLong = errors.New("response too long")

// AppendRequest implements upstream.Protocol. It forwards the client's extra list with the node's timeout in place of the client's:
// with the client's timeout in a retry, the origin executed requests for clients that had already given up.
func (Protocol) AppendRequest(b []byte, request *exchange.Exchange, timeout float64) []byte {
	method := "GET /"
	if request.Write {
		method = "PUT /"
	}
	b = append(b, method...)
	b = append(b, url.PathEscape(string(request.Key))...)
	b = append(b, " HTTP/1.1\r\nHost: origin\r\nReq-Id: "...)
	b = append(b, request.ID...)
	b = append(b, "\r\nReq-Extra: "...)
	b = append(b, upstream.ForwardedExtra(request.Extra, timeout)...)
	if request.Write {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, request.ValueLength(), 10)
	}
	b = append(b, headEnd...)
	if request.Write && !request.IsLarge() {
		b = append(b, request.Value...)
	}
	return b
}

// ValueTerminator implements upstream.Protocol. Nothing follows an HTTP body.
func (Protocol) ValueTerminator() string { return "" }

// ParseResponse implements upstream.Protocol.
func (Protocol) ParseResponse(b []byte) (n int, response upstream.Response, err error) {
	src := bytes.NewReader(b)
	buf := readerPool.Get().(*bufio.Reader)
	buf.Reset(src)
	defer readerPool.Put(buf)
	resp, headLength, err := readHead(b, buf) //nolint:bodyclose // see readResponse
	switch {
	case err != nil:
		return 0, upstream.Response{}, err
	case resp == nil && headLength == len(b) && len(b) > 0:
		return headLength, upstream.Response{Informational: true}, nil
	case resp == nil:
		return 0, upstream.Response{}, nil
	}
	chunked := len(resp.TransferEncoding) > 0
	if resp.ContentLength > exchange.MaxBufferedValue {
		return parseLargeHead(headLength, resp)
	}
	if resp.ContentLength < 0 && !chunked {
		return 0, upstream.Response{}, upstream.ErrUnsized // the body ends with the connection
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, exchange.MaxBufferedValue+1))
	switch {
	case len(value) > exchange.MaxBufferedValue || err != nil && len(b) > maxReparse:
		return 0, upstream.Response{}, upstream.ErrUnsized // chunked, and longer than is parsed anew after each read
	case err != nil && strings.Contains(err.Error(), io.ErrUnexpectedEOF.Error()):
		return 0, upstream.Response{}, nil // compared as text: net/http has an unexported error for a truncated trailer
	case err != nil:
		return 0, upstream.Response{}, fmt.Errorf("read response body: %w", err)
	}
	response = responseFromHead(resp)
	if response.Result == fleet.Completed {
		response.Value = value
	}
	return len(b) - src.Len() - buf.Buffered(), response, nil
}

// readHead reads the head of the response at the beginning of b, and the informational (1xx) responses before it. The reader r reads from
// b. It returns nil without an error while the head is incomplete, and the length of what it has read.
func readHead(b []byte, r *bufio.Reader) (resp *http.Response, length int, err error) {
	for {
		rest := b[length:]
		headLength := bytes.Index(rest, headEnd)
		switch {
		case headLength < 0 && len(rest) > maxHead || headLength > maxHead:
			return nil, length, errTooLong
		case headLength < 0:
			return nil, length, nil
		}
		length += headLength + len(headEnd)
		resp, err := readResponse(r)
		if err != nil || !isInformational(resp) {
			return resp, length, err
		}
	}
}

// readResponse reads the head of one response. The response's body is never closed: Close would read on to the end of the body, and
// the caller, not the body, owns the connection.
func readResponse(r *bufio.Reader) (*http.Response, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, fmt.Errorf("read response head: %w", err)
	}
	return resp, nil
}

func isInformational(resp *http.Response) bool { return resp.StatusCode/100 == 1 }

// parseLargeHead parses the head, of the given length, of a response whose value is streamed. Only a response with status 200 may have such a value.
func parseLargeHead(length int, resp *http.Response) (int, upstream.Response, error) {
	if resp.ContentLength > exchange.MaxStreamedValue || resp.StatusCode != http.StatusOK {
		return 0, upstream.Response{}, errTooLong
	}
	response := upstream.Response{
		Result: fleet.Completed, Close: resp.Close, LargeValueSize: resp.ContentLength, Report: loadReport(resp),
	}
	return length, response, nil
}

// responseFromHead converts the head of a response. The value is not set.
func responseFromHead(resp *http.Response) upstream.Response {
	response := upstream.Response{Result: fleet.Failed, Close: resp.Close, Report: loadReport(resp)}
	switch resp.StatusCode {
	case http.StatusOK:
		response.Result = fleet.Completed
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(declinedHeader) == "1" {
			response.Result = fleet.Declined
		}
	}
	return response
}

func loadReport(resp *http.Response) fleet.LoadReport {
	return upstream.ParseReport([]byte(resp.Header.Get(loadReportHeader)))
}

// ParseTail implements upstream.Protocol. Nothing follows a value of announced length.
func (Protocol) ParseTail(_ []byte, head upstream.Response) (upstream.Tail, error) {
	head.LargeValueSize = 0
	return upstream.Tail{ValueEnded: true, Complete: true, Response: head}, nil
}

// ReadUnsized implements upstream.UnsizedReader for a chunked response and for one that ends with its connection. A response that ends
// with its connection is complete if the server closes the connection normally (RFC 9112, section 8). A server process that dies resets
// its connections, which is an error.
func (Protocol) ReadUnsized(r io.Reader, write func([]byte) error) (upstream.Response, error) {
	buf := readerPool.Get().(*bufio.Reader)
	buf.Reset(r)
	defer readerPool.Put(buf)
	resp, err := readResponse(buf) //nolint:bodyclose // see readResponse
	for err == nil && isInformational(resp) {
		resp, err = readResponse(buf) //nolint:bodyclose // see readResponse
	}
	if err != nil {
		return upstream.Response{}, err
	}
	piece := make([]byte, exchange.StreamBufferSize)
	for {
		n, err := resp.Body.Read(piece)
		if n > 0 {
			if err := write(piece[:n]); err != nil {
				return upstream.Response{}, err
			}
		}
		if errors.Is(err, io.EOF) {
			return responseFromHead(resp), nil
		}
		if err != nil {
			return upstream.Response{}, fmt.Errorf("read response body: %w", err)
		}
	}
}
