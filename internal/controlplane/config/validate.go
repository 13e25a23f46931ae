package config

import (
	"net"
	"strings"

	"mintspring/internal/config/tomlfile"
)

// validate returns the first error found in the file.
func (f *File) validate(source *tomlfile.File) error {
	for _, check := range []func(*tomlfile.File) error{
		f.validateListen,
		f.validateTimes,
		f.validateCounts,
		f.TLS.validate,
		f.Log.Check,
		f.Snapshot.Check,
	} {
		if err := check(source); err != nil {
			return err
		}
	}
	return nil
}

func (f *File) validateListen(source *tomlfile.File) error {
	host, _, err := net.SplitHostPort(f.Listen)
	if err != nil {
		return source.FieldErrorf("listen", "%q is not host:port", f.Listen)
	}
	ip := net.ParseIP(host)
	if loopback := ip != nil && ip.IsLoopback(); !loopback && f.TLS == nil && !f.AllowPlaintext {
		return source.FieldErrorf("listen", "%q is not a loopback address: set [tls] or allow_plaintext = true", f.Listen)
	}
	if strings.ContainsAny(f.Cluster, "/*") {
		return source.FieldErrorf("cluster", "%q contains / or *", f.Cluster)
	}
	return nil
}

func (f *File) validateTimes(source *tomlfile.File) error {
	lease, ttl := f.Lease.Duration(), f.EndpointTTL.Duration()
	switch {
	case lease > maxLease:
		return source.FieldErrorf("lease", "%v is over %v, too long for the drain guarantee", lease, maxLease)
	case lease > 0 && lease < minLease:
		return source.FieldErrorf("lease", "%v is below %v, the interval at which proxies request leases", lease, minLease)
	case ttl > 0 && ttl < minEndpointTTL:
		return source.FieldErrorf("endpoint_ttl", "%v is below %v", ttl, minEndpointTTL)
	}
	return nil
}

func (f *File) validateCounts(source *tomlfile.File) error {
	for _, field := range []struct {
		name  string
		value int
	}{
		{"streams.max", f.Streams.Max},
		{"streams.max_connections", f.Streams.MaxConnections},
		{"streams.max_per_connection", f.Streams.MaxPerConnection},
		{"streams.max_names", f.Streams.MaxNames},
		{"streams.max_request_bytes", f.Streams.MaxRequestBytes},
		{"load_reports.min_reporters", f.LoadReports.MinReporters},
	} {
		if field.value < 1 {
			return source.FieldErrorf(field.name, "%d is below 1", field.value)
		}
	}
	return nil
}

// validate returns the first error found in the [tls] section. A nil section is valid.
func (t *TLS) validate(source *tomlfile.File) error {
	if t == nil {
		return nil
	}
	for _, field := range []struct{ name, value string }{
		{"tls.cert", t.CertFile},
		{"tls.key", t.KeyFile},
		{"tls.client_ca", t.ClientCAFile},
	} {
		if field.value == "" {
			return source.FieldErrorf(field.name, "missing")
		}
	}
	if len(t.AllowedNames) == 0 {
		return source.FieldErrorf("tls.allowed_names", "empty, so that no proxy could connect")
	}
	return nil
}
