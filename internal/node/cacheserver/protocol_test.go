package cacheserver

import (
	"strings"
	"testing"

	"mintspring/internal/fleet"
	"mintspring/internal/node/exchange"
)

// Each form of response has its own result. A response that is truncated at any byte is incomplete.
func TestParseResponse(t *testing.T) {
	for _, c := range []struct {
		in     string
		result fleet.Result
		cache  fleet.CacheStatus
		value  string
		queue  float64 // -1: the report does not state it
	}{
		{"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$24\r\nutil=0.61,queue=2,new=5,\r\n", fleet.Completed, fleet.CacheHit, "value", 2},
		{"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n", fleet.Completed, fleet.CacheUnknown, "", -1},
		{"*3\r\n$-1\r\n$4\r\nmiss\r\n$7\r\nqueue=3\r\n", fleet.Missed, fleet.CacheMiss, "", 3},
		{"*3\r\n$-1\r\n$7\r\npending\r\n$-1\r\n", fleet.Missed, fleet.CacheMissFetching, "", -1},
		// A load report uses the names of the settings. When only the name x0 was understood, no ring point was adjusted.
		{"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$29\r\ncpu=0.178,waiting=4,x0=0.8710\r\n", fleet.Completed, fleet.CacheHit, "v", 4},
		{"-ERR failed\r\n", fleet.Failed, 0, "", -1},
		{"-ERR failed queue=7,util=x\r\n", fleet.Failed, 0, "", 7},
		{"-BUSY\r\n", fleet.Declined, 0, "", -1},
		{"-BUSY queue=9\r\n", fleet.Declined, 0, "", 9},
		{"-BUSYBODY\r\n", fleet.Failed, 0, "", -1},
		{"-SYNTAX\r\n", fleet.Failed, 0, "", -1},
	} {
		n, r, err := Protocol{}.ParseResponse([]byte(c.in + "*3"))
		if err != nil || n != len(c.in) || r.Result != c.result || r.Cache != c.cache || string(r.Value) != c.value {
			t.Errorf("%q: %d bytes, %+v, %v", c.in, n, r, err)
		}
		if got := r.Report.Queue; c.queue >= 0 && got != c.queue || c.queue < 0 && got == got {
			t.Errorf("%q: queue %v, want %v", c.in, got, c.queue)
		}
		for cut := range len(c.in) {
			if n, _, err := (Protocol{}).ParseResponse([]byte(c.in[:cut])); n != 0 || err != nil {
				t.Errorf("%q cut at %d: %d bytes, %v", c.in, cut, n, err)
			}
		}
	}
}

// A malformed response is an error, so that it never reaches a client as a complete one.
func TestMalformedResponses(t *testing.T) {
	for _, in := range []string{
		"+OK\r\n", ":1\r\n", "$3\r\nabc\r\n", "*0\r\n", "*-1\r\n", "*9\r\n", "*3\r\n:5\r\n", "*1\r\n$x\r\n",
		"*1\r\n$3\r\nabcd\r\n", "*1\r\n$4194305\r\n", "*1\n", "\r\n", "*3\r\n$-2\r\n", strings.Repeat("x", 2000),
	} {
		if n, r, err := (Protocol{}).ParseResponse([]byte(in)); err == nil {
			t.Errorf("%q: %d bytes, %+v", in, n, r)
		}
	}
}

// The client's command is sent unchanged except for its timeout.
func TestAppendRequest(t *testing.T) {
	request := &exchange.Exchange{
		Command: []byte("KV.SET"), Key: []byte("7f"), ID: []byte("9b"), Extra: []byte("c=put,d=480,k=5c,odd"), Value: []byte{},
	}
	want := "*5\r\n$6\r\nKV.SET\r\n$2\r\n7f\r\n$2\r\n9b\r\n$18\r\nc=put,d=7,k=5c,odd\r\n$0\r\n\r\n"
	if got := string(Protocol{}.AppendRequest(nil, request, 7.9)); got != want {
		t.Errorf("%q, want %q", got, want)
	}
	request.Value, request.Extra = nil, []byte("d=5")
	if got := string(Protocol{}.AppendRequest(nil, request, -3)); !strings.HasPrefix(got, "*4\r\n") ||
		!strings.HasSuffix(got, "$3\r\nd=1\r\n") {
		t.Errorf("%q", got)
	}
}

// The elements after a large value are parsed like those after a small one. If they are truncated at any byte, the tail is incomplete.
func TestParseTail(t *testing.T) {
	n, head, err := Protocol{}.ParseResponse([]byte("*3\r\n$70000\r\nvalue"))
	if err != nil || n != 12 || head.LargeValueSize != 70000 {
		t.Fatalf("%d, %+v, %v", n, head, err)
	}
	const tail = "\r\n$3\r\nhit\r\n$21\r\nutil=0.25,queue=3,x=9\r\n"
	for cut := range len(tail) + 1 {
		got, err := Protocol{}.ParseTail([]byte(tail[:cut]), head)
		if err != nil || got.ValueEnded != (cut >= 2) || got.Complete != (cut == len(tail)) {
			t.Errorf("%q: %+v, %v", tail[:cut], got, err)
		}
		if r := got.Response; got.Complete &&
			(got.Length != len(tail) || r.Result != fleet.Completed || r.Cache != fleet.CacheHit || r.Report.Queue != 3) {
			t.Errorf("%+v", got)
		}
	}
	for _, malformed := range []string{"x", "\rx", "\r\n:3\r\n", "\r\n$70000\r\n"} {
		if got, err := (Protocol{}).ParseTail([]byte(malformed), head); err == nil || got.Complete {
			t.Errorf("the malformed tail %q is accepted", malformed)
		}
	}
}
