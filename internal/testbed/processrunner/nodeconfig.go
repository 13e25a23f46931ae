package processrunner

import (
	"encoding/json"
	"fmt"
	"slices"

	"mintspring/internal/testbed/experiment"
)

// nodeConfig is the content of a node's configuration file, with the platform's field names.
type nodeConfig struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Seed       string          `json:"seed"` // hexadecimal
	Limits     nodeLimits      `json:"limits"`
	Known      json.RawMessage `json:"known,omitempty"` // endpoint list to start with
	Settings   json.RawMessage `json:"settings"`
	Admin      string          `json:"admin,omitempty"`
	PeerListen string          `json:"peer_listen,omitempty"`
	Peers      []string        `json:"peers,omitempty"` // by node
}

type nodeLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// newNodeConfig returns the initial configuration of a node.
func newNodeConfig(x *experiment.Experiment, node int, listen, discovery string, seed uint64) (*nodeConfig, error) {
	settings, err := x.NodeSettings(node)
	if err != nil {
		return nil, err
	}
	return &nodeConfig{
		Name: fmt.Sprint("n", node), Listen: listen, Discovery: discovery, Seed: fmt.Sprintf("%016x", experiment.NodeSeed(seed, node)),
		Limits:   nodeLimits{Cores: x.Nodes.Cores, MemoryMB: x.Nodes.MemoryMB, Sockets: x.Nodes.Sockets},
		Settings: settings,
	}, nil
}

// adminActions are the timeline actions for which a node needs an admin address and a listening socket shared by its processes.
var adminActions = []string{"replace_node", "standby_node", "active_node", "exclude", "readmit"}

// needsAdminAccess reports whether the timeline contains a hot restart or a call to an admin address.
func needsAdminAccess(x *experiment.Experiment) bool {
	return slices.ContainsFunc(x.Steps, func(s experiment.Step) bool {
		return slices.Contains(adminActions, s.Action)
	})
}
