package discovery

import (
	"net/http"
	"testing"
	"time"
)

// TestClose checks that Close ends the watch without a callback.
func TestClose(t *testing.T) {
	called, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	c, events := newTestClient(t, func(w http.ResponseWriter, req *http.Request) {
		w.(http.Flusher).Flush()
		called <- struct{}{}
		<-req.Context().Done()
		ended <- struct{}{}
	})
	c.Close() // without a watch it does nothing
	c.Watch()
	<-called
	c.Close()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the call is still running")
	}
	if c.Watching() {
		t.Error("a watch is running")
	}
	select {
	case e := <-events:
		t.Errorf("callback %+v after Close", e)
	case <-time.After(50 * time.Millisecond):
	}
}
