package loopback

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"testing"
)

// A network that this process has claimed cannot be claimed again.
func TestClaimedNetworkIsInUse(t *testing.T) {
	network, err := Network()
	if err != nil {
		t.Fatal(err)
	}
	if err := claimNetwork(network); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("claiming network 127.%d again: %v", network, err)
	}
}

// All hosts of NextHost differ and are in the process's network. None is the host of the claim or an address that callers may compose.
func TestHostsDiffer(t *testing.T) {
	network, err := Network()
	if err != nil {
		t.Fatal(err)
	}
	seen := map[netip.Addr]bool{}
	for range subnetCount * listenHostCount {
		host, err := NextHost()
		if err != nil {
			t.Fatal(err)
		}
		bytes := host.As4()
		if last := int(bytes[3]); seen[host] || bytes[0] != 127 || bytes[1] != network || last <= MaxComposedHost || last >= claimHost {
			t.Fatalf("host %d is %v, in network 127.%d", len(seen)+1, host, network)
		}
		seen[host] = true
	}
}

// TCP and UDP listeners get different hosts of the process's network, and the TCP listener accepts connections there.
func TestListenersHaveTheirOwnHosts(t *testing.T) {
	network, err := Network()
	if err != nil {
		t.Fatal(err)
	}
	listener, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close() //nolint:errcheck // the test is over
	packets, err := ListenPacket()
	if err != nil {
		t.Fatal(err)
	}
	defer packets.Close() //nolint:errcheck // the test is over
	tcp, udp := netip.MustParseAddrPort(listener.Addr().String()), netip.MustParseAddrPort(packets.LocalAddr().String())
	if tcp.Addr().As4()[1] != network || udp.Addr().As4()[1] != network || tcp.Addr() == udp.Addr() {
		t.Errorf("listeners at %v and %v, in network 127.%d", tcp, udp, network)
	}
	checkReachable(t, listener)
}

// checkReachable checks that a listener can be connected to.
func checkReachable(t *testing.T, listener net.Listener) {
	t.Helper()
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
}
