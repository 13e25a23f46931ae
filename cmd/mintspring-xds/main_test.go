package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/controlplane/client"
	"mintspring/internal/controlplane/config"
	"mintspring/internal/controlplane/ringcache"
	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/testbed/fakediscovery"
	"mintspring/internal/testbed/fakeproxy"
	"mintspring/internal/testbed/loopback"
	"mintspring/internal/testbed/reservedport"
)

// operatorFileEnv is the environment variable that makes the test binary run as the control plane. It names the operator file.
const operatorFileEnv = "MINTCONTROL_TEST_OPERATOR"

func TestMain(m *testing.M) {
	if op := os.Getenv(operatorFileEnv); op != "" {
		ctx := context.Background()
		if err := (&runCmd{configFiles{Operator: op}}).Run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// writeFile writes a file and returns its name.
func writeFile(t *testing.T, file, text string) string {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// configJSON returns a configuration with the given discovery address.
func configJSON(discovery string) string {
	return fmt.Sprintf(`{"name":"c0","listen":"127.0.0.1:1","discovery":%q,"seed":"07","settings":{"FailureDomains":["a","b"],"Kinds":["box","origin"],
	 "Workloads":[{"Name":"read","Effect":"pure","SloTime":200000,"StatementTimeout":1000000,"Importance":1}],"PolicyLimits":{"MaxExecutions":4},
	 "FamilyInfo":{"Mode":"aside","OriginKind":1},"Guarantees":{"StopSendingWithin":500000,"MustAskIn":5000000}}}`, discovery)
}

// process is a control plane in a separate process.
type process struct {
	t     *testing.T
	cmd   *exec.Cmd
	ended chan struct{} // closed when the process has ended
}

// startProcess starts a control plane, which is killed at the end of the test.
func startProcess(t *testing.T, config, operator string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(os.Args[0]), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), operatorFileEnv+"="+operator, configVariable+"="+config)
	log := &bytes.Buffer{}
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.ended)
		_ = p.cmd.Wait() // killed processes end with an error
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s", log)
		}
	})
	return p
}

// signal sends a signal to the process, which must be running.
func (p *process) signal(sig os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		p.t.Fatal(err)
	}
}

// kill kills the process if it is still running, and waits until it has ended.
func (p *process) kill() {
	p.t.Helper()
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Error(err)
	}
	<-p.ended
}

// versionRecorder records the versions of the snapshots that a proxy has applied.
type versionRecorder struct {
	mu       sync.Mutex // guards versions
	versions []snapshot.Version
}

func (r *versionRecorder) record(version snapshot.Version, _ uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions = append(r.versions, version)
}

// checkOrder checks that no snapshot was older than the previous one, and returns the last version.
func (r *versionRecorder) checkOrder(t *testing.T) (last snapshot.Version) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, version := range r.versions {
		if version.Before(last) {
			t.Errorf("a snapshot was applied after a newer one: %v", r.versions)
		}
		last = version
	}
	return last
}

// waitForServers waits until a proxy holds a usable snapshot with a number of servers and a version newer than after.
func waitForServers(t *testing.T, p *fakeproxy.Proxy, servers int, after snapshot.Version) {
	t.Helper()
	var version snapshot.Version
	count, done := 0, false
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		p.WithCache(func(cache *ringcache.Cache, usable bool) {
			version, _ = cache.Version()
			count = len(cache.Servers())
			done = usable && count == servers && after.Before(version)
		})
		if done {
			return
		}
	}
	t.Fatalf("proxy holds snapshot %v with %d servers, want %d servers after %v", version, count, servers, after)
}

