package node

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"mintspring/internal/node/hotrestart"
	"mintspring/internal/testbed/loopbacktest"
)

// silentService returns the address of a discovery service that accepts calls and sends nothing.
func silentService(t *testing.T) string {
	t.Helper()
	service := loopbacktest.StartServer(t, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }))
	t.Cleanup(service.CloseClientConnections)
	return strings.TrimPrefix(service.URL, "http://")
}

// successorState returns the state for a successor.
func (tc *testCluster) successorState() (state hotrestart.State) {
	tc.t.Helper()
	tc.onLoop(func(now float64) { state = tc.node.stateTransfer(now) })
	return state
}

// The state for a successor has the address of the discovery service that sent the list. After a switch to another service that had not sent
// a list yet, the state used to have the new address with the old revision, from which the successor then watched the new service.
func TestStateHasSourceOfEndpointList(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin)
	if state := tc.successorState(); state.DiscoveryAddr != tc.node.discovery.Addr || state.Endpoints.Revision != 1 {
		t.Errorf("revision %d of %q", state.Endpoints.Revision, state.DiscoveryAddr)
	}
	other := silentService(t)
	tc.node.SetDiscovery(other)
	if state := tc.successorState(); state.DiscoveryAddr == other {
		t.Errorf("revision %d is said to be of %q, which has sent no list", state.Endpoints.Revision, other)
	}
}

// Exporting or restoring state while the node switches to another discovery service is free of data races, as the race detector checks.
func TestSwitchOfDiscoveryDuringTransfer(t *testing.T) {
	tc := newTestCluster(t, 1, serveHit, echoOrigin)
	other := silentService(t)
	state := tc.successorState()
	var wg sync.WaitGroup
	wg.Go(func() {
		for range 20 {
			tc.node.SetDiscovery(other)
		}
	})
	for range 20 {
		tc.onLoop(func(now float64) { tc.node.restoreTransfer(now, &state) })
		tc.successorState()
	}
	wg.Wait()
}

// The state for a successor has the revision of the list that it contains. A change that the discovery client has received, and that the loop has
// not applied yet, used to raise the revision only, so that the successor never heard of the change.
func TestStateHasRevisionOfItsList(t *testing.T) {
	tc := newTestCluster(t, 2, serveHit, echoOrigin)
	entered, resume := make(chan struct{}), make(chan struct{})
	var state hotrestart.State
	transferred := make(chan struct{})
	go func() {
		defer close(transferred)
		tc.onLoop(func(now float64) {
			close(entered)
			<-resume
			state = tc.node.stateTransfer(now)
		})
	}()
	<-entered
	tc.listUpdates <- `{"revision":2,"complete":false,"members":[{"id":"s1","phase":"terminating"}]}`
	waitFor(t, "the change to be received", func() bool { return tc.node.discovery.Revision() == 2 })
	close(resume)
	<-transferred
	for _, member := range state.Endpoints.Members {
		if strings.Contains(string(member), `"terminating"`) {
			return // the change is in the list
		}
	}
	if state.Endpoints.Revision != 1 {
		t.Errorf("the list of revision 1 is handed over as revision %d", state.Endpoints.Revision)
	}
}
