// Package config reads the control plane's operator file. docs/operators/control.md describes each field, its unit and default;
// deploy/control.toml lists all of them as comments.
package config

import (
	"time"

	"mintspring/internal/config/operatorfile"
	"mintspring/internal/config/tomlfile"
	"mintspring/internal/controlplane/loadreport"
	"mintspring/internal/controlplane/server"
	"mintspring/internal/controlplane/stream"
)

// File is the content of the operator file, with defaults for the fields that the file does not set.
type File struct {
	Listen         string                 `toml:"listen"`
	Cluster        string                 `toml:"cluster"`
	BatchInterval  tomlfile.Duration      `toml:"batch_interval"`
	Lease          *tomlfile.Duration     `toml:"lease"`        // 0: no leases; set by Read
	EndpointTTL    tomlfile.Duration      `toml:"endpoint_ttl"` // 0: unlimited
	AllowPlaintext bool                   `toml:"allow_plaintext"`
	Streams        Streams                `toml:"streams"`
	LoadReports    LoadReports            `toml:"load_reports"`
	TLS            *TLS                   `toml:"tls"`
	Log            *operatorfile.Log      `toml:"log"`
	Snapshot       *operatorfile.Snapshot `toml:"snapshot"`

	// Deprecated lists the deprecated names that the file uses.
	Deprecated []tomlfile.Deprecation `toml:"-"`
}

// Streams limits the resources of the control plane that proxies may use.
type Streams struct {
	Max              int               `toml:"max"`
	MaxConnections   int               `toml:"max_connections"`
	MaxPerConnection int               `toml:"max_per_connection"`
	MaxNames         int               `toml:"max_names"`
	MaxRequestBytes  int               `toml:"max_request_bytes"`
	AckTimeout       tomlfile.Duration `toml:"ack_timeout"`
}

// LoadReports sets which load reports of proxies are aggregated, and how often proxies send them.
type LoadReports struct {
	MinReporters int               `toml:"min_reporters"`
	MaxAge       tomlfile.Duration `toml:"max_age"`
	Interval     tomlfile.Duration `toml:"interval"`
}

// TLS names the certificate files, and the proxies that may connect. Its fields are those of server.TLSConfig.
type TLS struct {
	CertFile     string   `toml:"cert"`
	KeyFile      string   `toml:"key"`
	ClientCAFile string   `toml:"client_ca"`
	AllowedNames []string `toml:"allowed_names"`
}

// aliases returns the deprecated names of fields, which are still accepted.
func aliases() []tomlfile.Alias {
	return append(operatorfile.SnapshotAliases(), []tomlfile.Alias{
		{Old: "gather", New: "batch_interval"},
		{Old: "ttl", New: "endpoint_ttl"},
		{Old: "plain_anywhere", New: "allow_plaintext"},
		{Table: "streams", Old: "most", New: "max"},
		{Table: "streams", Old: "connections", New: "max_connections"},
		{Table: "streams", Old: "per_connection", New: "max_per_connection"},
		{Table: "streams", Old: "names", New: "max_names"},
		{Table: "streams", Old: "request_bytes", New: "max_request_bytes"},
		{Table: "streams", Old: "stall", New: "ack_timeout"},
		{Old: "load", New: "load_reports"},
		{Table: "load_reports", Old: "witnesses", New: "min_reporters"},
		{Table: "load_reports", Old: "fresh", New: "max_age"},
		{Table: "load_reports", Old: "every", New: "interval"},
		{Table: "tls", Old: "clients", New: "client_ca"},
		{Table: "tls", Old: "peers", New: "allowed_names"},
	}...)
}

// Default values of the file's fields.
const (
	defaultListen           = "127.0.0.1:18000"
	defaultCluster          = "mintspring"
	defaultBatchInterval    = 100 * time.Millisecond
	defaultLease            = maxLease
	defaultMaxStreams       = 1000
	defaultMaxConnections   = 1000
	defaultMaxPerConnection = 16
	defaultMaxNames         = 4096
	defaultMaxRequestBytes  = 1 << 20
	defaultAckTimeout       = 10 * time.Second
	defaultMinReporters     = 2
	defaultReportMaxAge     = 10 * time.Second
	defaultReportInterval   = time.Second
)

const (
	// maxLease is the longest lease. The control plane guarantees that a proxy which misses an update starts no new request at a
	// draining server more than 500 ms after the drain. A fifth of that is reserved for applying the drain and for proxies that check
	// the lease late.
	maxLease = 400 * time.Millisecond

	minLease       = 100 * time.Millisecond // the interval at which proxies request leases
	minEndpointTTL = 100 * time.Millisecond

	// maxNameBytes limits the length of each resource name that a proxy subscribes to.
	maxNameBytes = 256
)

// Read reads a file, fills in the defaults and validates the result. With an empty name it returns the defaults.
func Read(name string) (*File, error) {
	f := &File{}
	if name == "" {
		f.setDefaults()
		return f, nil
	}
	source, err := tomlfile.Read(name, f, aliases()...)
	if err != nil {
		return nil, err
	}
	f.Deprecated = source.Deprecated
	f.setDefaults()
	return f, f.validate(source)
}

func (f *File) setDefaults() {
	setDefault(&f.Listen, defaultListen)
	setDefault(&f.Cluster, defaultCluster)
	setDefault(&f.BatchInterval, tomlfile.Duration(defaultBatchInterval))
	if f.Lease == nil {
		lease := tomlfile.Duration(defaultLease)
		f.Lease = &lease
	}
	setDefault(&f.Streams.Max, defaultMaxStreams)
	setDefault(&f.Streams.MaxConnections, defaultMaxConnections)
	setDefault(&f.Streams.MaxPerConnection, defaultMaxPerConnection)
	setDefault(&f.Streams.MaxNames, defaultMaxNames)
	setDefault(&f.Streams.MaxRequestBytes, defaultMaxRequestBytes)
	setDefault(&f.Streams.AckTimeout, tomlfile.Duration(defaultAckTimeout))
	setDefault(&f.LoadReports.MinReporters, defaultMinReporters)
	setDefault(&f.LoadReports.MaxAge, tomlfile.Duration(defaultReportMaxAge))
	setDefault(&f.LoadReports.Interval, tomlfile.Duration(defaultReportInterval))
}

// setDefault sets a zero value to its default.
func setDefault[T comparable](value *T, def T) {
	var zero T
	if *value == zero {
		*value = def
	}
}

// ServerConfig returns the configuration of the xDS server.
func (f *File) ServerConfig() server.Config {
	return server.Config{
		StreamLimits: stream.Limits{
			MaxNames:     f.Streams.MaxNames,
			MaxNameBytes: maxNameBytes,
			LeaseMs:      f.Lease.Milliseconds(),
			TTLMs:        f.EndpointTTL.Milliseconds(),
		},
		MaxConnections:          f.Streams.MaxConnections,
		MaxStreams:              f.Streams.Max,
		MaxStreamsPerConnection: uint32(f.Streams.MaxPerConnection),
		MaxRequestBytes:         f.Streams.MaxRequestBytes,
		AckTimeout:              f.Streams.AckTimeout.Duration(),
		LoadReportInterval:      f.LoadReports.Interval.Duration(),
	}
}

// LoadReportConfig returns the configuration of the load report aggregation.
func (f *File) LoadReportConfig() loadreport.Config {
	return loadreport.Config{
		MinReporters: f.LoadReports.MinReporters,
		MaxAgeMs:     f.LoadReports.MaxAge.Milliseconds(),
		MaxProxies:   f.Streams.Max,
	}
}
