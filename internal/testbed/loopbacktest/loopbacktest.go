// Package loopbacktest starts test servers on the loopback network of the test process. Only test files may import it.
package loopbacktest

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"mintspring/internal/testbed/loopback"
)

// Listen calls loopback.Listen and fails the test on an error. The caller closes the listener.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// StartServer works as httptest.NewServer, but listens on an address of Listen. The caller closes the server.
func StartServer(t testing.TB, handler http.Handler) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(handler)
	if err := server.Listener.Close(); err != nil { // httptest's own listener uses 127.0.0.1, which all processes share
		t.Fatal(err)
	}
	server.Listener = Listen(t)
	server.Start()
	return server
}
