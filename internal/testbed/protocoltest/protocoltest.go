// Package protocoltest compares a protocol of upstream connections with golden files. Only test files may import it.
package protocoltest

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"mintspring/internal/node/exchange"
	"mintspring/internal/node/upstream"
)

// Request is a request, and how it is written under the same name in a golden file.
type Request struct {
	Name     string
	Exchange *exchange.Exchange
	TimeoutMs  float64 // the time that the server has for it
}

// Response is how a response that stands under the same name in a golden file is read.
type Response struct {
	Name string
	Want upstream.Response
}

// CheckRequests checks how requests are written, byte for byte.
func CheckRequests(t *testing.T, protocol upstream.Protocol, golden map[string]string, requests []Request) {
	t.Helper()
	for _, r := range requests {
		got := string(protocol.AppendRequest([]byte("prefix"), r.Exchange, r.TimeoutMs))
		if want, known := golden[r.Name]; !known || got != "prefix"+want {
			t.Errorf("%s\t%s\nwant %q", r.Name, strconv.Quote(strings.TrimPrefix(got, "prefix")), want)
		}
	}
}

// CheckResponses checks how responses are read, each with other bytes behind it.
func CheckResponses(t *testing.T, protocol upstream.Protocol, golden map[string]string, responses []Response) {
	t.Helper()
	for _, r := range responses {
		in, known := golden[r.Name]
		n, got, err := protocol.ParseResponse([]byte(in + "rest"))
		if !known || err != nil || n != len(in) || !Equal(got, r.Want) {
			t.Errorf("%s: %q: %d bytes, %v\n%#v, want\n%#v", r.Name, in, n, err, got, r.Want)
		}
	}
}

// Equal reports whether responses are the same. They are compared as formatted, since a load report has NaN for what it does not state.
func Equal(a, b upstream.Response) bool { return fmt.Sprintf("%#v", a) == fmt.Sprintf("%#v", b) }
