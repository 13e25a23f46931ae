package node

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mintspring/internal/cluster/idempotency/storage"
	"mintspring/internal/config/operatorfile"
	"mintspring/internal/config/tomlfile"
	"mintspring/internal/testbed/reservedport"
)

// singleReplica makes a node the only replica of its idempotency records.
func singleReplica(t *testing.T, configure func(*operatorfile.Idempotency)) func(*Config) {
	t.Helper()
	address, err := reservedport.ReserveUDP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(address) })
	section := &operatorfile.Idempotency{
		Name: "b", Members: []string{address.Addr()}, MemberNumber: 1, DataDir: filepath.Join(t.TempDir(), "book"), ReplicationFactor: 1,
		Retention: tomlfile.Duration(time.Minute), ClaimTimeout: tomlfile.Duration(150 * time.Millisecond),
		CommitTimeout: tomlfile.Duration(150 * time.Millisecond), RetryInterval: tomlfile.Duration(10 * time.Millisecond),
		AntiEntropyInterval: tomlfile.Duration(time.Second), MaxRepairsPerSecond: 1000, MaxRecords: 1000, MaxReceiptBytes: 256, MaxDiskMB: 10,
	}
	if err := storage.Create(section.DataDir, storage.Owner{Group: "b"}, 7); err != nil {
		t.Fatal(err)
	}
	if configure != nil {
		configure(section)
	}
	return func(c *Config) { c.Operator = &operatorfile.File{Idempotency: section} }
}

// A retry of a request with an idempotency key is answered with the receipt of the first request, or aborted if the outcome of that is
// unknown, or executed if the first request was not. A read, and a write without a key, are not claimed.
func TestRetriesWithIdempotencyKey(t *testing.T) {
	var mu sync.Mutex
	executions := map[string]int{}
	var originMode atomic.Value
	originMode.Store("")
	tc := newTestCluster(t, 2, serveHit, func(rw http.ResponseWriter, req *http.Request) {
		mu.Lock()
		executions[req.URL.Path]++
		mu.Unlock()
		switch originMode.Load() {
		case "lost":
			panic(http.ErrAbortHandler)
		case "declined":
			rw.Header().Set("Srv-Declined", "1")
			rw.WriteHeader(503)
			return
		case "large":
			writeString(rw, strings.Repeat("r", 300))
			return
		}
		echoOrigin(rw, req)
	}, singleReplica(t, nil))
	expectExecutions := func(key string, want int) {
		t.Helper()
		mu.Lock()
		defer mu.Unlock()
		if executions["/"+key] != want {
			t.Errorf("%s was executed %d times, want %d", key, executions["/"+key], want)
		}
	}
	requests := 0
	send := func(class, key string) string {
		requests++
		return tc.request("KV.SET", key, fmt.Sprint("id", requests), "c="+class+",d=500,k=m-"+key, "v")
	}
	tc.expectPrefix(send("pay", "a"), "PUT /a id1")
	tc.expectPrefix(send("pay", "a"), "PUT /a id1") // the receipt of the first request, whose id differs from that of the retry
	expectExecutions("a", 1)

	originMode.Store("lost")
	tc.expectPrefix(send("pay", "b"), "-ERR")
	originMode.Store("")
	tc.expectPrefix(send("pay", "b"), "-ERR it was tried before")
	expectExecutions("b", 1)

	originMode.Store("large")
	tc.expectPrefix(send("pay", "c"), "rrr")
	originMode.Store("")
	tc.expectPrefix(send("pay", "c"), "-ERR it was tried before") // its receipt is larger than MaxReceiptBytes
	expectExecutions("c", 1)

	originMode.Store("declined")
	tc.expectPrefix(send("pay", "d"), "-BUSY")
	originMode.Store("")
	tc.expectPrefix(send("pay", "d"), "PUT /d")
	tc.expectPrefix(send("pay", "d"), "PUT /d")

	tc.expectPrefix(tc.request("KV.SET", "e", "x1", "c=pay,d=500", "v"), "PUT /e x1") // no key
	tc.expectPrefix(tc.request("KV.SET", "e", "x2", "c=pay,d=500", "v"), "PUT /e x2")
	tc.expectPrefix(tc.request("KV.GET", "e", "x3", "c=read,d=500,k=m-a"), "hit")
	if text, err := tc.node.IdempotencyStatus(); err != nil || !strings.Contains(text, `"records":4`) {
		t.Errorf("%s, %v", text, err)
	}
}

