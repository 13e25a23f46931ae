package experiment

// NodeBalancer spreads the attempts of clients over nodes, and detects a dead node after a delay. It does no I/O and reads no
// clock; times are ms. It is not safe for concurrent use.
type NodeBalancer struct {
	failureDetectionMs float64
	nodes              []nodeState
	schedule           []int // the cyclic order in which nodes are picked
	pickCount          int   // number of schedule entries used so far, including skipped nodes
}

// nodeState is the state of a node as clients know it.
type nodeState struct {
	dead        bool
	deadSinceMs float64
	probing     bool // a probe is in flight
	standby     bool // the node takes no new connections; open ones stay in use
}

// NewNodeBalancer returns a balancer for a number of nodes. If there are fewer weights than nodes, they are repeated in order; without
// weights, nodes have equal shares. A dead node is still picked for failureDetectionMs.
func NewNodeBalancer(nodes int, failureDetectionMs float64, weights []int) *NodeBalancer {
	if len(weights) == 0 {
		weights = []int{1}
	}
	return &NodeBalancer{failureDetectionMs: failureDetectionMs, nodes: make([]nodeState, nodes), schedule: weightedSchedule(nodes, weights)}
}

// weightedSchedule returns an order of nodes by smooth weighted round robin: the node that is furthest behind its share comes next.
func weightedSchedule(nodes int, weights []int) (schedule []int) {
	total := 0
	for i := range nodes {
		total += weights[i%len(weights)]
	}
	deficits := make([]int, nodes)
	for range total {
		next := 0
		for i := range deficits {
			if deficits[i] += weights[i%len(weights)]; deficits[i] > deficits[next] {
				next = i
			}
		}
		deficits[next] -= total
		schedule = append(schedule, next)
	}
	return schedule
}

// Pick returns the node for the next attempt, and the dead nodes that the caller must probe. The result of each probe must be reported
// with RecordProbe. hasConnection reports whether a connection to a node is open: a node on standby serves on those only.
func (b *NodeBalancer) Pick(nowMs float64, hasConnection func(node int) bool) (node int, probe []int) {
	node = b.schedule[b.pickCount%len(b.schedule)]
	for range b.schedule {
		node = b.schedule[b.pickCount%len(b.schedule)]
		state := &b.nodes[node]
		if state.standby && !hasConnection(node) {
			b.pickCount++
			continue
		}
		if !state.dead || nowMs-state.deadSinceMs < b.failureDetectionMs {
			break
		}
		b.pickCount++
		if !state.probing {
			state.probing = true
			probe = append(probe, node)
		}
	}
	b.pickCount++
	return node, probe
}

// SetStandby records whether a node is on standby and takes no new connections.
func (b *NodeBalancer) SetStandby(node int, standby bool) { b.nodes[node].standby = standby }

// OnStandby reports whether a node is on standby.
func (b *NodeBalancer) OnStandby(node int) bool { return b.nodes[node].standby }

// RecordProbe records the result of a probe: whether the node is back.
func (b *NodeBalancer) RecordProbe(node int, isBack bool) {
	state := &b.nodes[node]
	if state.probing = false; isBack {
		state.dead = false
	}
}

// MarkFailed records that a node could not be reached or has died.
func (b *NodeBalancer) MarkFailed(nowMs float64, node int) {
	if state := &b.nodes[node]; !state.dead {
		state.dead, state.deadSinceMs = true, nowMs
	}
}

// MarkHealthy records that a node has responded.
func (b *NodeBalancer) MarkHealthy(node int) { b.nodes[node].dead = false }
