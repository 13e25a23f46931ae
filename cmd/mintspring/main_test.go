package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mintspring/internal/config/platform"
	"mintspring/internal/testbed/loopback"
	"mintspring/internal/testbed/loopbacktest"
	"mintspring/internal/testbed/reservedport"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"revision":41,"complete":true,"members":[{"id":"s"}]},
 "settings":{"Workloads":[{"Name":"read","SloTime":1000,"StatementTimeout":2000}]},"later":[1]}`

func loadConfig(t *testing.T, text string) (*platform.Config, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, file, text)
	return platform.Load(fileFlags{Config: file}.getenv)
}

// signalSelf sends a signal to the test's own process.
func signalSelf(t *testing.T, sig syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), sig); err != nil {
		t.Fatal(err)
	}
}

// TestSignals checks that SIGHUP never ends the process, and that SIGTERM stops it after any number of SIGHUPs, also when the
// configuration file is gone.
func TestSignals(t *testing.T) {
	writeEndpointList := func(w http.ResponseWriter) {
		// An error means that the node has closed the connection.
		_, _ = fmt.Fprintln(w, `{"revision":1,"complete":true,"members":[{"id":"s","host_port":"127.0.0.1:9","phase":"in_service"}]}`)
	}
	requested := make(chan struct{})
	var once sync.Once
	firstService := loopbacktest.StartServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeEndpointList(w) }))
	defer firstService.Close()
	secondService := loopbacktest.StartServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		once.Do(func() { close(requested) })
		writeEndpointList(w)
	}))
	defer secondService.Close()
	port, err := reservedport.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	defer closeAll(port)
	file := filepath.Join(t.TempDir(), "config.json")
	writeConfig := func(discovery string) {
		writeFile(t, file, strings.NewReplacer("127.0.0.1:1\"", port.Addr()+"\"", "127.0.0.1:2\"", discovery+"\"").Replace(validConfig))
	}
	writeConfig(firstService.Listener.Addr().String())
	t.Setenv(configEnv, file)
	ended := make(chan error, 1)
	go func() { ended <- (&runCmd{}).Run() }()
	eventually(t, 2*testTimeout, func() error {
		conn, err := net.Dial("tcp", port.Addr())
		if err == nil {
			closeAll(conn)
		}
		return err
	})
	writeConfig(secondService.Listener.Addr().String())
	signalSelf(t, syscall.SIGHUP)
	signalSelf(t, syscall.SIGHUP)
	select {
	case <-requested:
	case err := <-ended:
		t.Fatalf("ended: %v", err)
	case <-time.After(2 * testTimeout):
		t.Fatal("the new discovery service is not requested")
	}
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	signalSelf(t, syscall.SIGHUP)
	signalSelf(t, syscall.SIGTERM)
	signalSelf(t, syscall.SIGHUP)
	signalSelf(t, syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(2 * testTimeout):
		t.Error("the node does not stop")
	}
}

// TestListenWaitsForAddress checks that listen waits until an address is no longer in use.
func TestListenWaitsForAddress(t *testing.T) {
	anyPort, err := loopback.EphemeralAddr()
	if err != nil {
		t.Fatal(err)
	}
	holder, err := listen(anyPort, 0)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(50*time.Millisecond, func() { closeAll(holder) })
	ln, err := listen(holder.Addr().String(), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer closeAll(ln)
	if _, err := listen(ln.Addr().String(), 0); err == nil {
		t.Error("two listeners on one address")
	}
}
