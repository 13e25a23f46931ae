// Package platform reads the configuration that the platform starts a node with: the file that LB_CONFIG names.
package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"mintspring/internal/config/settings"
	"mintspring/internal/node"
	"mintspring/internal/node/discovery"
)

// Environment variables.
const (
	configVariable    = "LB_CONFIG"
	nameVariable      = "LB_NAME"
	listenVariable    = "LB_LISTEN"
	discoveryVariable = "LB_DISCOVERY"
	adminVariable     = "LB_ADMIN"
)

// Config is a node's configuration. Its name and addresses may be set by environment variables instead.
type Config struct {
	Name       string           `json:"name"`
	Listen     string           `json:"listen"`
	Discovery  string           `json:"discovery"`
	PeerListen string           `json:"peer_listen"` // address at which peers reach this node
	Peers      []string         `json:"peers"`       // addresses by node number
	Admin      string           `json:"admin"`       // address of the admin port; empty: no admin port
	Seed       string           `json:"seed"`        // 16 hex digits
	Limits     Limits           `json:"limits"`
	CachedList discovery.Update `json:"known"` // endpoint list to start with
	Settings   json.RawMessage  `json:"settings"`

	Deployment settings.Deployment `json:"-"` // the parsed Settings

	raw  []byte         // contents of the file
	file *Config        // the configuration as the file has it, if it was merged with another one; else nil
	keys map[string]any // parsed raw without the optional keys; nil until it is needed
}

// Limits are the resource limits of the process; 0: no limit.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

var errNoFile = errors.New(configVariable + " names no configuration file")

// Load reads and validates the file that the environment names. Its errors are one line with the file and the field.
func Load(getenv func(string) string) (*Config, error) {
	text, err := readFile(getenv)
	if err != nil {
		return nil, err
	}
	return parse(getenv, text)
}

// Reload reads the file again, like Load. If it has not changed since c was read, it is not parsed again.
func (c *Config) Reload(getenv func(string) string) (*Config, error) {
	text, err := readFile(getenv)
	switch {
	case err != nil:
		return nil, err
	case !bytes.Equal(text, c.raw):
		return parse(getenv, text)
	case c.file != nil:
		return c.file, nil
	}
	return c, nil
}

func readFile(getenv func(string) string) ([]byte, error) {
	file := getenv(configVariable)
	if file == "" {
		return nil, errNoFile
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	return text, nil
}

func parse(getenv func(string) string, text []byte) (*Config, error) {
	file, c := getenv(configVariable), &Config{raw: text}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	c.applyEnvironment(getenv)
	for _, step := range []func() error{c.checkAddresses, c.parseSettings, c.checkClasses, c.checkLimits} {
		if err := step(); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
	}
	return c, nil
}

// applyEnvironment sets the fields that the file leaves empty from environment variables.
func (c *Config) applyEnvironment(getenv func(string) string) {
	for _, f := range []struct {
		field    *string
		variable string
	}{
		{&c.Name, nameVariable},
		{&c.Listen, listenVariable},
		{&c.Discovery, discoveryVariable},
		{&c.Admin, adminVariable},
	} {
		if *f.field == "" {
			*f.field = getenv(f.variable)
		}
	}
}

func (c *Config) checkAddresses() error {
	for _, f := range []struct {
		name, addr string
		optional   bool
	}{
		{"listen", c.Listen, false},
		{"discovery", c.Discovery, false},
		{"admin", c.Admin, true},
	} {
		if f.addr == "" && f.optional {
			continue
		}
		if _, _, err := net.SplitHostPort(f.addr); err != nil {
			return fmt.Errorf("%s: %q is not host:port", f.name, f.addr)
		}
	}
	return nil
}

func (c *Config) parseSettings() error {
	seed := uint64(0)
	if c.Seed != "" {
		var err error
		if seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
			return fmt.Errorf("seed: %q is not 16 hex digits", c.Seed)
		}
	}
	if len(c.Settings) == 0 {
		return errors.New("settings: missing")
	}
	var err error
	c.Deployment, err = settings.Parse(c.Settings, seed)
	return err
}

func (c *Config) checkClasses() error {
	if len(c.Deployment.RequestClasses) == 0 {
		return errors.New("settings: Workloads: missing")
	}
	for i, name := range c.Deployment.RequestClasses {
		class := &c.Deployment.Limits.Classes[i]
		missing := ""
		switch {
		case name == "":
			missing = "Name"
		case class.ClientTimeout <= 0:
			missing = "StatementTimeout"
		case class.LatencyObjective <= 0:
			missing = "SloTime"
		}
		if missing != "" {
			return fmt.Errorf("settings: Workloads[%d].%s: missing", i, missing)
		}
	}
	return nil
}

func (c *Config) checkLimits() error {
	if c.Limits.MemoryMB < 0 || c.Limits.Sockets < 0 || c.Limits.Cores < 0 {
		return errors.New("limits: a limit is below 0")
	}
	return nil
}

// NodeConfig returns the configuration in the form that package node takes.
func (c *Config) NodeConfig() node.Config {
	return node.Config{
		Name:           c.Name,
		Discovery:      c.Discovery,
		CachedList:     c.CachedList,
		Deployment:     c.Deployment,
		MemoryMB:       c.Limits.MemoryMB,
		MaxDescriptors: c.Limits.Sockets,
		AdminEnabled:   c.Admin != "",
		PeerListen:     c.PeerListen,
		Peers:          c.Peers,
	}
}
