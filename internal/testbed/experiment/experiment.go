// Package experiment defines experiments and evaluates them: fake servers, nodes, the load of clients, a timeline of faults, and
// expectations of what clients and servers see.
//
// An experiment is a TOML file (docs/experiments.md). Package processrunner plays it with real processes, package simulator on a virtual
// clock; its definition, its timeline, the requests that clients generate and the figures of a run are here.
package experiment

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"mintspring/internal/config/operatorfile"
	"mintspring/internal/config/tomlfile"
	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/invariants"
	"mintspring/internal/testbed/servermodel"
)

// Experiment is an experiment file as it was read. docs/experiments.md says what each field does.
type Experiment struct {
	Name   string            `toml:"name"`
	About  string            `toml:"about"`
	Seed   uint64            `toml:"seed"`
	Settle tomlfile.Duration `toml:"settle"` // load before the measurement
	Length tomlfile.Duration `toml:"length"` // of the measurement

	Fleet        FleetConfig    `toml:"fleet"`
	Nodes        NodesConfig    `toml:"nodes"`
	Rules        RulesConfig    `toml:"rules"`
	Classes      []ClassConfig  `toml:"workloads"`
	Tenants      []TenantConfig `toml:"tenants"`
	Load         LoadConfig     `toml:"load"`
	Steps        []Step         `toml:"at"`
	Expectations []Expectation  `toml:"expect"`

	file *tomlfile.File // for errors with the line of a field
}

// FleetConfig describes the servers.
type FleetConfig struct {
	Zones          []string          `toml:"zones"`
	Groups         []ServerGroup     `toml:"boxes"`
	Origin         ServerConfig      `toml:"origin"`
	FetchThrough   bool              `toml:"fetch"` // there is no origin: caches do its work; simulated only
	DiscoveryDelay tomlfile.Duration `toml:"discovery_late"`
}

// ServerGroup is a number of caches of one kind, spread over the zones unless they are in one.
type ServerGroup struct {
	Count      int     `toml:"count"`
	Zone       string  `toml:"zone"`
	Size       float64 `toml:"size"`
	EmptyCache bool    `toml:"empty"`
	ServerConfig
}

// ServerConfig is what a server is like.
type ServerConfig struct {
	Cores            int               `toml:"cores"`
	Speed            float64           `toml:"speed"`
	QueueLimit       int               `toml:"room"`
	MaxConnections   int               `toml:"connections"`
	Handshake        tomlfile.Duration `toml:"handshake"`
	StartCapacity    float64           `toml:"start_capacity"`
	WarmWithin       tomlfile.Duration `toml:"warm_within"`
	OverloadMultiple float64           `toml:"fall_multiple"`
	OverloadWindow   tomlfile.Duration `toml:"fall_after"`
	RecoveryTime     tomlfile.Duration `toml:"stop_for"`
	CacheObjects     int               `toml:"keeps"`
	ReportInterval   tomlfile.Duration `toml:"report_every"`
	ReportNoise      float64           `toml:"noise"`
}

// modelConfig is the configuration in the terms of the server model.
func (c *ServerConfig) modelConfig() servermodel.ServerConfig {
	return servermodel.ServerConfig{
		Cores: c.Cores, Speed: c.Speed, QueueLimit: c.QueueLimit, MaxConnections: c.MaxConnections,
		Handshake:     c.Handshake.Milliseconds(),
		StartCapacity: c.StartCapacity, WarmWithin: c.WarmWithin.Milliseconds(),
		OverloadMultiple: c.OverloadMultiple, OverloadWindow: c.OverloadWindow.Milliseconds(), RecoveryTime: c.RecoveryTime.Milliseconds(),
		CacheObjects: c.CacheObjects, ReportInterval: c.ReportInterval.Milliseconds(), ReportNoise: c.ReportNoise,
	}
}

// NodesConfig describes the nodes.
type NodesConfig struct {
	Count                 int               `toml:"count"`
	MemoryMB              int               `toml:"memory_mb"`
	Sockets               int               `toml:"sockets"`
	Cores                 float64           `toml:"cores"`
	OperatorFile          string            `toml:"operator"` // beside the experiment
	Quantum               tomlfile.Duration `toml:"quantum"`
	ClockSkew             tomlfile.Duration `toml:"clock_skew"`   // clocks are off by up to this much, either way; simulated only
	ClockDrift            float64           `toml:"clock_drift"`  // clocks run up to this share fast or slow; simulated only
	RequestCost           tomlfile.Duration `toml:"query_cost"`   // processor time that a request costs a node; simulated only
	TrafficWeights        []int             `toml:"traffic"`      // shares of the load by node, again and again; left out: equal ones
	FailureDetectionDelay tomlfile.Duration `toml:"front_notice"` // how long clients go on to a node that has died
}

