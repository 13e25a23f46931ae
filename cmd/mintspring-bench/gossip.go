package main

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"time"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/cluster/gossip"
	"mintspring/internal/cluster/simnet"
	"mintspring/internal/cluster/wire"
)

// How fleets of gossiping nodes are simulated. Times are ms.
const (
	gossipTickMs      = 50
	joinStepMs        = 1000
	maxJoinSteps      = 600
	lossyJitterMs     = 20
	lossySettleMs     = 10_000
	deathStepMs       = 100
	maxDeathMs        = 300_000
	lyingServers      = 40
	liarEvery         = 10 // one node in this many lies
	lieIntervalMs     = 1000
	liesPerServer     = 3
	lieStepMs         = 100
	lieSteps          = 600
	msPerSecond       = 1000
	secondsPerHour    = 3600
	detectingShareNum = 9 // of detectingShareDen: nodes that have to know of a death
	detectingShareDen = 10
)

// gossipCmd simulates the gossip of whole fleets.
type gossipCmd struct {
	Nodes         []int         `help:"Sizes of the fleet." default:"10,100,300,1000"`
	Loss          []float64     `help:"Shares of datagrams lost." default:"0,0.05,0.2,0.4"`
	Duration      time.Duration `help:"How long each is watched for false deaths, on the virtual clock." default:"10m"`
	Seed          uint64        `help:"Seed." default:"1"`
	FalseEvidence bool          `help:"Instead: a tenth of the nodes report failures of servers that work."`
}

// Run plays the gossip of whole fleets on a virtual clock, and prints a line for each size and loss.
func (c *gossipCmd) Run(ctx context.Context) error {
	if c.FalseEvidence {
		return c.runLies(ctx)
	}
	fmt.Println("| nodes | lost | a dead node is detected by nine in ten after s | by all after s | false deaths, a node and hour | datagrams, a node and second | bytes | ms of processor time, a node and second |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, size := range c.Nodes {
		for _, loss := range c.Loss {
			if err := ctx.Err(); err != nil {
				return err
			}
			c.printLine(size, loss)
		}
	}
	return nil
}

// gossipFleet is a fleet of nodes that do nothing but gossip.
type gossipFleet struct {
	*simnet.Network
	nodes []*gossip.SimulatedNode
}

func newGossipFleet(size int, seed uint64) *gossipFleet {
	f := &gossipFleet{Network: simnet.New(size, seed), nodes: make([]*gossip.SimulatedNode, size)}
	f.TickIntervalMs = gossipTickMs
	for i := range size {
		now := f.Nodes[i].LocalTime(f.Now)
		config := gossip.Config{
			Fleet: "crowd", Self: cluster.NodeID(i), MaxNodes: size, QuotaOwners: size, ProbeIntervalMs: 1000, ProbeTimeoutMs: 200, LeaseMs: 2000,
			EvidenceTTLMs: 10_000, Seed: f.Rng.Uint64(), ShareQuotas: true, ShareEvidence: true, ShareCounters: true,
		}
		f.nodes[i] = gossip.NewSimulatedNode(gossip.New(now, config, cluster.NewIncarnation(now, f.Rng.Float64())))
		f.Start(i, f.nodes[i], f.nodes[i].Incarnation)
	}
	return f
}

// join plays until all nodes have found one another.
func (f *gossipFleet) join() {
	for range maxJoinSteps {
		if f.Run(joinStepMs); f.isComplete() {
			return
		}
	}
}

// isComplete reports whether each node that is up knows all of them.
func (f *gossipFleet) isComplete() bool {
	for i, n := range f.nodes {
		if f.Nodes[i].Up && n.MemberCount() < len(f.nodes) {
			return false
		}
	}
	return true
}

// countDeaths returns how many deaths the nodes have found since the last call.
func (f *gossipFleet) countDeaths() (deaths int) {
	for _, n := range f.nodes {
		for _, e := range n.DrainEvents() {
			if e.To == wire.Dead {
				deaths++
			}
		}
	}
	return deaths
}

