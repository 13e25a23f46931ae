// Package experiment defines experiments and evaluates their runs. An experiment consists of fake servers, nodes, the load of clients, a
// timeline of faults, and expectations of the figures that clients and servers measure.
//
// An experiment is a TOML file (docs/experiments.md). Package processrunner runs it with real processes, package simulator on a virtual
// clock. This package contains the definition, the timeline, the generation of requests and the figures of a run.
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

// Experiment is the content of an experiment file. docs/experiments.md describes the fields.
type Experiment struct {
	Name   string            `toml:"name"`
	About  string            `toml:"about"`
	Seed   uint64            `toml:"seed"`
	Settle tomlfile.Duration `toml:"settle"` // duration of the load before the measurement
	Length tomlfile.Duration `toml:"length"` // duration of the measurement

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
	FetchThrough   bool              `toml:"fetch"` // there is no origin: caches do its work; simulator only
	DiscoveryDelay tomlfile.Duration `toml:"discovery_late"`
}

// ServerGroup is a number of identical caches. They are in one zone or, if none is named, spread over all zones.
type ServerGroup struct {
	Count      int     `toml:"count"`
	Zone       string  `toml:"zone"`
	Size       float64 `toml:"size"`
	EmptyCache bool    `toml:"empty"`
	ServerConfig
}

// ServerConfig describes the capacity and behaviour of a server.
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

// modelConfig converts the configuration for the server model.
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
	CoreShare             float64           `toml:"core_share"` // share of a core that each process gets; 0: as much as there is; real processes only
	KnownList             bool              `toml:"known_list"` // nodes are started with the endpoint list as it was at the beginning; real processes only
	OperatorFile          string            `toml:"operator"`   // relative to the experiment file
	Quantum               tomlfile.Duration `toml:"quantum"`
	ClockSkew             tomlfile.Duration `toml:"clock_skew"`   // greatest offset of a node's clock in either direction; simulator only
	ClockDrift            float64           `toml:"clock_drift"`  // greatest rate error of a node's clock, as a share in either direction; simulator only
	RequestCost           tomlfile.Duration `toml:"query_cost"`   // processor time of a node for one request; simulator only
	TrafficWeights        []int             `toml:"traffic"`      // weights of the nodes' shares of the load, repeated as needed; left out: equal shares
	FailureDetectionDelay tomlfile.Duration `toml:"front_notice"` // how long clients still send to a node after it has died
}

// RulesConfig holds the platform's rules, which nodes receive in their settings.
type RulesConfig struct {
	DrainGrace            tomlfile.Duration `toml:"drain_grace"`
	AnswerSlack           tomlfile.Duration `toml:"answer_slack"`
	MaxAttempts           int               `toml:"max_executions"`
	Hedging               bool              `toml:"second_copies"`
	Probes                bool              `toml:"probes"`
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

	semantics invariants.WriteSemantics // from Effect
}

// TenantConfig is one tenant.
type TenantConfig struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
}

// LoadConfig describes the clients. Arrivals are an open-loop Poisson process: they do not wait for responses.
type LoadConfig struct {
	Rate                float64           `toml:"rate"` // requests a second, without retries
	Keys                int               `toml:"keys"`
	ZipfExponent        float64           `toml:"zipf"`
	ValueBytes          int               `toml:"bytes"`
	Connections         string            `toml:"connections"` // keepConnections or dropConnections
	Retries             int               `toml:"retries"`
	RetryWait           tomlfile.Duration `toml:"retry_wait"`
	HonourRetryAfter    bool              `toml:"honour_waits"`
	AttemptTimeoutShare float64           `toml:"try_share"`    // timeout of an attempt as a share of the request's timeout
	FlagRetries         bool              `toml:"mark_retries"` // retries carry a flag that marks them as retries
	RetryAlways         bool              `toml:"insist"`       // deduplicated requests are retried after any failure, even after their deduplication window
	PersistentClients   int               `toml:"persistent"`   // clients for each node, in addition to the rate, that use one connection for as long as it is open
	BurstClients        int               `toml:"bursts"`       // clients for each node, in addition to the rate, that write hundreds of commands at once
	EarlyCloseShare     float64           `toml:"leave"`        // share of the persistent clients' requests during which the client closes its connection
	WarmCaches          bool              `toml:"warm"`         // caches hold the most popular keys at the start, except those with EmptyCache
}

// Values of LoadConfig.Connections: whether clients keep or close a connection after a response.
const (
	keepConnections = "keep"
	dropConnections = "drop"
)

// DropsConnections reports whether clients close their connections after each response.
func (l *LoadConfig) DropsConnections() bool { return l.Connections == dropConnections }