// RulesConfig is the platform's rules as nodes find them in their settings.
type RulesConfig struct {
	DrainGrace            tomlfile.Duration `toml:"drain_grace"`
	AnswerSlack           tomlfile.Duration `toml:"answer_slack"`
	MaxAttempts           int               `toml:"max_executions"`
	Hedging               bool              `toml:"second_copies"`
	MaxRetryAfter         tomlfile.Duration `toml:"max_retry_after"`
	MaxListAge            tomlfile.Duration `toml:"must_ask_in"`
	ConnectionIdleTimeout tomlfile.Duration `toml:"connection_idle"`
	ConnectTimeout        tomlfile.Duration `toml:"connect_timeout"`
}

// ClassConfig is one class of requests.
type ClassConfig struct {
	Name             string            `toml:"name"`
	Share            float64           `toml:"share"`
	Effect           string            `toml:"effect"`
	Write            bool              `toml:"write"`
	LatencyObjective tomlfile.Duration `toml:"slo"`
	Timeout          tomlfile.Duration `toml:"timeout"`
	PriorityWeight   float64           `toml:"importance"`
	LateWeightShare  float64           `toml:"late_share"`
	DedupWindow      tomlfile.Duration `toml:"dedup_span"`
	CacheWork        tomlfile.Duration `toml:"box_work"`
	OriginWork       tomlfile.Duration `toml:"origin_work"`
	CostSpread       float64           `toml:"spread"`

	semantics invariants.WriteSemantics // of Effect
}

// TenantConfig is one tenant.
type TenantConfig struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
}

// LoadConfig is what clients do. Arrivals are a Poisson process and do not wait for responses.
type LoadConfig struct {
	Rate                float64           `toml:"rate"` // requests a second, without retries
	Keys                int               `toml:"keys"`
	ZipfExponent        float64           `toml:"zipf"`
	ValueBytes          int               `toml:"bytes"`
	Connections         string            `toml:"connections"` // keepConnections or dropConnections
	Retries             int               `toml:"retries"`
	RetryWait           tomlfile.Duration `toml:"retry_wait"`
	HonourRetryAfter    bool              `toml:"honour_waits"`
	AttemptTimeoutShare float64           `toml:"try_share"` // an attempt is given up after this share of the request's timeout
	FlagRetries         bool              `toml:"mark_retries"`
	RetryAlways         bool              `toml:"insist"`     // deduplicated requests are retried whatever came back, also after their window
	PersistentClients   int               `toml:"persistent"` // beside the rate, for each node: clients that go on using one connection while it is open
	EarlyCloseShare     float64           `toml:"leave"`      // share of the persistent clients' requests whose client closes its connection early
	WarmCaches          bool              `toml:"warm"`       // each cache holds the most popular keys at the start
}

// What clients do with a connection after a response.
const (
	keepConnections = "keep"
	dropConnections = "drop"
)

// DropsConnections reports whether clients close their connections after each response.
func (l *LoadConfig) DropsConnections() bool { return l.Connections == dropConnections }

// Expectation is something that has to hold.
type Expectation struct {
	Figure         string            `toml:"what"`
	AtLeast        *float64          `toml:"at_least"`
	AtMost         *float64          `toml:"at_most"`
	Class          string            `toml:"workload"`
	Server         string            `toml:"box"`
	From           tomlfile.Duration `toml:"from"`
	To             tomlfile.Duration `toml:"to"`
	BindsBaselines bool              `toml:"baselines"`
}

// Read reads and checks an experiment file.
func Read(name string) (*Experiment, error) {
	x := defaultExperiment()
	file, err := tomlfile.Read(name, x)
	if err != nil {
		return nil, err
	}
	return x.finalize(file)
}

// Parse reads and checks an experiment from text. The name stands in errors.
func Parse(name, text string) (*Experiment, error) {
	x := defaultExperiment()
	file, err := tomlfile.Parse(name, []byte(text), x)
	if err != nil {
		return nil, err
	}
	return x.finalize(file)
}

// FieldErrorf says what is wrong with a field of the experiment's file, with its line.
func (x *Experiment) FieldErrorf(field, format string, args ...any) error {
	return x.file.FieldErrorf(field, format, args...)
}

