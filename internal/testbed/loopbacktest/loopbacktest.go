// Package loopbacktest starts servers of tests on the loopback network of the test's process. Only test files may import it.
package loopbacktest

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"mintspring/internal/testbed/loopback"
)

// Listen is loopback.Listen, which fails the test where it fails. The caller closes the listener.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// StartServer is httptest.NewServer on a listener of Listen. The caller ends the server.
func StartServer(t testing.TB, handler http.Handler) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	if err := server.Listener.Close(); err != nil { // httptest has it listen on an address of all processes
		t.Fatal(err)
	}
	server.Listener = Listen(t)
	server.Start()
	return server
}
