package replica

import (
	"fmt"
	"net"
	"net/netip"
)

func listenUDP(listenAddr string) (*net.UDPConn, error) {
	addr, err := net.ResolveUDPAddr("udp", listenAddr)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", addr)
}

func parseReplicaAddrs(addrStrings []string) ([]netip.AddrPort, error) {
	addrs := make([]netip.AddrPort, 0, len(addrStrings))
	for i, addrString := range addrStrings {
		addr, err := netip.ParseAddrPort(addrString)
		if err != nil {
			return nil, fmt.Errorf("parse address of replica %d: %w", i+1, err)
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}
