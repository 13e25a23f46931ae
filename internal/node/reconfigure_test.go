package node

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"mintspring/internal/config/settings"
	"mintspring/internal/fleet"
)

// New settings apply while requests are in flight: a new class is known at once and its rules apply, a removed class is an error for new
// requests, and a request in flight keeps the class under which it arrived.
func TestReconfigure(t *testing.T) {
	release := make(chan struct{})
	var executions atomic.Int64
	tc := newTestCluster(t, 2, func(c redcon.Conn, key, id string) {
		if strings.HasPrefix(key, "held") {
			executions.Add(1)
			<-release
			c.WriteRaw([]byte("-ERR failed\r\n"))
			return
		}
		serveHit(c, key, id)
	}, func(rw http.ResponseWriter, req *http.Request) {
		executions.Add(1)
		if strings.HasPrefix(req.URL.Path, "/held") {
			<-release
		}
		rw.WriteHeader(500)
	})
	// By the classes under which they arrived, the read may be retried and the payment may not.
	answers := make(chan string, 2)
	for i, extra := range []string{"c=pay,d=550", "c=read,d=550"} {
		go func() {
			command, value := []string{"KV.SET", "KV.GET"}[i], [][]string{{"v"}, nil}[i]
			answers <- extra[:5] + tc.request(command, "held", extra, extra, value...)
		}()
	}
	for deadline := time.Now().Add(5 * time.Second); executions.Load() < 2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	tc.reconfigure(`"Name":"pay","Effect":"side_effect"`, `"Name":"pay","Effect":"pure"`)
	tc.expectPrefix(tc.request("KV.GET", "k", "1", "c=read,d=500"), "hit")
	close(release)
	for range 2 {
		// The payment may have been executed. It is aborted, though the class with its name is idempotent now.
		if got := <-answers; strings.HasPrefix(got, "c=pay") && got != "c=pay-ERR it may or may not have been carried out" {
			t.Errorf("answered %q", got)
		}
	}
	executions.Store(0)
	tc.request("KV.SET", "again", "2", "c=pay,d=500", "v")
	if executions.Load() < 2 {
		t.Error("a request of a class that is idempotent now is not retried")
	}
	tc.reconfigure(`{"Name":"read","Effect":"pure"`, `{"Name":"look","Effect":"pure"`)
	tc.expectPrefix(tc.request("KV.GET", "k", "3", "c=look,d=500"), "hit")
	tc.expectPrefix(tc.request("KV.GET", "k", "4", "c=read,d=500"), "-ERR class 'read' is not known")
	executions.Store(0)
	tc.reconfigure(`"MaxExecutions":4`, `"MaxExecutions":1`)
	tc.request("KV.SET", "once", "5", "c=put,d=500,k=1", "v")
	if n := executions.Load(); n != 1 {
		t.Errorf("executed %d times where one attempt is allowed", n)
	}
	if n := len(tc.node.classes.Classes()); n > 9 {
		t.Errorf("%d ids", n)
	}
}

// reconfigure replaces old in settingsText and applies the result to the node.
func (tc *testCluster) reconfigure(old, replacement string) {
	tc.t.Helper()
	deployment, err := settings.Parse([]byte(strings.Replace(settingsText, old, replacement, 1)), 7)
	if err != nil {
		tc.t.Fatal(err)
	}
	if err := tc.node.Reconfigure(deployment); err != nil {
		tc.t.Fatal(err)
	}
}

// The slot of a removed server is kept for as long as any request may refer to it, including requests that arrive after timeouts were raised
// and those that arrived before timeouts were lowered.
func TestSlotsOutliveRequestsUnderOtherSettings(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin)
	retention := func() (ms float64) {
		tc.onLoop(func(float64) { ms = tc.node.serverTable.Retention })
		return ms
	}
	initial := retention()
	tc.reconfigure(`"StatementTimeout":600000`, `"StatementTimeout":9000000`)
	if extended := retention(); extended < 9000 {
		t.Errorf("with timeouts of 9 s slots are kept for %.0f ms", extended)
	}
	tc.reconfigure(`"StatementTimeout":600000`, `"StatementTimeout":300000`)
	if reduced := retention(); reduced < 9000 || initial > reduced {
		t.Errorf("beside requests of 9 s slots are kept for %.0f ms", reduced)
	}
}

