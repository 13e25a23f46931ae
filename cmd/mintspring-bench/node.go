package main

import (
	"fmt"
	"net"
	"os"
	"runtime"

	"github.com/sirupsen/logrus"

	"mintspring/internal/config/platform"
	"mintspring/internal/fleet"
	"mintspring/internal/node"
	"mintspring/internal/testbed/baseline"
)

// baselineNodeCmd runs a node whose routing decisions are made by a baseline policy.
type baselineNodeCmd struct {
	Policy string `enum:"random,hash" required:""`
}

// Run implements the command.
func (c *baselineNodeCmd) Run() error {
	p, err := platform.Load(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(p.Limits.Cores)))
	config := p.NodeConfig()
	config.NewPolicy = func(now float64, limits fleet.Limits, _ *fleet.Slab) node.Policy {
		policy, err := baseline.New(c.Policy, now, limits)
		if err != nil {
			panic(err) // the command line allows no other name
		}
		return policy
	}
	n := node.New(config, logrus.New())
	listener, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	return n.Serve(listener)
}
