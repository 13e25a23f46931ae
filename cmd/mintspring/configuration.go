package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"

	"mintspring/node"
	"mintspring/node/list"
	"mintspring/settings"
)

// configuration is the file that a node is told of in LB_CONFIG. Name and addresses may stand in variables
// of the environment instead.
type configuration struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    list.Update     `json:"known"`
	Settings json.RawMessage `json:"settings"`

	site settings.Deployment
}

// readConfiguration reads and checks it. Errors are one line and name the file and the field.
func readConfiguration(getenv func(string) string) (*configuration, error) {
	file := getenv("LB_CONFIG")
	if file == "" {
		return nil, errors.New("LB_CONFIG names no configuration file")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	c := &configuration{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	for _, f := range []struct {
		field    *string
		variable string
	}{{&c.Name, "LB_NAME"}, {&c.Listen, "LB_LISTEN"}, {&c.Discovery, "LB_DISCOVERY"}} {
		if *f.field == "" {
			*f.field = getenv(f.variable)
		}
	}
	for _, f := range []struct{ name, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(f.addr); err != nil {
			return nil, fmt.Errorf("%s: %s: %q is not host:port", file, f.name, f.addr)
		}
	}
	seed := uint64(0)
	if c.Seed != "" {
		if seed, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("%s: seed: %q is not 16 hex digits", file, c.Seed)
		}
	}
	if len(c.Settings) == 0 {
		return nil, fmt.Errorf("%s: settings: missing", file)
	}
	if c.site, err = settings.Read(c.Settings, seed); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if len(c.site.Workloads) == 0 {
		return nil, fmt.Errorf("%s: settings: Workloads: missing", file)
	}
	for i, name := range c.site.Workloads {
		missing := ""
		switch {
		case name == "":
			missing = "Name"
		case c.site.Limits.Workloads[i].StatementTimeout <= 0:
			missing = "StatementTimeout"
		case c.site.Limits.Workloads[i].SLOTime <= 0:
			missing = "SloTime"
		}
		if missing != "" {
			return nil, fmt.Errorf("%s: settings: Workloads[%d].%s: missing", file, i, missing)
		}
	}
	if c.Limits.MemoryMB < 0 || c.Limits.Sockets < 0 || c.Limits.Cores < 0 {
		return nil, fmt.Errorf("%s: limits: below 0", file)
	}
	return c, nil
}

// differs names the fields in which another configuration asks for something that only a restart can bring. The list
// known at the start and the seed matter at a start alone.
func (c *configuration) differs(o *configuration) (names []string) {
	site := o.site
	site.Limits.Seed = c.site.Limits.Seed
	for _, f := range []struct {
		name    string
		differs bool
	}{
		{"name", c.Name != o.Name},
		{"listen", c.Listen != o.Listen},
		{"limits", c.Limits != o.Limits},
		{"settings", !reflect.DeepEqual(c.site, site)},
	} {
		if f.differs {
			names = append(names, f.name)
		}
	}
	return names
}

func (c *configuration) birth() node.Birth {
	return node.Birth{Name: c.Name, Discovery: c.Discovery, Known: c.Known, Site: c.site,
		MemoryMB: c.Limits.MemoryMB, Sockets: c.Limits.Sockets}
}
