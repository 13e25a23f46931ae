package platform

import (
	"bytes"
	"reflect"
	"slices"
)

// RestartRequired returns the names of the fields that differ in another configuration and take effect only after a restart.
// The cached endpoint list and the seed are left out, because they are used only at a start. Of the settings, only the two
// connection timeouts need a restart.
func (c *Config) RestartRequired(other *Config) (names []string) {
	d, o := &c.Deployment, &other.Deployment
	for _, f := range []struct {
		name    string
		differs bool
	}{
		{"name", c.Name != other.Name},
		{"listen", c.Listen != other.Listen},
		{"admin", c.Admin != other.Admin},
		{"peer_listen", c.PeerListen != other.PeerListen},
		{"peers", !slices.Equal(c.Peers, other.Peers)},
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

// SettingsChanged reports whether the settings of another configuration differ, except for the seed.
func (c *Config) SettingsChanged(other *Config) bool {
	deployment := other.Deployment
	deployment.Limits.Seed = c.Deployment.Limits.Seed // differs at each start
	return !reflect.DeepEqual(c.Deployment, deployment)
}

// Merged returns this configuration with every change from another one that takes effect without a restart.
func (c *Config) Merged(other *Config) *Config {
	merged := *c
	merged.Discovery, merged.Deployment = other.Discovery, other.Deployment
	merged.raw, merged.file, merged.keys = other.raw, other, other.keys
	merged.Deployment.Limits.Seed = c.Deployment.Limits.Seed
	merged.Deployment.ConnIdleTimeout = c.Deployment.ConnIdleTimeout
	merged.Deployment.ConnectTimeout = c.Deployment.ConnectTimeout
	return &merged
}

// SameFile reports whether the files of two configurations had the same contents.
func (c *Config) SameFile(other *Config) bool { return bytes.Equal(c.raw, other.raw) }