// WithSize returns the experiment at another size: a number of nodes, of caches and of requests a second, 0 for the file's own. Steps go on
// naming the same caches, so that there cannot be fewer than they name.
func (x *Experiment) WithSize(nodes, caches int, rate float64) (*Experiment, error) {
	y := *x
	if nodes > 0 {
		y.Nodes.Count = nodes
	}
	if rate > 0 {
		y.Load.Rate = rate
	}
	if caches > 0 {
		if len(x.Fleet.Groups) != 1 {
			return nil, x.FieldErrorf("fleet.boxes", "there are %d kinds; their number can be set for one kind only", len(x.Fleet.Groups))
		}
		y.Fleet.Groups = slices.Clone(x.Fleet.Groups)
		y.Fleet.Groups[0].Count = caches
	}
	return &y, y.validate()
}

// originName is the name of the origin.
const originName = "origin"

// ServerSpecs returns the servers: the caches box-0, box-1 and so on, and the origin.
func (x *Experiment) ServerSpecs() []fakes.ServerSpec {
	var specs []fakes.ServerSpec
	nextZone := 0
	for i := range x.Fleet.Groups {
		group := &x.Fleet.Groups[i]
		for range group.Count {
			spec := fakes.ServerSpec{Name: fmt.Sprintf("box-%d", len(specs)), Zone: group.Zone, Size: group.Size, Config: group.modelConfig()}
			if spec.Zone == "" {
				spec.Zone = x.Fleet.Zones[nextZone%len(x.Fleet.Zones)]
				nextZone++
			}
			specs = append(specs, spec)
		}
	}
	return append(specs, fakes.ServerSpec{
		Name: originName, Zone: x.Fleet.Zones[0], Origin: true, Size: 1, Config: x.Fleet.Origin.modelConfig(),
	})
}

// CacheCount returns how many servers there are beside the origin.
func (x *Experiment) CacheCount() (count int) {
	for i := range x.Fleet.Groups {
		count += x.Fleet.Groups[i].Count
	}
	return count
}

// originID returns the place of the origin: the last one.
func (x *Experiment) originID() servermodel.ServerID { return servermodel.ServerID(x.CacheCount()) }

// serverNames returns the names of the servers by their places.
func (x *Experiment) serverNames() []string {
	var names []string
	for _, spec := range x.ServerSpecs() {
		names = append(names, spec.Name)
	}
	return names
}

// ClassCosts returns what requests cost, by class.
func (x *Experiment) ClassCosts() map[string]servermodel.Cost {
	costs := map[string]servermodel.Cost{}
	for i := range x.Classes {
		class := &x.Classes[i]
		costs[class.Name] = servermodel.Cost{
			Cache: class.CacheWork.Milliseconds(), Origin: class.OriginWork.Milliseconds(), Spread: class.CostSpread,
			DedupWindow: class.DedupWindow.Milliseconds(),
		}
	}
	return costs
}

// AttemptTimeoutMs returns the time that an attempt of a class of requests gives its node, in ms.
func (x *Experiment) AttemptTimeoutMs(class int) float64 {
	return x.Classes[class].Timeout.Milliseconds() * x.Load.AttemptTimeoutShare
}

// LongestTimeout returns the longest timeout of any class of requests.
func (x *Experiment) LongestTimeout() (longest time.Duration) {
	for i := range x.Classes {
		longest = max(longest, x.Classes[i].Timeout.Duration())
	}
	return longest
}

// OperatorFile returns where the operator's file of the nodes is, "" for none.
func (x *Experiment) OperatorFile() string {
	if x.Nodes.OperatorFile == "" || filepath.IsAbs(x.Nodes.OperatorFile) {
		return x.Nodes.OperatorFile
	}
	return filepath.Join(filepath.Dir(x.file.Name), x.Nodes.OperatorFile)
}

// HasPeers reports whether the nodes send messages to one another, by the operator's file.
func (x *Experiment) HasPeers() (bool, error) {
	file, err := operatorfile.Read(x.OperatorFile())
	return err == nil && file.Fleet != nil, err
}

// WarmKeys calls store with the keys that each cache holds at the start, for caches that were running before: the most popular ones, the
// most popular of them last.
func (x *Experiment) WarmKeys(keys []string, store func(place int, keys []string)) {
	if !x.Load.WarmCaches {
		return
	}
	place := 0
	for i := range x.Fleet.Groups {
		group := &x.Fleet.Groups[i]
		for range group.Count {
			if !group.EmptyCache {
				held := slices.Clone(keys[:min(len(keys), group.CacheObjects)])
				slices.Reverse(held)
				store(place, held)
			}
			place++
		}
	}
}

// InvariantSlackMs returns how much later than the rules say something may happen on a machine that is never late, in ms.
func (x *Experiment) InvariantSlackMs() float64 {
	const transport = 50 // on the way between processes
	return transport + x.Rules.AnswerSlack.Milliseconds()
}
