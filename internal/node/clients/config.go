package clients

import (
	"mintspring/internal/config/settings"
	"mintspring/internal/fleet"
)

const (
	// minWriteTimeout is the minimum of Config.WriteTimeout, in ms. A client that reads slowly acknowledges bytes only when it has room for a
	// whole segment, which on loopback has 64 KiB.
	minWriteTimeout = 10_000
	// minLingerTimeout and lingerDivisor give Config.LingerTimeout from the longest client timeout, in ms.
	minLingerTimeout = 250
	lingerDivisor    = 4
)

// Config is the part of the settings that applies to requests: the names that clients use, and limits. It is immutable once in use.
type Config struct {
	Classes        map[string]*Class
	Tenants        map[string]fleet.TenantID
	ReplyMargin    float64 // ms of a client's time limit that are reserved for sending the reply
	LongestTimeout float64 // ms; the longest client timeout of all classes
	WriteTimeout   float64 // ms after which a client that takes nothing of its replies is closed: LongestTimeout, but at least minWriteTimeout
	LingerTimeout  float64 // ms for which a connection is read on after its last reply
	RetryAfter     float64 // ms, sent with the rejection of a request that has not reached the Handler; 0: not sent
}

// Class is a request class with its ID.
type Class struct {
	ID fleet.ClassID
	fleet.Class
}

// NewConfig returns the configuration of a deployment. The function id looks up the ID of a class by its name; classes that it does not
// know are left out.
func NewConfig(d settings.Deployment, id func(name string) (fleet.ClassID, bool)) *Config {
	c := &Config{
		Classes: map[string]*Class{}, Tenants: map[string]fleet.TenantID{},
		ReplyMargin: d.Limits.Quantum,
	}
	for i, name := range d.RequestClasses {
		if classID, known := id(name); known {
			c.Classes[name] = &Class{classID, d.Limits.Classes[i]}
			c.LongestTimeout = max(c.LongestTimeout, d.Limits.Classes[i].ClientTimeout)
		}
	}
	c.WriteTimeout = max(c.LongestTimeout, minWriteTimeout)
	c.LingerTimeout = max(c.LongestTimeout/lingerDivisor, minLingerTimeout)
	if d.Limits.SendRetryAfter {
		c.RetryAfter = d.Limits.MaxRetryAfter
	}
	for i, name := range d.Tenants {
		c.Tenants[name] = fleet.TenantID(i)
	}
	return c
}

// Deadline returns the time by which a request must have its response. The client waits clientLimit ms from arrivedAt on; +Inf means that
// it states no limit.
func (c *Config) Deadline(class *fleet.Class, arrivedAt, clientLimit float64) float64 {
	return arrivedAt + max(1, min(clientLimit, class.ClientTimeout)-c.ReplyMargin)
}
