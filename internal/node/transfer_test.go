package node

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"mintspring/internal/node/hotrestart"
	"mintspring/internal/testbed/loopbacktest"
)

// silentService is the address of a discovery service that accepts calls and sends nothing.
func silentService(t *testing.T) string {
	t.Helper()
	service := loopbacktest.StartServer(t, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() }))
	t.Cleanup(service.CloseClientConnections)
	return strings.TrimPrefix(service.URL, "http://")
}

// stateFor returns the state for a successor.
func (tc *testCluster) stateFor() (state hotrestart.State) {
	tc.t.Helper()
	tc.onLoop(func(now float64) { state = tc.node.stateTransfer(now) })
	return state
}

// The state for a successor names the service that sent the list. A node that has switched to another one, which has not sent a list
// yet, once named that one, with the revision of the first: the successor then watched the second from a revision of the first.
func TestStateNamesSourceOfList(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin)
	if state := tc.stateFor(); state.DiscoveryAddr != tc.node.discovery.Addr || state.Endpoints.Revision != 1 {
		t.Errorf("revision %d of %q", state.Endpoints.Revision, state.DiscoveryAddr)
	}
	other := silentService(t)
	tc.node.SetDiscovery(other)
	if state := tc.stateFor(); state.DiscoveryAddr == other {
		t.Errorf("revision %d is said to be of %q, which has sent no list", state.Endpoints.Revision, other)
	}
}

// The race detector reports a state that is exported, or restored, while the node switches to another discovery service.
func TestSwitchOfDiscoveryDuringTransfer(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin)
	other := silentService(t)
	state := tc.stateFor()
	var wg sync.WaitGroup
	wg.Go(func() {
		for range 20 {
			tc.node.SetDiscovery(other)
		}
	})
	for range 20 {
		tc.onLoop(func(now float64) { tc.node.restoreTransfer(now, &state) })
		tc.stateFor()
	}
	wg.Wait()
}
