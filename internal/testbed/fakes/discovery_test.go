package fakes

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// poll requests a URL of the discovery service.
func poll(url string) (status int, list string, err error) {
	response, err := http.Get(url)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), errors.Join(err, response.Body.Close())
}

func listURL(d *Discovery, node int) string { return "http://" + d.Addr(node) + membersPath }

// watch starts a watch and returns a scanner of its lines. The watch is closed when the test ends.
func watch(t *testing.T, d *Discovery, node, from int) *bufio.Scanner {
	t.Helper()
	response, err := http.Get(fmt.Sprintf("%s?watch=1&from=%d", listURL(d, node), from))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeOrFail(t, response.Body) })
	return bufio.NewScanner(response.Body)
}

func TestDiscovery(t *testing.T) {
	fleet, cache, _ := startFleet(t)
	d := fleet.Discovery
	lines := watch(t, d, 1, 0)
	if !lines.Scan() || strings.Count(lines.Text(), "in_service") != 3 || !strings.Contains(lines.Text(), `"complete":true`) ||
		!strings.Contains(lines.Text(), cache.Addr(1)) || strings.Contains(lines.Text(), cache.Addr(0)) {
		t.Fatalf("the list is %q", lines.Text())
	}
	d.SetDelay(80 * time.Millisecond)
	start := time.Now()
	d.SetPhase(cache, Terminating)
	for lines.Scan() && lines.Text() == "" {
	}
	if !strings.Contains(lines.Text(), `"phase":"terminating"`) || strings.Contains(lines.Text(), "box-1") || time.Since(start) < 80*time.Millisecond {
		t.Errorf("the update after %v is %q", time.Since(start), lines.Text())
	}
	notifications := d.Notifications()
	if last := notifications[len(notifications)-1]; last.Node != 1 || last.Phase != Terminating || last.Server != cache.ID() {
		t.Errorf("the last notification is %+v", last)
	}
	d.SetDelay(0)
	testReplacement(t, fleet, cache)
	d.ResetRevision()
	afterReset := watch(t, d, 0, 40)
	if !afterReset.Scan() || !strings.Contains(afterReset.Text(), `"revision":4`) || !strings.Contains(afterReset.Text(), `"complete":true`) {
		t.Errorf("a watch after the revision was reset: %q", afterReset.Text())
	}
	d.SetUnavailable(true)
	if status, _, err := poll(listURL(d, 0)); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("a poll of an unavailable service: %v, %v", status, err)
	}
	for afterReset.Scan() { // the watch ends
	}
	d.SetUnavailable(false)
	oldURL := listURL(d, 0)
	if err := d.Relocate(); err != nil {
		t.Fatal(err)
	}
	if _, _, err := poll(oldURL); err == nil {
		t.Error("the old address still responds")
	}
	if status, _, err := poll(listURL(d, 0)); err != nil || status != http.StatusOK {
		t.Errorf("a poll of the new address: %v, %v", status, err)
	}
}

// testReplacement replaces a server by one with another id. A poll notifies node 0 of it.
func testReplacement(t *testing.T, fleet *Fleet, cache *Server) {
	t.Helper()
	d := fleet.Discovery
	cache.Kill()
	d.SetPhase(cache, Terminated)
	cache.AssignNewID()
	if err := cache.Restart(false); err != nil {
		t.Fatal(err)
	}
	d.SetPhase(cache, InService)
	_, list, err := poll(listURL(d, 0))
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(list, `"box-0"`) || !strings.Contains(list, `"box-0.1"`) {
		t.Errorf("the list after a replacement is %s", list)
	}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if !cache.notifiedOfStart(0, NowMs()) {
		t.Error("node 0 does not count as notified of the start")
	}
}
