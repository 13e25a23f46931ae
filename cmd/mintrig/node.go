package main

import (
	"fmt"
	"net"
	"os"
	"runtime"
	"strconv"

	"encoding/json"

	"github.com/sirupsen/logrus"

	"mintspring/baseline"
	"mintspring/fleet"
	"mintspring/node"
	"mintspring/settings"
)

// nodeCmd is the node's own sockets with a baseline in place of its decisions.
type nodeCmd struct {
	Policy string `enum:"random,hash" required:""`
}

func (c *nodeCmd) Run() error {
	text, err := os.ReadFile(os.Getenv("LB_CONFIG"))
	if err != nil {
		return fmt.Errorf("reading the configuration: %w", err)
	}
	var cfg struct {
		Name, Listen, Discovery, Seed string
		Limits                        struct {
			Cores    float64
			MemoryMB int `json:"memory_mb"`
			Sockets  int
		}
		Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &cfg); err != nil {
		return fmt.Errorf("%s: %w", os.Getenv("LB_CONFIG"), err)
	}
	seed, err := strconv.ParseUint(cfg.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	site, err := settings.Read(cfg.Settings, seed)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	n := node.New(node.Birth{Name: cfg.Name, Discovery: cfg.Discovery, Site: site, MemoryMB: cfg.Limits.MemoryMB, Sockets: cfg.Limits.Sockets,
		Mind: func(now float64, l fleet.Limits, slab *fleet.Slab) node.Mind {
			p, err := baseline.New(c.Policy, now, l, slab)
			if err != nil {
				panic(err) // the command line allows no other name
			}
			return p
		}}, logrus.New())
	return n.Serve(ln)
}