// startDiscovery starts a fake discovery service with a number of servers.
func startDiscovery(t *testing.T, servers int) *fakediscovery.Server {
	t.Helper()
	var endpoints []string
	for i := range servers {
		endpoints = append(endpoints, fakediscovery.EndpointJSON(i, []string{"a", "b"}[i%2], "in_service", 0))
	}
	server, err := fakediscovery.Start(endpoints)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

// TestControlPlaneProcess checks that a proxy does not return to an older snapshot when the control plane is killed and restarted, that
// SIGHUP applies a new discovery address and ignores an invalid configuration, that SIGTERM ends the process, and that show gets a
// snapshot.
func TestControlPlaneProcess(t *testing.T) {
	dir := t.TempDir()
	first, second := startDiscovery(t, 6), startDiscovery(t, 9)
	reserved, err := reservedport.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := reserved.Close(); err != nil {
			t.Error(err)
		}
	})
	addr := reserved.Addr()
	config := writeFile(t, filepath.Join(dir, "config.json"), configJSON(first.Addr))
	operator := writeFile(t, filepath.Join(dir, "control.toml"),
		fmt.Sprintf("listen = %q\n[snapshot]\ndata_dir = %q\ninterval = \"1s\"\n", addr, filepath.Join(dir, "learnt")))
	plane := startProcess(t, config, operator)

	var applied versionRecorder
	p := fakeproxy.Start(client.Config{
		Addr: addr, Cluster: "mintspring", NodeID: "p", Zone: "a", Incremental: true, OnApplied: applied.record,
	}, time.Millisecond, 1)
	defer p.Close()
	waitForServers(t, p, 6, snapshot.Version{})
	show := &showCmd{Addr: addr, Cluster: "mintspring", Zone: "b", Within: 5 * time.Second, Keys: []string{"greeting"}}
	if err := show.Run(context.Background()); err != nil {
		t.Error(err)
	}
	other := &showCmd{Addr: addr, Cluster: "other", Within: 300 * time.Millisecond}
	if err := other.Run(context.Background()); !errors.Is(err, errNoSnapshot) {
		t.Errorf("nonexistent cluster: got error %v, want no usable snapshot", err)
	}

	plane.kill()
	last := applied.checkOrder(t)
	plane = startProcess(t, config, operator)
	waitForServers(t, p, 6, last)
	writeFile(t, config, configJSON(second.Addr))
	plane.signal(syscall.SIGHUP)
	waitForServers(t, p, 9, last)
	writeFile(t, config, "{")
	plane.signal(syscall.SIGHUP)
	second.Publish(fakediscovery.EndpointJSON(1, "b", "terminating", 0))
	p.WithCache(func(cache *ringcache.Cache, _ bool) { last, _ = cache.Version() })
	waitForServers(t, p, 9, last)
	plane.signal(syscall.SIGTERM)
	select {
	case <-plane.ended:
	case <-time.After(5 * time.Second):
		t.Error("the process does not end after SIGTERM")
	}
	applied.checkOrder(t)
}

// TestCheck checks that the check command prints all errors in both files, or else the settings that would be in effect.
func TestCheck(t *testing.T) {
	dir := t.TempDir()
	validConfig := writeFile(t, filepath.Join(dir, "good.json"), configJSON("127.0.0.1:2"))
	invalidConfig := writeFile(t, filepath.Join(dir, "bad.json"), `{"name":"c0"}`)
	plainTextOperator := writeFile(t, filepath.Join(dir, "off.toml"), "listen = \"0.0.0.0:1\"\n")
	missingCertOperator := writeFile(t, filepath.Join(dir, "none.toml"), "[tls]\ncert=\"c\"\nkey=\"k\"\nclients=\"l\"\npeers=[\"p\"]\n")
	deprecatedKeyOperator := writeFile(t, filepath.Join(dir, "renamed.toml"), "gather = \"50ms\"\n")
	for _, c := range []struct {
		files configFiles
		ok    bool
		want  []string
	}{
		{configFiles{Config: validConfig}, true, []string{"cluster mintspring", "plain text", "lease 400ms"}},
		{configFiles{validConfig, deprecatedKeyOperator}, true, []string{"renamed.toml:1: gather is deprecated, use batch_interval", "batch interval 50ms"}},
		{configFiles{invalidConfig, plainTextOperator}, false, []string{"bad.json", "off.toml:1: listen"}},
		{configFiles{validConfig, missingCertOperator}, false, []string{"c, k: "}},
	} {
		var out strings.Builder
		if err := checkFiles(c.files, &out); (err == nil) != c.ok {
			t.Errorf("%+v: %v", c.files, err)
		}
		for _, w := range c.want {
			if !strings.Contains(out.String(), w) {
				t.Errorf("%+v prints %q, want %q", c.files, out.String(), w)
			}
		}
	}
}

// TestReloadOfTruncatedConfiguration checks that a reload keeps the active configuration if the new one parses but lacks a key.
func TestReloadOfTruncatedConfiguration(t *testing.T) {
	dir := t.TempDir()
	complete := configJSON(startDiscovery(t, 1).Addr)
	file := writeFile(t, filepath.Join(dir, "config.json"), complete)
	command := &runCmd{configFiles{Config: file}}
	active, err := command.readConfiguration()
	if err != nil {
		t.Fatal(err)
	}
	addr, err := loopback.EphemeralAddr()
	if err != nil {
		t.Fatal(err)
	}
	operator, err := config.Read(writeFile(t, filepath.Join(dir, "control.toml"), fmt.Sprintf("listen = %q\n", addr)))
	if err != nil {
		t.Fatal(err)
	}
	plane, err := startControlPlane(active, operator, logrus.New())
	if err != nil {
		t.Fatal(err)
	}
	defer plane.stop()
	var lines bytes.Buffer
	log := logrus.New() // separate from the control plane's logger, whose goroutines write concurrently
	log.SetOutput(&lines)

	writeFile(t, file, strings.Replace(complete, `,"Importance":1`, "", 1))
	if _, err := command.readConfiguration(); err != nil {
		t.Fatalf("the truncated configuration cannot be parsed: %v", err)
	}
	if command.reload(active, plane, log) != active || !strings.Contains(lines.String(), "Importance: missing") {
		t.Errorf("a truncated configuration was applied, or its error not logged; log %s", &lines)
	}
	writeFile(t, file, complete)
	if command.reload(active, plane, log) == active {
		t.Errorf("a complete configuration was not applied; log %s", &lines)
	}
}
