package operatorfile

import (
	"mintspring/internal/config/tomlfile"
	"mintspring/internal/node/connpool"
)

// Connections configures the pools of connections to servers. docs/operators/connections.md describes each field.
type Connections struct {
	MaxPerServer        int               `toml:"max_per_server"` // connections that a cache server accepts from all nodes together
	MaxPerOrigin        int               `toml:"max_per_origin"` // connections that the origin accepts from all nodes together
	MinPerServer        int               `toml:"min_per_server"` // connections kept open to each cache server
	Prewarm             bool              `toml:"prewarm"`        // open connections before they are needed
	OpensPerSecond      float64           `toml:"opens_per_second"`
	StartOpensPerSecond float64           `toml:"start_opens_per_second"`
	StartFor            tomlfile.Duration `toml:"start_for"`
	IdleTimeout         tomlfile.Duration `toml:"idle_timeout"`
	MaxAge              tomlfile.Duration `toml:"max_age"`
	QueueTimeout        tomlfile.Duration `toml:"queue_timeout"`
	MaxQueue            int               `toml:"max_queue"`
}

func (c *Connections) check(source *tomlfile.File) error {
	if c == nil {
		return nil
	}
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"max_per_server", float64(c.MaxPerServer)},
		{"max_per_origin", float64(c.MaxPerOrigin)},
		{"min_per_server", float64(c.MinPerServer)},
		{"opens_per_second", c.OpensPerSecond},
		{"start_opens_per_second", c.StartOpensPerSecond},
		{"max_queue", float64(c.MaxQueue)},
	} {
		if f.value < 0 {
			return source.FieldErrorf("connections."+f.name, "%v is below 0", f.value)
		}
	}
	if c.MaxPerServer > 0 && c.MinPerServer > c.MaxPerServer {
		return source.FieldErrorf("connections.min_per_server", "%d is more than max_per_server, %d", c.MinPerServer, c.MaxPerServer)
	}
	return nil
}

// PoolConfigs returns the configuration of the connection pools to a cache server and to the origin: base, which comes from the
// platform's settings, with the values of this section. The section can only shorten the idle timeout, because servers close
// idle connections after their own. The origin's pool is limited by max_per_origin, idle_timeout and max_age alone, because the
// decision module limits the requests in flight at the origin.
func (c *Connections) PoolConfigs(base connpool.Config) (cache, origin connpool.Config) {
	base.MaxAge = c.MaxAge.Milliseconds()
	if idle := c.IdleTimeout.Milliseconds(); idle > 0 && (base.IdleTimeout <= 0 || idle < base.IdleTimeout) {
		base.IdleTimeout = idle
	}
	cache, origin = base, base
	origin.MaxConns = c.MaxPerOrigin
	cache.MaxConns, cache.MinConns, cache.Prewarm = c.MaxPerServer, c.MinPerServer, c.Prewarm
	cache.DialRate, cache.StartupDialRate = c.OpensPerSecond, c.StartOpensPerSecond
	cache.WaitTimeout, cache.MaxWaiting = c.QueueTimeout.Milliseconds(), c.MaxQueue
	if c.StartFor > 0 {
		cache.StartupWindow = c.StartFor.Milliseconds()
	}
	return cache, origin
}
