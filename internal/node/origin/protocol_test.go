package origin

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"

	"mintspring/internal/fleet"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/upstream"
)

// Each form of response has its own result. A response that is truncated at any byte is incomplete. Informational responses before it are
// reported when they are all that has arrived, and only then.
func TestParseResponse(t *testing.T) {
	for _, c := range []struct {
		in     string
		result fleet.Result
		value  string
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nSrv-Load: queue=4,util=0.5\r\n\r\nvalue", fleet.Completed, "value"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nvalue\r\n0\r\n\r\n", fleet.Completed, "value"},
		{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", fleet.Completed, ""},
		{"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", fleet.Failed, ""},
		{"HTTP/1.1 503 Later\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", fleet.Declined, ""},
		{"HTTP/1.1 504 Later\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", fleet.Declined, ""},
		{
			"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv",
			fleet.Completed, "v",
		},
		// Without the header, or with another status, the request may have been executed.
		{"HTTP/1.1 503 Later\r\nContent-Length: 0\r\n\r\n", fleet.Failed, ""},
		{"HTTP/1.1 404 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", fleet.Failed, ""},
	} {
		n, r, err := Protocol{}.ParseResponse([]byte(c.in))
		if err != nil || n != len(c.in) || r.Result != c.result || string(r.Value) != c.value {
			t.Errorf("%q: %d bytes, %+v, %v", c.in, n, r, err)
		}
		for cut := range len(c.in) {
			begun, rest, want := c.in[:cut], c.in[cut:], 0
			if strings.HasSuffix(begun, "\r\n\r\n") && strings.HasPrefix(rest, "HTTP/1.1 ") {
				want = cut
			}
			if n, r, err := (Protocol{}).ParseResponse([]byte(begun)); n != want || r.Informational != (want > 0) || err != nil {
				t.Errorf("%q cut at %d: %d bytes, %+v, %v", c.in, cut, n, r, err)
			}
			if n, r, err := (Protocol{}).ParseResponse([]byte(rest)); want > 0 && (n != len(rest) || r.Result != c.result || string(r.Value) != c.value) {
				t.Errorf("%q from %d: %d bytes, %+v, %v", c.in, cut, n, r, err)
			}
		}
	}
	if _, r, _ := (Protocol{}).ParseResponse([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nSrv-Load: queue=4\r\n\r\n")); r.Report.Queue != 4 {
		t.Errorf("report %+v", r.Report)
	}
}

// ParseResponse returns an error for a response that is malformed, too long to be buffered, or of unknown length. It never returns a
// truncated value.
func TestMalformedResponses(t *testing.T) {
	for _, in := range []string{
		"HTTP/1.1 200 OK\r\n\r\nhalf a val", "HTTP/1.1 200 OK\r\nContent-Length: 4194305\r\n\r\n", "nonsense\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", strings.Repeat("x", 9000),
	} {
		if n, r, err := (Protocol{}).ParseResponse([]byte(in)); err == nil {
			t.Errorf("%.40q: %d bytes, %+v", in, n, r)
		}
	}
}

// The key is escaped, and the client's extra list is sent unchanged except for its timeout.
func TestAppendRequest(t *testing.T) {
	request := &exchange.Exchange{Key: []byte("a/b c"), ID: []byte("9b"), Extra: []byte("c=put,d=480,k=5c"), Value: []byte("new"), Write: true}
	want := "PUT /a%2Fb%20c HTTP/1.1\r\nHost: origin\r\nReq-Id: 9b\r\nReq-Extra: c=put,d=100,k=5c\r\nContent-Length: 3\r\n\r\nnew"
	if got := string(Protocol{}.AppendRequest(nil, request, 100)); got != want {
		t.Errorf("%q, want %q", got, want)
	}
	request.Write, request.Value = false, nil
	if got := string(Protocol{}.AppendRequest(nil, request, 100)); !strings.HasPrefix(got, "GET /a%2Fb%20c HTTP/1.1\r\n") ||
		strings.Contains(got, "Content-Length") {
		t.Errorf("%q", got)
	}
}

// A response of unknown length is complete with its last chunk or at the end of its connection. This holds for any size of the pieces
// in which it arrives, and with chunk extensions, long headers and trailers.
func TestReadUnsized(t *testing.T) {
	longHeader := strings.Repeat("n", 3000)
	value := strings.Repeat("0123456789", 9000)
	chunks := ""
	for rest := value; rest != ""; {
		n := min(len(rest), 1234)
		chunks += fmt.Sprintf("%x;note=%s\r\n%s\r\n", n, longHeader[:9], rest[:n])
		rest = rest[n:]
	}
	for name, text := range map[string]string{
		"chunked":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 \r\nSRV-LOAD:  waiting=3 \r\nX-Note: " + longHeader + "\r\ntransfer-encoding: chunked\r\n\r\n" + chunks + "0\r\nX-Note: " + longHeader + "\r\n\r\n",
		"until close": "HTTP/1.1 200 OK\r\nsrv-load:waiting=3\r\nConnection: close\r\n\r\n" + value,
		"until close, without a Connection header": "HTTP/1.1 200 OK\r\nsrv-load:waiting=3\r\n\r\n" + value,
	} {
		if _, _, err := (Protocol{}).ParseResponse([]byte(text[:min(len(text), 40_000)])); !errors.Is(err, upstream.ErrUnsized) {
			t.Errorf("%s: %v", name, err)
		}
		got := ""
		r, err := Protocol{}.ReadUnsized(iotest.HalfReader(strings.NewReader(text)), func(b []byte) error { got += string(b); return nil })
		if err != nil || got != value || r.Result != fleet.Completed || r.Report.Queue != 3 {
			t.Errorf("%s: %d bytes, %+v, %v", name, len(got), r, err)
		}
		// A response is incomplete if its connection is reset or its last chunk is missing.
		truncated := io.MultiReader(strings.NewReader(text[:len(text)-20]), iotest.ErrReader(syscall.ECONNRESET))
		if _, err := (Protocol{}).ReadUnsized(truncated, func([]byte) error { return nil }); err == nil {
			t.Errorf("%s: a truncated response is reported as complete", name)
		}
	}
	r, err := Protocol{}.ReadUnsized(strings.NewReader("HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\n\r\nno"), func([]byte) error { return nil })
	if err != nil || r.Result != fleet.Declined {
		t.Errorf("%+v, %v", r, err)
	}
}

// A small chunked response with a long trailer is parsed as a complete response.
func TestLongTrailer(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Note: " + strings.Repeat("n", 3000) + "\r\n\r\n"
	n, r, err := Protocol{}.ParseResponse([]byte(text))
	if n != len(text) || string(r.Value) != "abc" || err != nil {
		t.Errorf("%d bytes, %+v, %v", n, r, err)
	}
}
