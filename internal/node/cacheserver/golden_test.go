package cacheserver

import (
	"testing"

	"mintspring/internal/fleet"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/upstream"
	"mintspring/internal/testbed/goldentest"
	"mintspring/internal/testbed/protocoltest"
)

// TestGoldenCommands checks the commands sent to cache servers byte for byte against a golden file.
func TestGoldenCommands(t *testing.T) {
	golden := goldentest.ReadQuoted(t, "commands.txt")
	request := func(command, extra string, value []byte) *exchange.Exchange {
		return &exchange.Exchange{
			Command: []byte(command), Key: []byte("7f3a9c21e0b4d655"), ID: []byte("9b1f"),
			Extra: []byte(extra), Value: value, Write: value != nil,
		}
	}
	body := request("KV.SET", "c=put,d=480", nil)
	body.Write, body.Body = true, exchange.NewBody(70_000)
	protocoltest.CheckRequests(t, Protocol{}, golden, []protocoltest.Request{
		{Name: "get", Exchange: request("KV.GET", "c=read,t=zeta,d=480,h=2500,size=70,odd=1", nil), TimeoutMs: 120.9},
		{Name: "get-lower-case", Exchange: request("kv.get", "c=read,d=480", nil), TimeoutMs: 7},
		{Name: "get-no-time", Exchange: request("KV.GET", "c=read,odd", nil), TimeoutMs: 7},
		{Name: "get-time-over", Exchange: request("KV.GET", "d=480,c=read", nil), TimeoutMs: -3},
		{Name: "set", Exchange: request("KV.SET", "c=put,d=480,k=5c", []byte("new\r\n\x00\xff")), TimeoutMs: 120},
		{Name: "set-empty", Exchange: request("KV.SET", "c=put,d=480", []byte{}), TimeoutMs: 120},
		{Name: "set-large", Exchange: request("KV.SET", "c=put,d=480", make([]byte, exchange.MaxBufferedValue+1)), TimeoutMs: 120},
		{Name: "set-in-pieces", Exchange: body, TimeoutMs: 120},
	})
	if got := (Protocol{}).ValueTerminator(); got != golden["after-large"] {
		t.Errorf("after-large\t%q", got)
	}
}

// TestGoldenResponses checks how each form of a cache server's response is parsed.
func TestGoldenResponses(t *testing.T) {
	golden := goldentest.ReadQuoted(t, "answers.txt")
	report := func(set func(*fleet.LoadReport)) fleet.LoadReport {
		r := fleet.NewLoadReport()
		set(&r)
		return r
	}
	none := fleet.NewLoadReport()
	all := report(func(r *fleet.LoadReport) {
		*r = fleet.LoadReport{Present: true, Util: 0.61, Queue: 2, Inflight: 3, Latency: 4.5, Rate: 500, Errors: 6, HitRatio: 0.871, X1: 7}
	})
	queue := report(func(r *fleet.LoadReport) { r.Present, r.Queue = true, 9 })
	protocoltest.CheckResponses(t, Protocol{}, golden, []protocoltest.Response{
		{Name: "hit", Want: upstream.Response{Result: fleet.Completed, Cache: fleet.CacheHit, Value: []byte("value"), Report: all}},
		{Name: "hit-short-names", Want: upstream.Response{Result: fleet.Completed, Cache: fleet.CacheHit, Value: []byte("value"), Report: all}},
		{Name: "hit-fourth-part", Want: upstream.Response{Result: fleet.Completed, Cache: fleet.CacheHit, Value: []byte("value"), Report: all}},
		{Name: "value-only", Want: upstream.Response{Result: fleet.Completed, Value: []byte("\r\n\x00\xff"), Report: none}},
		{Name: "empty-null-parts", Want: upstream.Response{Result: fleet.Completed, Value: []byte{}, Report: none}},
		{Name: "report-not-read", Want: upstream.Response{Result: fleet.Completed, Cache: fleet.CacheMiss, Value: []byte("v"), Report: queue}},
		{Name: "miss", Want: upstream.Response{Result: fleet.Missed, Cache: fleet.CacheMiss, Report: queue}},
		{Name: "miss-null-array", Want: upstream.Response{Result: fleet.Missed, Cache: fleet.CacheMiss, Report: none}},
		{Name: "miss-pending", Want: upstream.Response{Result: fleet.Missed, Cache: fleet.CacheMissFetching, Report: none}},
		{Name: "busy", Want: upstream.Response{Result: fleet.Declined, Report: none}},
		{Name: "busy-report", Want: upstream.Response{Result: fleet.Declined, Report: queue}},
		{Name: "busy-prefix", Want: upstream.Response{Result: fleet.Failed, Report: none}},
		{Name: "error", Want: upstream.Response{Result: fleet.Failed, Report: none}},
		{Name: "error-report", Want: upstream.Response{Result: fleet.Failed, Report: queue}},
		{Name: "error-empty", Want: upstream.Response{Result: fleet.Failed, Report: none}},
	})
	response := golden["large"]
	n, head, err := Protocol{}.ParseResponse([]byte(response))
	if err != nil || n != len(response) || head.LargeValueSize != 70_000 || head.TailElements != 2 || head.Result != fleet.Completed {
		t.Fatalf("large: %d bytes, %+v, %v", n, head, err)
	}
	tail := golden["after-large"]
	got, err := Protocol{}.ParseTail([]byte(tail), head)
	want := upstream.Response{Result: fleet.Completed, Cache: fleet.CacheHit, Report: queue}
	if err != nil || got.Length != len(tail) || !got.ValueEnded || !got.Complete || !protocoltest.Equal(got.Response, want) {
		t.Errorf("after-large: %+v, %v", got, err)
	}
}
