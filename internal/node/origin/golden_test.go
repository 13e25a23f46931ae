package origin

import (
	"errors"
	"strings"
	"testing"

	"mintspring/internal/fleet"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/upstream"
	"mintspring/internal/testbed/goldentest"
	"mintspring/internal/testbed/protocoltest"
)

// TestGoldenRequests checks the requests sent to the origin byte for byte against a golden file.
func TestGoldenRequests(t *testing.T) {
	golden := goldentest.ReadQuoted(t, "requests.txt")
	request := func(key, extra string, value []byte) *exchange.Exchange {
		return &exchange.Exchange{
			Command: []byte("KV.ANY"), Key: []byte(key), ID: []byte("9b1f"), Extra: []byte(extra),
			Value: value, Write: value != nil,
		}
	}
	body := request("k", "c=put,d=480", nil)
	body.Write, body.Body = true, exchange.NewBody(70_000)
	protocoltest.CheckRequests(t, Protocol{}, golden, []protocoltest.Request{
		{Name: "get", Exchange: request("7f3a9c21e0b4d655", "c=read,t=zeta,d=480,h=2500,size=70,odd=1", nil), TimeoutMs: 120.9},
		{Name: "get-escaped", Exchange: request("a/b c?d#e%\xff", "c=read,d=480", nil), TimeoutMs: 7},
		{Name: "get-time-over", Exchange: request("k", "d=480,c=read", nil), TimeoutMs: -3},
		{Name: "put", Exchange: request("k", "c=put,d=480,k=5c", []byte("new\r\n\x00\xff")), TimeoutMs: 120},
		{Name: "put-empty", Exchange: request("k", "c=put,d=480", []byte{}), TimeoutMs: 120},
		{Name: "put-large", Exchange: request("k", "c=put,d=480", make([]byte, exchange.MaxBufferedValue+1)), TimeoutMs: 120},
		{Name: "put-in-pieces", Exchange: body, TimeoutMs: 120},
	})
	if got := (Protocol{}).ValueTerminator(); got != "" {
		t.Errorf("%q follows a large value", got)
	}
}

// TestGoldenResponses checks how each form of the origin's response is parsed.
func TestGoldenResponses(t *testing.T) {
	golden := goldentest.ReadQuoted(t, "responses.txt")
	none, queue := fleet.NewLoadReport(), fleet.NewLoadReport()
	queue.Present, queue.Queue = true, 9
	protocoltest.CheckResponses(t, Protocol{}, golden, []protocoltest.Response{
		{Name: "ok", Want: upstream.Response{Result: fleet.Completed, Value: []byte("value"), Report: queue}},
		{Name: "ok-empty", Want: upstream.Response{Result: fleet.Completed, Value: []byte{}, Report: none}},
		{Name: "ok-chunked", Want: upstream.Response{Result: fleet.Completed, Value: []byte("value"), Report: queue}},
		{Name: "ok-close", Want: upstream.Response{Result: fleet.Completed, Value: []byte("v"), Report: none, Close: true}},
		{Name: "ok-provisional", Want: upstream.Response{Result: fleet.Completed, Value: []byte("v"), Report: none}},
		{Name: "created", Want: upstream.Response{Result: fleet.Failed, Report: none}},
		{Name: "not-found-declined", Want: upstream.Response{Result: fleet.Failed, Report: none}},
		{Name: "unavailable", Want: upstream.Response{Result: fleet.Failed, Report: queue}},
		{Name: "unavailable-declined", Want: upstream.Response{Result: fleet.Declined, Report: queue}},
		{Name: "timeout-declined", Want: upstream.Response{Result: fleet.Declined, Report: none}},
		{Name: "declined-no", Want: upstream.Response{Result: fleet.Failed, Report: none}},
	})
	for _, c := range []struct {
		name      string
		closeConn bool
	}{{"large", false}, {"large-provisional", true}} {
		in := golden[c.name]
		n, head, err := Protocol{}.ParseResponse([]byte(in + "rest"))
		want := upstream.Response{Result: fleet.Completed, Report: queue, LargeValueSize: 70_000, Close: c.closeConn}
		if err != nil || n != len(in) || !protocoltest.Equal(head, want) {
			t.Errorf("%s: %d bytes, %+v, %v", c.name, n, head, err)
		}
		tail, err := Protocol{}.ParseTail([]byte("rest"), head)
		want.LargeValueSize = 0
		if err != nil || tail.Length != 0 || !tail.ValueEnded || !tail.Complete || !protocoltest.Equal(tail.Response, want) {
			t.Errorf("after %s: %+v, %v", c.name, tail, err)
		}
	}
	for _, name := range []string{"until-close", "chunked-long"} {
		in := golden[name]
		if _, _, err := (Protocol{}).ParseResponse([]byte(in[:len(in)-2])); !errors.Is(err, upstream.ErrUnsized) {
			t.Errorf("%s: %v", name, err)
		}
		var value []byte
		got, err := Protocol{}.ReadUnsized(strings.NewReader(in), func(b []byte) error { value = append(value, b...); return nil })
		want := upstream.Response{Result: fleet.Completed, Report: queue}
		if name == "until-close" {
			want.Close = true
		}
		if err != nil || string(value) != golden[name+"-value"] || !protocoltest.Equal(got, want) {
			t.Errorf("%s: %d bytes, %+v, %v", name, len(value), got, err)
		}
	}
}