// A request that was written before a reload made its class idempotent, and is read after it, was written as one that must not be repeated: it
// is executed once at the most. It waits unread behind other commands of its client.
func TestUnreadRequestKeepsItsClass(t *testing.T) {
	release := make(chan struct{})
	var sales atomic.Int64
	tc := newTestCluster(t, 2, func(c redcon.Conn, _, _ string) {
		<-release
		c.WriteRaw([]byte("-ERR failed\r\n"))
	}, func(rw http.ResponseWriter, req *http.Request) {
		if strings.HasPrefix(req.URL.Path, "/sale") {
			sales.Add(1)
		}
		rw.WriteHeader(http.StatusInternalServerError)
	})
	c := tc.dial()
	const ahead = 64 // as many as a connection has in flight
	for i := range ahead {
		writeBytes(c, command("KV.GET", "held", fmt.Sprint("ahead", i), "c=read,d=900"))
	}
	writeBytes(c, command("KV.SET", "sale", "late", "c=pay,d=900", "v"))
	time.Sleep(50 * time.Millisecond)
	tc.reconfigure(`"Name":"pay","Effect":"side_effect"`, `"Name":"pay","Effect":"pure"`)
	close(release)
	for in := bufio.NewReader(c); sales.Load() < 2; {
		if err := c.SetReadDeadline(time.Now().Add(500 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		if _, err := in.ReadString('\n'); err != nil {
			break
		}
	}
	if n := sales.Load(); n > 1 {
		t.Errorf("the request was executed %d times", n)
	}
}

// A server that a complete list does not name stays removed when its endpoint is derived again, by new settings, an operator's command or imported
// exclusions: once it was ready again, for good. It is ready when an update names it.
func TestRemovedServerStaysRemoved(t *testing.T) {
	tc := newTestCluster(t, 2, serveHit, echoOrigin)
	state := func() (state fleet.State) {
		tc.onLoop(func(float64) { state = tc.node.serverTable.State(tc.node.serverTable.SlotByID["s1"]) })
		return state
	}
	kept := entry("s0", tc.cacheAddrs[0], "box") + "," + entry("o", tc.originAddr, "origin")
	tc.listUpdates <- `{"revision":2,"complete":true,"members":[` + kept + `]}`
	waitFor(t, "the server to be removed", func() bool { return state() == fleet.Gone })
	for _, step := range []struct {
		name string
		do   func()
	}{
		{"new settings", func() { tc.reconfigure(`"MaxExecutions":4`, `"MaxExecutions":3`) }},
		{"the same settings", func() { tc.reconfigure(`"MaxExecutions":4`, `"MaxExecutions":4`) }},
		{"an exclusion and its end", func() {
			for _, command := range []string{commandExclude, commandReadmit} {
				if _, err := tc.node.execute(command, "s1"); err != nil {
					t.Error(err)
				}
			}
		}},
		{"imported exclusions", func() { tc.onLoop(tc.node.reapplyEndpoints) }},
		{"the same list", func() { tc.listUpdates <- `{"revision":3,"complete":true,"members":[` + kept + `]}` }},
		{"new settings again", func() { tc.reconfigure(`"MaxExecutions":4`, `"MaxExecutions":2`) }},
	} {
		step.do()
		tc.expectNoRequestsTo(1, step.name)
		if got := state(); got != fleet.Gone {
			t.Errorf("after %s the removed server is in state %v", step.name, got)
		}
	}
	tc.listUpdates <- `{"revision":4,"complete":false,"members":[` + entry("s1", tc.cacheAddrs[1], "box") + `]}`
	waitFor(t, "the server to be ready", func() bool { return state() == fleet.Ready })
}

// expectNoRequestsTo sends reads of many keys, and expects that the cache server with an index has no connection for them.
func (tc *testCluster) expectNoRequestsTo(index int, after string) {
	tc.t.Helper()
	for i := range 30 {
		tc.expectPrefix(tc.request("KV.GET", fmt.Sprint("k", i), strings.ReplaceAll(fmt.Sprint(after, i), " ", "-"), "c=read,d=500"), "hit")
	}
	tc.onLoop(func(float64) {
		id := tc.node.serverTable.SlotByID[fmt.Sprint("s", index)]
		if open := tc.node.servers[id].endpoint.State().Open; open > 0 {
			tc.t.Errorf("after %s there are %d connections to a removed server", after, open)
		}
	})
}
