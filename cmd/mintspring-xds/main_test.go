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

// operatorFileEnv names the operator file of a test binary that runs as the control plane.
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

// configJSON is a configuration with the address of discovery.
func configJSON(discovery string) string {
	return fmt.Sprintf(`{"name":"c0","listen":"127.0.0.1:1","discovery":%q,"seed":"07","settings":{"FailureDomains":["a","b"],"Kinds":["box","origin"],
	 "Workloads":[{"Name":"read","Effect":"pure","SloTime":200000,"StatementTimeout":1000000,"Importance":1}],"PolicyLimits":{"MaxExecutions":4},
	 "FamilyInfo":{"Mode":"aside","OriginKind":1},"Guarantees":{"StopSendingWithin":500000,"MustAskIn":5000000}}}`, discovery)
}

// process is a control plane that runs as a process of its own.
type process struct {
	t     *testing.T
	cmd   *exec.Cmd
	ended chan struct{} // closed when it has ended
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

// signal sends a signal to the process, which has to run.
func (p *process) signal(sig os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		p.t.Fatal(err)
	}
}

// kill kills the process, if it still runs, and waits for its end.
func (p *process) kill() {
	p.t.Helper()
	if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Error(err)
	}
	<-p.ended
}

// versionRecorder records the versions of the snapshots that a proxy applies.
type versionRecorder struct {
	mu       sync.Mutex // guards versions
	versions []snapshot.Version
}

func (r *versionRecorder) record(version snapshot.Version, _ uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions = append(r.versions, version)
}

// check checks that no snapshot was older than the one before, and returns the last version.
func (r *versionRecorder) check(t *testing.T) (last snapshot.Version) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, version := range r.versions {
		if version.Before(last) {
			t.Errorf("a snapshot was applied that is older than the one before: %v", r.versions)
		}
		last = version
	}
	return last
}

// waitForServers waits until a proxy holds a usable snapshot of some servers, with a version after another.
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
	t.Fatalf("holds snapshot %v with %d servers, wants %d after %v", version, count, servers, after)
}

// startCatalog starts a fake discovery service with some servers.
func startCatalog(t *testing.T, servers int) *fakediscovery.Server {
	t.Helper()
	var all []string
	for i := range servers {
		all = append(all, fakediscovery.EndpointJSON(i, []string{"a", "b"}[i%2], "in_service", 0))
	}
	catalog, err := fakediscovery.Start(all)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(catalog.Close)
	return catalog
}

// TestControlPlaneProcess checks that proxies follow a control plane which is killed and restarted without going back to an older
// snapshot, that SIGHUP switches it to another endpoint list, and that show prints what it sends.
func TestControlPlaneProcess(t *testing.T) {
	dir := t.TempDir()
	first, second := startCatalog(t, 6), startCatalog(t, 9)
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
		t.Errorf("a cluster that does not exist: %v", err)
	}

	plane.kill()
	last := applied.check(t)
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
		t.Error("it does not end")
	}
	applied.check(t)
}

// TestCheck checks that check prints all errors of both files, or what would be in effect.
func TestCheck(t *testing.T) {
	dir := t.TempDir()
	good := writeFile(t, filepath.Join(dir, "good.json"), configJSON("127.0.0.1:2"))
	bad := writeFile(t, filepath.Join(dir, "bad.json"), `{"name":"c0"}`)
	off := writeFile(t, filepath.Join(dir, "off.toml"), "listen = \"0.0.0.0:1\"\n")
	none := writeFile(t, filepath.Join(dir, "none.toml"), "[tls]\ncert=\"c\"\nkey=\"k\"\nclients=\"l\"\npeers=[\"p\"]\n")
	renamed := writeFile(t, filepath.Join(dir, "renamed.toml"), "gather = \"50ms\"\n")
	for _, c := range []struct {
		files configFiles
		ok    bool
		want  []string
	}{
		{configFiles{Config: good}, true, []string{"cluster mintspring", "plain text", "lease 400ms"}},
		{configFiles{good, renamed}, true, []string{"renamed.toml:1: gather is deprecated, use batch_interval", "batch interval 50ms"}},
		{configFiles{bad, off}, false, []string{"bad.json", "off.toml:1: listen"}},
		{configFiles{good, none}, false, []string{"c, k: "}},
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

// TestReloadOfTruncatedConfiguration checks that a configuration which can be parsed, and lacks a key of the active one, changes nothing.
func TestReloadOfTruncatedConfiguration(t *testing.T) {
	dir := t.TempDir()
	complete := configJSON(startCatalog(t, 1).Addr)
	file := writeFile(t, filepath.Join(dir, "config.json"), complete)
	command := &runCmd{configFiles{Config: file}}
	active, err := command.readConfiguration()
	if err != nil {
		t.Fatal(err)
	}
	addr, err := loopback.AnyPort()
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
	log := logrus.New() // the goroutines of the plane write to another one
	log.SetOutput(&lines)

	writeFile(t, file, strings.Replace(complete, `,"Importance":1`, "", 1))
	if _, err := command.readConfiguration(); err != nil {
		t.Fatalf("the truncated configuration cannot be parsed: %v", err)
	}
	if command.reload(active, plane, log) != active || !strings.Contains(lines.String(), "Importance: missing") {
		t.Errorf("a truncated configuration is taken over, log %s", &lines)
	}
	writeFile(t, file, complete)
	if command.reload(active, plane, log) == active {
		t.Errorf("a complete configuration is not taken over, log %s", &lines)
	}
}