// Requests with the same key at the same time are executed once: the others are rejected with a Retry-After.
func TestConcurrentRequestsWithOneKey(t *testing.T) {
	var executions atomic.Int64
	tc := newTestCluster(t, 2, serveHit, func(rw http.ResponseWriter, req *http.Request) {
		executions.Add(1)
		time.Sleep(100 * time.Millisecond)
		echoOrigin(rw, req)
	}, singleReplica(t, nil))
	responses := make(chan string, 5)
	for i := range 5 {
		go func() { responses <- tc.request("KV.SET", "k", fmt.Sprint(i), "c=put,d=500,k=1", "v") }()
	}
	completed := 0
	for range 5 {
		if response := <-responses; strings.Contains(response, "PUT") {
			completed++
		} else if !strings.HasPrefix(response, "-BUSY ") {
			t.Errorf("answered %q", response)
		}
	}
	if completed != 1 || executions.Load() != 1 {
		t.Errorf("%d were completed, %d executed", completed, executions.Load())
	}
}

// A request that needs a claim after the replica has stopped, as during a stop of the node, is rejected at once: it would wait for a result
// that never comes, and the process could end before it is answered.
func TestRequestAfterReplicaHasStopped(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin, singleReplica(t, nil))
	tc.expectPrefix(tc.request("KV.SET", "k", "1", "c=put,d=500,k=1", "v"), "PUT")
	tc.node.stopIdempotency(time.Now().Add(time.Second))
	began := time.Now()
	tc.expectPrefix(tc.request("KV.SET", "k", "2", "c=put,d=500,k=2", "v"), "-BUSY ")
	if took := time.Since(began); took > 100*time.Millisecond {
		t.Errorf("the request is rejected after %v", took)
	}
}

// A request that needs a claim waits while the predecessor holds the address of the replica. It is executed if the address is released in
// time, and rejected otherwise.
func TestClaimsWaitForReplicaAddress(t *testing.T) {
	var occupied net.PacketConn
	tc := newTestCluster(t, 1, serveHit, echoOrigin, singleReplica(t, func(section *operatorfile.Idempotency) {
		var err error
		if occupied, err = net.ListenPacket("udp4", section.Members[0]); err != nil {
			t.Fatal(err)
		}
	}))
	fastest := time.Second // the fastest of four requests, since the machine may be busy
	for i := range 4 {
		began := time.Now()
		tc.expectPrefix(tc.request("KV.SET", "k", fmt.Sprint("0", i), "c=put,d=80,k=1", "v"), "-BUSY ")
		fastest = min(fastest, time.Since(began))
	}
	if fastest > 78*time.Millisecond {
		t.Errorf("requests with 80 ms are rejected after %v at the soonest", fastest)
	}
	began := time.Now()
	tc.expectPrefix(tc.request("KV.SET", "k", "1", "c=put,d=500,k=1", "v"), "-BUSY ")
	if took := time.Since(began); took < 100*time.Millisecond || took > 400*time.Millisecond {
		t.Errorf("it is rejected after %v", took)
	}
	time.AfterFunc(50*time.Millisecond, func() { closeQuietly(occupied) })
	tc.expectPrefix(tc.request("KV.SET", "k", "2", "c=put,d=500,k=1", "v"), "PUT")
}

// A replica whose data directory cannot be opened at the start, because of a system error and not of its contents, stores records once it can
// be opened.
func TestReplicaOpensDataDirAfterTransientError(t *testing.T) {
	var dir string
	tc := newTestCluster(t, 1, serveHit, echoOrigin, singleReplica(t, func(section *operatorfile.Idempotency) {
		dir = section.DataDir + "-later"
		section.DataDir = dir
		if err := os.WriteFile(dir, nil, 0o600); err != nil { // a file in place of the directory
			t.Fatal(err)
		}
	}))
	tc.expectPrefix(tc.request("KV.SET", "k", "1", "c=put,d=300,k=1", "v"), "-BUSY ")
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	owner := storage.Owner{Group: "b"}
	if err := storage.Create(dir, owner, 7); err != nil {
		t.Fatal(err)
	}
	answer := ""
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline) && !strings.HasPrefix(answer, "PUT"); time.Sleep(50 * time.Millisecond) {
		answer = tc.request("KV.SET", "k", fmt.Sprint("again", time.Now().UnixNano()), "c=put,d=500,k=2", "v")
	}
	tc.expectPrefix(answer, "PUT")
}
