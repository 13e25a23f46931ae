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

// Request is a request to encode. Its encoded form has the same name in a golden file.
type Request struct {
	Name      string
	Exchange  *exchange.Exchange
	TimeoutMs float64 // the server's timeout for the request, in milliseconds
}

// Response is the expected result of decoding a response. Its encoded form has the same name in a golden file.
type Response struct {
	Name string
	Want upstream.Response
}

// CheckRequests checks that the protocol encodes requests as in the golden file, byte for byte.
func CheckRequests(t *testing.T, protocol upstream.Protocol, golden map[string]string, requests []Request) {
	t.Helper()
	for _, r := range requests {
		got := string(protocol.AppendRequest([]byte("prefix"), r.Exchange, r.TimeoutMs))
		if want, known := golden[r.Name]; !known || got != "prefix"+want {
			t.Errorf("%s\t%s\nwant %q", r.Name, strconv.Quote(strings.TrimPrefix(got, "prefix")), want)
		}
	}
}

// CheckResponses checks that the protocol decodes the responses of the golden file, each followed by other bytes.
func CheckResponses(t *testing.T, protocol upstream.Protocol, golden map[string]string, responses []Response) {
	t.Helper()
	for _, r := range responses {
		encoded, known := golden[r.Name]
		n, got, err := protocol.ParseResponse([]byte(encoded + "rest"))
		if !known || err != nil || n != len(encoded) || !Equal(got, r.Want) {
			t.Errorf("%s: %q: %d bytes, %v\n%#v, want\n%#v", r.Name, encoded, n, err, got, r.Want)
		}
	}
}

// Equal reports whether responses are the same. It compares their formatted text, since fields that a load report leaves out are NaN.
func Equal(a, b upstream.Response) bool { return fmt.Sprintf("%#v", a) == fmt.Sprintf("%#v", b) }
