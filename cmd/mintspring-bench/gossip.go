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

// Parameters of the simulated fleets and of their measurement.
const (
	gossipTickMs          = 50
	joinStepMs            = 1000
	maxJoinSteps          = 600
	lossyJitterMs         = 20
	lossySettleMs         = 10_000
	detectionStepMs       = 100
	maxDetectionMs        = 300_000
	reportedServers       = 40
	faultyNodeInterval    = 10 // one node in this many reports false failures
	falseReportIntervalMs = 1000
	falseReportsPerServer = 3
	falseReportStepMs     = 100
	falseReportSteps      = 600
	msPerSecond           = 1000
	secondsPerHour        = 3600
	mostNodesNumerator    = 9 // divided by mostNodesDenominator: share of nodes that mostAfterSeconds waits for
	mostNodesDenominator  = 10
)

// gossipCmd simulates the gossip of whole fleets.
type gossipCmd struct {
	Nodes         []int         `help:"Sizes of the fleet." default:"10,100,300,1000"`
	Loss          []float64     `help:"Shares of datagrams lost." default:"0,0.05,0.2,0.4"`
	Duration      time.Duration `help:"How long each is watched for false deaths, on the virtual clock." default:"10m"`
	Seed          uint64        `help:"Seed." default:"1"`
	FalseEvidence bool          `help:"Instead: a tenth of the nodes report failures of servers that work."`
}

// Run simulates the gossip of whole fleets on a virtual clock, and prints one table row for each combination of size and loss.
func (c *gossipCmd) Run(ctx context.Context) error {
	if c.FalseEvidence {
		return c.runFalseEvidence(ctx)
	}
	fmt.Println("| nodes | lost | a dead node is detected by nine in ten after s | by all after s | false deaths, a node and hour | datagrams, a node and second | bytes | ms of processor time, a node and second |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, size := range c.Nodes {
		for _, loss := range c.Loss {
			if err := ctx.Err(); err != nil {
				return err
			}
			c.measureAndPrint(size, loss)
		}
	}
	return nil
}

// gossipFleet is a simulated fleet of nodes that only gossip and serve no requests.
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

// join advances the clock until each node knows all members, or until maxJoinSteps have passed.
func (f *gossipFleet) join() {
	for range maxJoinSteps {
		if f.Run(joinStepMs); f.isComplete() {
			return
		}
	}
}

// isComplete reports whether each node that is up knows all members of the fleet.
func (f *gossipFleet) isComplete() bool {
	for i, n := range f.nodes {
		if f.Nodes[i].Up && n.MemberCount() < len(f.nodes) {
			return false
		}
	}
	return true
}

// countDeaths returns how many times nodes have declared a member dead since the last call.
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

// measureDeathDetection kills node 0. It returns the time until nine in ten of the other nodes have detected that, and until all have; NaN
// means that it did not happen within maxDetectionMs.
func (f *gossipFleet) measureDeathDetection() (mostAfterSeconds, allAfterSeconds float64) {
	f.Kill(0)
	killedAt := f.Now
	others := len(f.nodes) - 1
	mostAfterSeconds, allAfterSeconds = math.NaN(), math.NaN()
	for f.Now-killedAt < maxDetectionMs && math.IsNaN(allAfterSeconds) {
		f.Run(detectionStepMs)
		detecting := 0
		for _, n := range f.nodes[1:] {
			if !n.IsMember(0) {
				detecting++
			}
		}
		elapsedSeconds := (f.Now - killedAt) / msPerSecond
		if math.IsNaN(mostAfterSeconds) && detecting >= (mostNodesNumerator*others+mostNodesDenominator-1)/mostNodesDenominator {
			mostAfterSeconds = elapsedSeconds
		}
		if detecting == others {
			allAfterSeconds = elapsedSeconds
		}
	}
	return mostAfterSeconds, allAfterSeconds
}

// measureAndPrint simulates a fleet with a share of datagrams lost, and prints its cost, its false deaths and how soon it detects a death.
func (c *gossipCmd) measureAndPrint(size int, loss float64) {
	f := newGossipFleet(size, c.Seed)
	f.join()
	f.Links.Set(f.NodeIndexes(), f.NodeIndexes(), func(l *faultrelay.Link) { l.LossRate, l.JitterMs = loss, lossyJitterMs })
	f.Run(lossySettleMs)
	f.countDeaths() // discards deaths from before the measurement
	f.SentDatagrams, f.SentBytes = 0, 0
	wallStart, virtualStartMs := time.Now(), f.Now
	f.Run(float64(c.Duration.Milliseconds()))
	wallTime := time.Since(wallStart)
	nodeSeconds := (f.Now - virtualStartMs) / msPerSecond * float64(size)
	falseDeaths := f.countDeaths()
	sent, bytes := float64(f.SentDatagrams)/nodeSeconds, float64(f.SentBytes)/nodeSeconds
	mostAfterSeconds, allAfterSeconds := f.measureDeathDetection()
	fmt.Printf("| %d | %.0f%% | %.1f | %.1f | %.3g (%d) | %.1f | %.0f | %.2f |\n", size, 100*loss, mostAfterSeconds, allAfterSeconds,
		float64(falseDeaths)/nodeSeconds*secondsPerHour, falseDeaths, sent, bytes, float64(wallTime.Milliseconds())/nodeSeconds)
}

// runFalseEvidence makes a tenth of the nodes report failures of a share of the healthy servers. It prints for how many servers a node
// lowered its threshold of outlier detection because of those reports.
func (c *gossipCmd) runFalseEvidence(ctx context.Context) error {
	fmt.Println("| nodes | servers | accused by each faulty node | servers with a lower threshold at the worst node |")
	fmt.Println("|---|---|---|---|")
	for _, size := range c.Nodes {
		for _, share := range []float64{0.05, 0.2, 0.5, 1} {
			if err := ctx.Err(); err != nil {
				return err
			}
			f := newGossipFleet(size, c.Seed)
			for i, n := range f.nodes {
				n.SetServerCount(reportedServers)
				if i%faultyNodeInterval == faultyNodeInterval-1 {
					n.OnTick = falseReporter(n, int(share*reportedServers))
				}
			}
			worst := f.maxLoweredThresholds()
			fmt.Printf("| %d | %d | %.0f%% | %d (%.0f%%) |\n", size, reportedServers, 100*share, worst, 100*float64(worst)/reportedServers)
		}
	}
	return nil
}

// falseReporter returns a tick function with which a node periodically reports failures of the first servers of the list.
func falseReporter(n *gossip.SimulatedNode, servers int) func(now float64) {
	nextReportMs := 0.0
	return func(now float64) {
		if now < nextReportMs {
			return
		}
		nextReportMs = now + falseReportIntervalMs
		for server := range servers {
			for range falseReportsPerServer {
				n.Observe(now, wire.HashName(strconv.Itoa(server)), true)
			}
		}
	}
}

// maxLoweredThresholds runs the simulation and returns the greatest number of servers whose threshold was lowered at one node at the same
// time.
func (f *gossipFleet) maxLoweredThresholds() (worst int) {
	lowered := make([]map[uint32]bool, len(f.nodes))
	for i := range lowered {
		lowered[i] = map[uint32]bool{}
	}
	for range falseReportSteps {
		f.Run(falseReportStepMs)
		for i, n := range f.nodes {
			for _, change := range n.DrainOutlierChanges() {
				if change.Bias > 0 {
					lowered[i][change.Server] = true
				} else {
					delete(lowered[i], change.Server)
				}
			}
			worst = max(worst, len(lowered[i]))
		}
	}
	return worst
}
