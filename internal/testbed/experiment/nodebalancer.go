package experiment

// NodeBalancer spreads the attempts of clients over nodes, and notices after a while that one is dead. It does no I/O and reads no
// clock; times are ms. It must not be used from several goroutines at once.
type NodeBalancer struct {
	failureNoticeMs float64
	nodes           []nodeState
	schedule        []int // in which order nodes are picked, again and again
	next            int   // picks so far
}

// nodeState is what clients know of a node.
type nodeState struct {
	dead        bool
	deadSinceMs float64
	probing     bool // a probe is in flight
	standby     bool // it takes no new connections; those that are open stay in use
}

// NewNodeBalancer returns a balancer for a number of nodes. Weights are repeated as needed; without any, nodes have equal shares.
// A dead node is still picked for failureNoticeMs.
func NewNodeBalancer(nodes int, failureNoticeMs float64, weights []int) *NodeBalancer {
	if len(weights) == 0 {
		weights = []int{1}
	}
	return &NodeBalancer{failureNoticeMs: failureNoticeMs, nodes: make([]nodeState, nodes), schedule: weightedSchedule(nodes, weights)}
}

// weightedSchedule returns an order in which each node has its share of any stretch, as evenly as that goes: the node that is furthest
// behind its share comes next.
func weightedSchedule(nodes int, weights []int) (schedule []int) {
	total := 0
	for i := range nodes {
		total += weights[i%len(weights)]
	}
	behind := make([]int, nodes)
	for range total {
		next := 0
		for i := range behind {
			if behind[i] += weights[i%len(weights)]; behind[i] > behind[next] {
				next = i
			}
		}
		behind[next] -= total
		schedule = append(schedule, next)
	}
	return schedule
}

// Pick returns the node that the next attempt is sent to, and the dead nodes that are to be probed, each of which
// is to be reported with Probed. hasConnection reports whether a connection to a node is open, on which a node in standby still serves.
func (b *NodeBalancer) Pick(nowMs float64, hasConnection func(node int) bool) (node int, probe []int) {
	node = b.schedule[b.next%len(b.schedule)]
	for range b.schedule {
		node = b.schedule[b.next%len(b.schedule)]
		state := &b.nodes[node]
		if state.standby && !hasConnection(node) {
			b.next++
			continue
		}
		if !state.dead || nowMs-state.deadSinceMs < b.failureNoticeMs {
			break
		}
		b.next++
		if !state.probing {
			state.probing = true
			probe = append(probe, node)
		}
	}
	b.next++
	return node, probe
}

// SetStandby has a node take no new connections, or take them again.
func (b *NodeBalancer) SetStandby(node int, standby bool) { b.nodes[node].standby = standby }

// OnStandby reports whether a node takes no new connections.
func (b *NodeBalancer) OnStandby(node int) bool { return b.nodes[node].standby }

// RecordProbe records whether a node that was probed is back.
func (b *NodeBalancer) RecordProbe(node int, isBack bool) {
	state := &b.nodes[node]
	if state.probing = false; isBack {
		state.dead = false
	}
}

// MarkFailed records that a node could not be reached, or died.
func (b *NodeBalancer) MarkFailed(nowMs float64, node int) {
	if state := &b.nodes[node]; !state.dead {
		state.dead, state.deadSinceMs = true, nowMs
	}
}

// MarkHealthy records that a node has responded.
func (b *NodeBalancer) MarkHealthy(node int) { b.nodes[node].dead = false }
