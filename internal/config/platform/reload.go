package platform

import (
	"bytes"
	"reflect"
)

// RestartRequired returns the names of the fields that differ in another configuration and take effect after a restart
// only. The known endpoint list and the seed matter at a start alone, and the settings are taken over.
func (c *Config) RestartRequired(other *Config) (names []string) {
	d, o := &c.Deployment, &other.Deployment
	for _, f := range []struct {
		name    string
		differs bool
	}{
		{"name", c.Name != other.Name},
		{"listen", c.Listen != other.Listen},
		{"admin", c.Admin != other.Admin},
		{"limits", c.Limits != other.Limits},
		{"settings.PolicyLimits.ConnIdle", d.ConnIdleTimeout != o.ConnIdleTimeout},
		{"settings.PolicyLimits.ConnectTimeout", d.ConnectTimeout != o.ConnectTimeout},
	} {
		if f.differs {
			names = append(names, f.name)
		}
	}
	return names
}

// SettingsChanged reports whether the settings of another configuration differ.
func (c *Config) SettingsChanged(other *Config) bool {
	deployment := other.Deployment
	deployment.Limits.Seed = c.Deployment.Limits.Seed // new at each start
	return !reflect.DeepEqual(c.Deployment, deployment)
}

// Merged returns the configuration that is in force once everything of another one is taken over that can be without a
// restart.
func (c *Config) Merged(other *Config) *Config {
	merged := *c
	merged.Discovery, merged.Deployment, merged.raw = other.Discovery, other.Deployment, other.raw
	merged.Deployment.Limits.Seed = c.Deployment.Limits.Seed
	merged.Deployment.ConnIdleTimeout = c.Deployment.ConnIdleTimeout
	merged.Deployment.ConnectTimeout = c.Deployment.ConnectTimeout
	return &merged
}

// SameFile reports whether two configurations were read from the same text.
func (c *Config) SameFile(other *Config) bool { return bytes.Equal(c.raw, other.raw) }
