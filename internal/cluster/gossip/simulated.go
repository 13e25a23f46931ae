package gossip

import (
	"mintspring/internal/cluster/quota"
	"mintspring/internal/cluster/wire"
)

// SimulatedNode runs a Node on a simulated network. Like the driver of a real node it applies changed allowances before messages are sent.
type SimulatedNode struct {
	*Node
	Allowances map[uint32]quota.Allowance // in effect, by budget
	Demands    map[uint32]float64         // by budget: the share of the whole that the node could spend
	OnTick     func(now float64)          // called before each tick; may be nil
}

// NewSimulatedNode returns a simulated node.
func NewSimulatedNode(n *Node) *SimulatedNode {
	return &SimulatedNode{Node: n, Allowances: map[uint32]quota.Allowance{}, Demands: map[uint32]float64{}}
}

// Tick implements simnet.Process.
func (s *SimulatedNode) Tick(now float64) []*wire.Message {
	for budget, share := range s.Demands {
		s.SetDemand(now, budget, share)
	}
	if s.OnTick != nil {
		s.OnTick(now)
	}
	return s.apply(now, s.Node.Tick(now))
}

// Handle implements simnet.Process.
func (s *SimulatedNode) Handle(now float64, m *wire.Message) []*wire.Message {
	return s.apply(now, s.Node.Handle(now, m))
}

// apply puts the changed allowances into effect before messages are sent.
func (s *SimulatedNode) apply(now float64, out []*wire.Message) []*wire.Message {
	s.DrainAllowances(now, func(budget uint32, a quota.Allowance) { s.Allowances[budget] = a })
	return out
}

// AllowedShare returns the share of a budget that the node may spend.
func (s *SimulatedNode) AllowedShare(now float64, budget uint32) float64 {
	allowance, known := s.Allowances[budget]
	if !known {
		allowance = s.Allowance(now, budget)
		s.Allowances[budget] = allowance // in effect until it changes, as in a connection pool
	}
	return allowance.ShareAt(now)
}