// Expectation is a bound on a figure that a run has to meet.
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

// Parse reads and checks an experiment from text. Errors contain the name as the file's name.
func Parse(name, text string) (*Experiment, error) {
	x := defaultExperiment()
	file, err := tomlfile.Parse(name, []byte(text), x)
	if err != nil {
		return nil, err
	}
	return x.finalize(file)
}

// FieldErrorf returns an error about a field of the experiment file, with the line of the field.
func (x *Experiment) FieldErrorf(field, format string, args ...any) error {
	return x.file.FieldErrorf(field, format, args...)
}

// WithSize returns the experiment with another number of nodes, caches and requests a second; 0 keeps the file's value. It fails if a step
// names a cache that no longer exists.
func (x *Experiment) WithSize(nodes, caches int, rate float64) (*Experiment, error) {
	resized := *x
	if nodes > 0 {
		resized.Nodes.Count = nodes
	}
	if rate > 0 {
		resized.Load.Rate = rate
	}
	if caches > 0 {
		if len(x.Fleet.Groups) != 1 {
			return nil, x.FieldErrorf("fleet.boxes", "has %d groups; the number of caches can be set for a single group only", len(x.Fleet.Groups))
		}
		resized.Fleet.Groups = slices.Clone(x.Fleet.Groups)
		resized.Fleet.Groups[0].Count = caches
	}
	return &resized, resized.validate()
}

// originName is the name of the origin server.
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

// CacheCount returns the number of servers without the origin.
func (x *Experiment) CacheCount() (count int) {
	for i := range x.Fleet.Groups {
		count += x.Fleet.Groups[i].Count
	}
	return count
}

// coresOf returns the number of cores of a server.
func (x *Experiment) coresOf(id servermodel.ServerID) int {
	first := 0 // server of the group
	for i := range x.Fleet.Groups {
		group := &x.Fleet.Groups[i]
		if int(id) < first+group.Count {
			return group.Cores
		}
		first += group.Count
	}
	return x.Fleet.Origin.Cores
}

// originID returns the id of the origin: the index of the last server.
func (x *Experiment) originID() servermodel.ServerID { return servermodel.ServerID(x.CacheCount()) }

// serverNames returns the names of the servers by index.
func (x *Experiment) serverNames() []string {
	var names []string
	for _, spec := range x.ServerSpecs() {
		names = append(names, spec.Name)
	}
	return names
}

// ClassCosts returns the cost of requests by class.
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

// AttemptTimeoutMs returns the timeout of an attempt of a request class, in ms.
func (x *Experiment) AttemptTimeoutMs(class int) float64 {
	return x.Classes[class].Timeout.Milliseconds() * x.Load.AttemptTimeoutShare
}

// LongestTimeout returns the longest timeout of any request class.
func (x *Experiment) LongestTimeout() (longest time.Duration) {
	for i := range x.Classes {
		longest = max(longest, x.Classes[i].Timeout.Duration())
	}
	return longest
}

// OperatorFile returns the path of the nodes' operator file, or "" if they have none.
func (x *Experiment) OperatorFile() string {
	if x.Nodes.OperatorFile == "" || filepath.IsAbs(x.Nodes.OperatorFile) {
		return x.Nodes.OperatorFile
	}
	return filepath.Join(filepath.Dir(x.file.Name), x.Nodes.OperatorFile)
}

// HasPeers reports whether the operator's file configures the nodes as peers, which exchange messages.
func (x *Experiment) HasPeers() (bool, error) {
	file, err := operatorfile.Read(x.OperatorFile())
	return err == nil && file.Fleet != nil, err
}

// WarmKeys calls store for each cache that is warm at the start, with the keys that the cache holds: the most popular keys that fit, in
// order of increasing popularity.
func (x *Experiment) WarmKeys(keys []string, store func(index int, keys []string)) {
	if !x.Load.WarmCaches {
		return
	}
	index := 0
	for i := range x.Fleet.Groups {
		group := &x.Fleet.Groups[i]
		for range group.Count {
			if !group.EmptyCache {
				warmKeys := slices.Clone(keys[:min(len(keys), group.CacheObjects)])
				slices.Reverse(warmKeys)
				store(index, warmKeys)
			}
			index++
		}
	}
}

// InvariantSlackMs returns the tolerance for deadlines of the rules, in ms. It does not cover lateness of the machine itself.
func (x *Experiment) InvariantSlackMs() float64 {
	const transportMs = 50 // between processes
	return transportMs + x.Rules.AnswerSlack.Milliseconds()
}
