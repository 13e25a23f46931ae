package operator

import (
	"mintspring/pool"
	"mintspring/tomlfile"
)

// Connections bounds the pools of connections to servers. docs/operators/connections.md says what each field does.
type Connections struct {
	PerServer      int           `toml:"per_server"`       // taken by a server from all nodes together
	PerOrigin      int           `toml:"per_origin"`       // the same of the origin
	Floor          int           `toml:"floor"`            // kept open to each server
	Ahead          bool          `toml:"ahead"`            // opened before they are needed
	PerSecond      float64       `toml:"opens_per_second"` // at one server, by all nodes together
	StartPerSecond float64       `toml:"start_opens_per_second"`
	StartFor       tomlfile.Span `toml:"start_for"`
	Idle           tomlfile.Span `toml:"idle"`
	Age            tomlfile.Span `toml:"max_age"`
	Wait           tomlfile.Span `toml:"wait"`
	Queue          int           `toml:"queue"`
}

func (c *Connections) check(at *tomlfile.File) error {
	for _, f := range []struct {
		name  string
		value float64
	}{{"per_server", float64(c.PerServer)}, {"per_origin", float64(c.PerOrigin)}, {"floor", float64(c.Floor)}, {"opens_per_second", c.PerSecond},
		{"start_opens_per_second", c.StartPerSecond}, {"queue", float64(c.Queue)}} {
		if f.value < 0 {
			return at.Fault("connections."+f.name, "%v is below 0", f.value)
		}
	}
	if c.PerServer > 0 && c.Floor > c.PerServer {
		return at.Fault("connections.floor", "%d is more than per_server, %d", c.Floor, c.PerServer)
	}
	return nil
}

// Over puts what the section states over the terms that follow from the platform's settings, for cache servers and for the
// origin. An idle time can only become shorter: a peer closes its connections by its own. The origin's connections are
// bounded by per_origin and the times alone: what may be out there is the decision module's to say.
func (c *Connections) Over(t pool.Terms) (cache, origin pool.Terms) {
	t.Age = c.Age.Ms()
	if c.Idle > 0 && (t.Idle <= 0 || c.Idle.Ms() < t.Idle) {
		t.Idle = c.Idle.Ms()
	}
	origin = t
	origin.Most = c.PerOrigin
	t.Most, t.Floor, t.Ahead, t.PerS, t.StartPerS = c.PerServer, c.Floor, c.Ahead, c.PerSecond, c.StartPerSecond
	t.Wait, t.Queue = c.Wait.Ms(), c.Queue
	if c.StartFor > 0 {
		t.StartFor = c.StartFor.Ms()
	}
	return t, origin
}
