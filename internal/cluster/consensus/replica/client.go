package replica

import (
	"fmt"
	"net"
	"net/netip"

	"mintspring/internal/cluster/consensus"
	datagrams "mintspring/internal/cluster/datagram"
	"mintspring/internal/cluster/lease"
)

// Client sends commands to the replicas of a group. It is safe for concurrent use.
type Client struct {
	conn         *net.UDPConn
	replicaAddrs []netip.AddrPort
}

// NewClient returns a client that sends from listenAddr. The address of replica n is replicaAddrs[n-1]. The client calls handleResult for each
// result, on its own goroutine, which ends after Close. It drops results for another incarnation of the process.
func NewClient(listenAddr string, replicaAddrs []string, incarnation uint64, handleResult func(requestID uint64, r lease.Result)) (*Client, error) {
	addrs, err := parseReplicaAddrs(replicaAddrs)
	if err != nil {
		return nil, err
	}
	conn, err := listenUDP(listenAddr)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, replicaAddrs: addrs}
	go c.readLoop(incarnation, handleResult)
	return c, nil
}

func (c *Client) readLoop(incarnation uint64, handleResult func(requestID uint64, r lease.Result)) {
	reportError := func(error) {} // a client that cannot receive gets no results, and its caller logs that the group does not respond
	datagrams.Receive(c.conn, nil, reportError, func(payload []byte, _ netip.AddrPort) {
		var m resultMessage
		if payload[0] != kindResult || decodeDatagram(payload, &m) != nil || m.Incarnation != incarnation {
			return
		}
		handleResult(m.RequestID, m.Result)
	})
}

// Send sends a command to the replica at replicaIndex, modulo the number of replicas. Both the command and its result may be lost.
func (c *Client) Send(replicaIndex int, requestID uint64, cmd lease.Command) error {
	b, err := encodeDatagram(kindCommand, commandMessage{RequestID: requestID, Command: cmd})
	if err != nil {
		return err
	}
	if _, err = c.conn.WriteToUDPAddrPort(b, c.replicaAddrs[replicaIndex%len(c.replicaAddrs)]); err != nil {
		return fmt.Errorf("send command: %w", err)
	}
	return nil
}

// ReplaceReplica asks all replicas to let a replica that has lost its data directory rejoin in a new generation. The leader proposes the change and
// logs whether the proposal was accepted.
func (c *Client) ReplaceReplica(number, generation int) error {
	if err := consensus.CheckReplicaNumber(number); err != nil {
		return err
	}
	return c.broadcast(kindReplaceReplica, consensus.NewReplicaID(number, generation))
}

// AddReplica asks all replicas to add a replica to the group. The leader proposes the change and logs whether the proposal was accepted.
func (c *Client) AddReplica(number, generation int) error {
	if err := consensus.CheckReplicaNumber(number); err != nil {
		return err
	}
	return c.broadcast(kindChangeMembership, membershipMessage{ID: consensus.NewReplicaID(number, generation)})
}

// RemoveReplica asks all replicas to remove a replica from the group. The leader proposes the change and logs whether the proposal was accepted.
func (c *Client) RemoveReplica(number int) error {
	if err := consensus.CheckReplicaNumber(number); err != nil {
		return err
	}
	return c.broadcast(kindChangeMembership, membershipMessage{ID: consensus.NewReplicaID(number, 0), Remove: true})
}

// broadcast sends a message to all configured replicas.
func (c *Client) broadcast(kind byte, message any) error {
	b, err := encodeDatagram(kind, message)
	if err != nil {
		return err
	}
	for _, addr := range c.replicaAddrs {
		_, _ = c.conn.WriteToUDPAddrPort(b, addr) // an error is handled like a lost datagram
	}
	return nil
}

// Close closes the client's socket.
func (c *Client) Close() {
	_ = c.conn.Close() // nothing is buffered
}
