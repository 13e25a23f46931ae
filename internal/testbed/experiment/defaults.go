package experiment

import "mintspring/internal/config/tomlfile"

const (
	millisecond = tomlfile.Duration(1e6)
	second      = 1000 * millisecond
)

// defaultExperiment returns the defaults of an experiment file. The defaults of servers and classes are set by finalize.
func defaultExperiment() *Experiment {
	return &Experiment{
		Seed: 1, Settle: 5 * second, Length: 15 * second,
		Nodes: NodesConfig{Count: 2, MemoryMB: 192, Sockets: 1024, Cores: 1, Quantum: 5 * millisecond, FailureDetectionDelay: second},
		Rules: RulesConfig{
			DrainGrace: 500 * millisecond, AnswerSlack: 20 * millisecond, MaxAttempts: 4, Hedging: true, MaxRetryAfter: second,
			MaxListAge: 10 * second, ConnectionIdleTimeout: 30 * second, ConnectTimeout: 250 * millisecond,
		},
		Fleet: FleetConfig{Zones: []string{"a"}, DiscoveryDelay: 200 * millisecond},
		Load: LoadConfig{
			Rate: 200, Keys: 2000, ZipfExponent: 0.9, ValueBytes: 200, Connections: keepConnections, RetryWait: 100 * millisecond,
			HonourRetryAfter: true, AttemptTimeoutShare: 1, FlagRetries: true,
		},
	}
}

var (
	defaultCache = ServerConfig{
		Cores: 2, Speed: 1, QueueLimit: 40, MaxConnections: 100, Handshake: 2 * millisecond, StartCapacity: 0.2, WarmWithin: 10 * second,
		OverloadMultiple: 3, OverloadWindow: 2 * second, CacheObjects: 4000, ReportInterval: 500 * millisecond, ReportNoise: 0.05,
	}
	defaultOrigin = ServerConfig{
		Cores: 4, Speed: 1, QueueLimit: 200, MaxConnections: 2000, Handshake: millisecond,
		OverloadMultiple: 2.5, OverloadWindow: 3 * second, RecoveryTime: 5 * second, ReportInterval: 500 * millisecond, ReportNoise: 0.05,
	}
	defaultClass = ClassConfig{
		PriorityWeight: 1, Effect: effectIdempotent, LatencyObjective: 500 * millisecond, Timeout: 2 * second,
		CacheWork: 5 * millisecond, OriginWork: 20 * millisecond,
	}
)

// defaultTenant is the name of the only tenant if the file defines none.
const defaultTenant = "all"

// finalize sets the defaults that depend on the file, and checks the experiment.
func (x *Experiment) finalize(file *tomlfile.File) (*Experiment, error) {
	x.file = file
	x.Fleet.Origin.applyDefaults(&defaultOrigin)
	for i := range x.Fleet.Groups {
		group := &x.Fleet.Groups[i]
		group.applyDefaults(&defaultCache)
		setDefault(&group.Count, 1)
		setDefault(&group.Size, 1)
	}
	for i := range x.Classes {
		x.Classes[i].applyDefaults(&defaultClass)
	}
	if len(x.Tenants) == 0 {
		x.Tenants = []TenantConfig{{Name: defaultTenant, Share: 1}}
	}
	return x, x.validate()
}

// applyDefaults sets the defaults of a server's missing fields.
func (c *ServerConfig) applyDefaults(defaults *ServerConfig) {
	setDefault(&c.Cores, defaults.Cores)
	setDefault(&c.Speed, defaults.Speed)
	setDefault(&c.QueueLimit, defaults.QueueLimit)
	setDefault(&c.MaxConnections, defaults.MaxConnections)
	setDefault(&c.Handshake, defaults.Handshake)
	setDefault(&c.StartCapacity, defaults.StartCapacity)
	setDefault(&c.WarmWithin, defaults.WarmWithin)
	setDefault(&c.OverloadMultiple, defaults.OverloadMultiple)
	setDefault(&c.OverloadWindow, defaults.OverloadWindow)
	setDefault(&c.RecoveryTime, defaults.RecoveryTime)
	setDefault(&c.CacheObjects, defaults.CacheObjects)
	setDefault(&c.ReportInterval, defaults.ReportInterval)
	setDefault(&c.ReportNoise, defaults.ReportNoise)
}

// applyDefaults sets the defaults of a class's missing fields.
func (c *ClassConfig) applyDefaults(defaults *ClassConfig) {
	setDefault(&c.PriorityWeight, defaults.PriorityWeight)
	setDefault(&c.Effect, defaults.Effect)
	setDefault(&c.LatencyObjective, defaults.LatencyObjective)
	setDefault(&c.Timeout, defaults.Timeout)
	setDefault(&c.CacheWork, defaults.CacheWork)
	setDefault(&c.OriginWork, defaults.OriginWork)
}

// setDefault sets a field that has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
