package node

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// leastServedShare is the share of requests that has to be served beside a trouble in which all of them can be (STANDING.md, "share served").
const leastServedShare = 0.85

// expectServed sends slow reads one after the other, with others in between, and expects that nearly all get a value of the given size.
func (tc *testCluster) expectServed(name string, slow, between, size int) {
	tc.t.Helper()
	var served atomic.Int64
	var wg sync.WaitGroup
	for i := range slow {
		for k := range between {
			wg.Go(func() { tc.request("KV.GET", fmt.Sprint("near", i, k), fmt.Sprint("n", i, k), "c=read,d=500") })
			time.Sleep(5 * time.Millisecond)
		}
		wg.Go(func() {
			if got := tc.request("KV.GET", fmt.Sprint("slow", i), fmt.Sprint("s", i), "c=read,d=590"); len(got) == size {
				served.Add(1)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	if share := float64(served.Load()) / float64(slow); share < leastServedShare {
		tc.t.Errorf("%s: served %.2f of the slow reads, want %.2f", name, share, leastServedShare)
	}
}

// writeInPieces writes b in four pieces with pauses of 0.1 s between them. The latency objective is 0.2 s.
func writeInPieces(w io.Writer, b []byte) {
	const pieces = 4
	for i := range pieces {
		if i > 0 {
			time.Sleep(100 * time.Millisecond)
		}
		writeBytes(w, b[i*len(b)/pieces:(i+1)*len(b)/pieces])
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
	}
}

// Guards against answers that are cut off, and requests that are turned away, where a server answers slowly while it answers others: its attempts
// once counted as lost or as load on it until the last byte.
func TestSlowAnswersBesideOthersAreWaitedFor(t *testing.T) {
	for _, c := range []struct {
		name               string
		size               int
		atOrigin, announce bool // announce: with Content-Length
	}{
		{"cache server", 40_000, false, false},
		{"origin", 40_000, true, true},
		{"origin, chunked", 40_000, true, false},
		{"origin, chunked and large", 200_000, true, false},
	} {
		value := bytes.Repeat([]byte("v"), c.size)
		tc := newTestCluster(t, 3, func(conn redcon.Conn, key, id string) {
			switch {
			case strings.HasPrefix(key, "near"):
				serveHit(conn, key, id)
			case c.atOrigin:
				serveMiss(conn, key, id)
			default:
				answer := append(fmt.Appendf(nil, "*3\r\n$%d\r\n", c.size), value...)
				writeInPieces(conn.NetConn(), append(answer, "\r\n$3\r\nhit\r\n$-1\r\n"...))
			}
		}, func(rw http.ResponseWriter, req *http.Request) {
			switch {
			case !strings.HasPrefix(req.URL.Path, "/slow"):
				writeString(rw, "hit")
				return
			case !c.atOrigin: // in place of a slow cache server
				writeBytes(rw, value)
				return
			}
			if c.announce {
				rw.Header().Set("Content-Length", fmt.Sprint(c.size))
			}
			writeInPieces(rw, value)
		}, func(config *Config) { config.Deployment.Limits.Hedging = false })
		tc.expectServed(c.name, 40, 6, c.size)
	}
}

// Guards against reads that are turned away where the origin pauses between the head and the value of its answers: the pause once counted as the
// origin's response time, and an answer was cut off at half of its time although its server went on.
func TestPauseAfterHeadIsWaitedFor(t *testing.T) {
	const size = 100_000
	tc := newTestCluster(t, 1, serveMiss, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Length", fmt.Sprint(size))
		rw.(http.Flusher).Flush()
		time.Sleep(300 * time.Millisecond) // of 590; the latency objective is 200
		writeBytes(rw, bytes.Repeat([]byte("v"), size))
	}, func(config *Config) { config.Deployment.Limits.Hedging = false })
	tc.expectServed("pause after the head", 100, 0, size)
}
