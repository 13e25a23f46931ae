package clients

import (
	"mintspring/internal/config/settings"
	"mintspring/internal/fleet"
)

// minWriteTimeout is the least time after which a client that reads nothing is closed, in ms.
const minWriteTimeout = 1000

// Config is what one generation of the settings says about requests: the names that clients use, and limits. It is not
// changed once in use.
type Config struct {
	Classes        map[string]*Class
	Tenants        map[string]fleet.TenantID
	ReturnMargin   float64 // ms of a client's time limit that are kept for the reply's way back
	LongestTimeout float64 // ms, of all classes
	WriteTimeout   float64 // ms after which a client that reads nothing is closed: the longest timeout, or minWriteTimeout
	RetryAfter     float64 // ms sent to a client whose request is rejected before the node has seen it; 0: not sent
}

// Class is a request class as clients name it.
type Class struct {
	ID fleet.ClassID
	fleet.Class
}

// NewConfig returns the configuration of a deployment. The function id returns the id of a class by its name.
func NewConfig(d settings.Deployment, id func(name string) (fleet.ClassID, bool)) *Config {
	c := &Config{
		Classes: map[string]*Class{}, Tenants: map[string]fleet.TenantID{},
		ReturnMargin: d.Limits.Quantum,
	}
	for i, name := range d.RequestClasses {
		if classID, known := id(name); known {
			c.Classes[name] = &Class{classID, d.Limits.Classes[i]}
			c.LongestTimeout = max(c.LongestTimeout, d.Limits.Classes[i].ClientTimeout)
		}
	}
	c.WriteTimeout = max(c.LongestTimeout, minWriteTimeout)
	if d.Limits.SendRetryAfter {
		c.RetryAfter = d.Limits.MaxRetryAfter
	}
	for i, name := range d.Tenants {
		c.Tenants[name] = fleet.TenantID(i)
	}
	return c
}

// Deadline returns when a request must have its response that arrived at a time from a client that waits for so many ms; +Inf:
// the client does not say how long.
func (c *Config) Deadline(class *fleet.Class, arrivedAt, clientLimit float64) float64 {
	return arrivedAt + max(1, min(clientLimit, class.ClientTimeout)-c.ReturnMargin)
}
