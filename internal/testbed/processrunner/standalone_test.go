package processrunner

import (
	"strings"
	"testing"

	"github.com/tidwall/redcon"

	"mintspring/internal/testbed/loopbacktest"
)

// A fleet whose node is to serve at an address in use does not start. The process that serves there, which answers PING, was once taken for the
// node.
func TestStandaloneNodeAtAddressInUse(t *testing.T) {
	other := loopbacktest.Listen(t)
	t.Cleanup(func() { _ = other.Close() })
	go func() {
		_ = redcon.Serve(other, func(c redcon.Conn, _ redcon.Command) { c.WriteString("PONG") }, nil, nil) // ends with the listener
	}()
	x := parseExperiment(t, smallExperiment(t))
	fleet, err := StartStandalone(x, []string{other.Addr().String()}, t.TempDir(), []string{"sleep", "60"})
	if err == nil {
		fleet.Close()
	}
	if err == nil || !strings.Contains(err.Error(), other.Addr().String()) {
		t.Errorf("started: %v", err)
	}
}
