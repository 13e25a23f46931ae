// Package cluster defines the node id and the incarnation that the inter-node protocols share. Its subpackages implement the protocols.
//
// The nodes of a fleet track which nodes are alive (membership), share budgets (quota), and exchange evidence of failing servers (outlier) and
// counters (counters). Package gossip combines these four in datagrams of at most 256 bytes (wire). Except for the socket in wire none of them
// does I/O or reads a clock: a node on sockets and a simulated node run the same code. Times are float64 milliseconds.
//
// Guarantees when messages are lost:
//
//   - membership: only a node itself refutes a suspicion of it. A silent node is suspected first, and declared dead after the other nodes had time
//     to hear from it. A node that hears from nobody considers itself isolated and declares nobody dead.
//
//   - quota: a node leases out units of its own quota only. A lease expires without a message, for the borrower earlier than for the lender. A node
//     that receives nothing may spend its own quota. A node that has just started may spend only the part that it never leases out, until all
//     leases that its earlier process may have granted have expired.
//
//   - outlier: evidence from other nodes raises or lowers the threshold for a node's own observations. It never ejects a server by itself, and it
//     expires unless it is renewed.
//
//   - counters: a counter may be out of date; its age is part of the message.
//
//   - idempotency: a replica votes only for records that are synced to its disk, and every granted claim and recorded outcome is stored by a
//     majority of the key's replicas. Without a majority no claim succeeds. Votes that were cast from a data directory that is now lost do not
//     count.
//
// A node id does not identify a process: each start is a new incarnation, and state of an earlier incarnation is ignored.
package cluster

// NodeID is the number of a node in its fleet, from 0. All nodes use the same numbers.
type NodeID uint16

// Incarnation distinguishes the processes that run under one node id; a later process has a greater one.
type Incarnation uint64

// incarnationRandomBits is the number of low bits that hold the random part; the bits above hold the start time in Unix ms.
const incarnationRandomBits = 16

// NewIncarnation returns the incarnation of a process that starts at a Unix time in ms. The random number, in [0,1), distinguishes
// processes that start at the same time.
func NewIncarnation(ms, random float64) Incarnation {
	return Incarnation(max(0, ms))<<incarnationRandomBits | Incarnation(random*(1<<incarnationRandomBits))
}

// Next returns the least incarnation with a later start time; its random part is zero.
func (i Incarnation) Next() Incarnation {
	return (i>>incarnationRandomBits + 1) << incarnationRandomBits
}

// Tag returns two bytes that distinguish an incarnation from recent ones of the same node.
func (i Incarnation) Tag() uint16 { return uint16(i>>32) ^ uint16(i>>16) ^ uint16(i) }