// killFirst kills node 0, and returns after how many s nine in ten nodes know of it, and all; NaN for never.
func (f *gossipFleet) killFirst() (mostAfter, allAfter float64) {
	f.Kill(0)
	killedAt := f.Now
	others := len(f.nodes) - 1
	mostAfter, allAfter = math.NaN(), math.NaN()
	for f.Now-killedAt < maxDeathMs && math.IsNaN(allAfter) {
		f.Run(deathStepMs)
		known := 0
		for _, n := range f.nodes[1:] {
			if !n.IsMember(0) {
				known++
			}
		}
		after := (f.Now - killedAt) / msPerSecond
		if math.IsNaN(mostAfter) && known >= (detectingShareNum*others+detectingShareDen-1)/detectingShareDen {
			mostAfter = after
		}
		if known == others {
			allAfter = after
		}
	}
	return mostAfter, allAfter
}

// printLine plays a fleet of a size with a share of datagrams lost, and prints what that costs and how soon a death is found.
func (c *gossipCmd) printLine(size int, loss float64) {
	f := newGossipFleet(size, c.Seed)
	f.join()
	f.Links.Set(f.NodeIndexes(), f.NodeIndexes(), func(l *faultrelay.Link) { l.LossRate, l.JitterMs = loss, lossyJitterMs })
	f.Run(lossySettleMs)
	f.countDeaths() // those so far do not count
	f.SentDatagrams, f.SentBytes = 0, 0
	began, from := time.Now(), f.Now
	f.Run(float64(c.Duration.Milliseconds()))
	took := time.Since(began)
	nodeSeconds := (f.Now - from) / msPerSecond * float64(size)
	falseDeaths := f.countDeaths()
	sent, bytes := float64(f.SentDatagrams)/nodeSeconds, float64(f.SentBytes)/nodeSeconds
	mostAfter, allAfter := f.killFirst()
	fmt.Printf("| %d | %.0f%% | %.1f | %.1f | %.3g (%d) | %.1f | %.0f | %.2f |\n", size, 100*loss, mostAfter, allAfter,
		float64(falseDeaths)/nodeSeconds*secondsPerHour, falseDeaths, sent, bytes, float64(took.Milliseconds())/nodeSeconds)
}

// runLies has a tenth of the nodes report failures of servers that work, each of a number of them, and prints for how many the threshold
// of outlier detection is lowered.
func (c *gossipCmd) runLies(ctx context.Context) error {
	fmt.Println("| nodes | servers | accused by each faulty node | servers with a lower threshold at the worst node |")
	fmt.Println("|---|---|---|---|")
	for _, size := range c.Nodes {
		for _, share := range []float64{0.05, 0.2, 0.5, 1} {
			if err := ctx.Err(); err != nil {
				return err
			}
			f := newGossipFleet(size, c.Seed)
			for i, n := range f.nodes {
				n.SetServerCount(lyingServers)
				if i%liarEvery == liarEvery-1 {
					n.OnTick = lieAbout(n, int(share*lyingServers))
				}
			}
			worst := f.worstBias()
			fmt.Printf("| %d | %d | %.0f%% | %d (%.0f%%) |\n", size, lyingServers, 100*share, worst, 100*float64(worst)/lyingServers)
		}
	}
	return nil
}

// lieAbout returns a function that has a node report failures of a number of servers repeatedly.
func lieAbout(n *gossip.SimulatedNode, servers int) func(now float64) {
	next := 0.0
	return func(now float64) {
		if now < next {
			return
		}
		next = now + lieIntervalMs
		for server := range servers {
			for range liesPerServer {
				n.Observe(now, wire.HashName(strconv.Itoa(server)), true)
			}
		}
	}
}

// worstBias plays the fleet, and returns for how many servers at once a node's threshold was lowered at most.
func (f *gossipFleet) worstBias() (worst int) {
	biased := make([]map[uint32]bool, len(f.nodes))
	for i := range biased {
		biased[i] = map[uint32]bool{}
	}
	for range lieSteps {
		f.Run(lieStepMs)
		for i, n := range f.nodes {
			for _, change := range n.DrainOutlierChanges() {
				if change.Bias > 0 {
					biased[i][change.Server] = true
				} else {
					delete(biased[i], change.Server)
				}
			}
			worst = max(worst, len(biased[i]))
		}
	}
	return worst
}
