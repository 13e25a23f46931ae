package node

import (
	"testing"
	"time"

	"mintspring/internal/cluster/wire"
	"mintspring/internal/config/operatorfile"
	"mintspring/internal/config/tomlfile"
	"mintspring/internal/testbed/loopback"
	"mintspring/internal/testbed/reservedport"
)

// A node whose peer address is still held by its predecessor uses the initial part of the leased quota. It used to open no connection until
// it had the address.
func TestSuccessorHasInitialQuota(t *testing.T) {
	occupied, err := loopback.ListenPacket()
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(occupied)
	number := 0
	section := &operatorfile.Fleet{
		Name: "f", Listen: occupied.LocalAddr().String(), Peers: []string{occupied.LocalAddr().String(), "127.0.0.1:9"}, NodeNumber: &number,
		Share: []string{operatorfile.ShareQuotas}, ProbeInterval: 1e9, Lease: 2e9, EvidenceTTL: 1e10,
	}
	tc := newTestCluster(t, 3, serveHit, echoOrigin, func(c *Config) {
		c.Operator = &operatorfile.File{Fleet: section, Connections: &operatorfile.Connections{OpensPerSecond: 1000, MaxAge: tomlfile.Duration(0)}}
	})
	if got := tc.request("KV.GET", "key", "id", "c=read,d=500"); got == "" {
		t.Error("no answer")
	}
	if n := tc.cacheRequests.Load(); n == 0 {
		t.Error("the node opens no connection to a cache server")
	}
	if _, err := tc.node.Peers(); err == nil {
		t.Error("the node has joined the cluster on an address that is in use")
	}
}

// A node that gets its peer address only while it stops releases the address, since another process may wait for it. The race detector
// reports a stop that accesses the cluster member outside the loop.
func TestClusterJoinedDuringStop(t *testing.T) {
	address, err := reservedport.ReserveUDP()
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(address)
	tc := newTestCluster(t, 1, serveHit, echoOrigin)
	peers := []string{address.Addr(), "127.0.0.1:9"}
	section := operatorfile.Fleet{ProbeInterval: 1e9, Lease: 2e9, EvidenceTTL: 1e10}
	join := func() {
		t.Helper()
		socket, err := wire.Listen(address.Addr(), peers)
		if err != nil {
			t.Fatalf("the address is not released: %v", err)
		}
		tc.node.inbox.post(clusterJoined{socket, section.GossipConfig(len(peers))})
	}
	join() // just before the stop
	tc.node.stopOptionalParts(time.Now().Add(time.Second))
	join() // and after the stop
	tc.onLoop(func(float64) {})
	join()
}
