package clients

import (
	"mintspring/internal/fleet"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/sockstate"
)

// maxConfigRetention is how long after a change of the configuration a connection goes by the earlier one too, in ms. The ids of classes that
// were replaced are not reused for longer.
const maxConfigRetention = 8000

// retainedConfig is a configuration that was replaced while commands of a connection had arrived and were not processed.
type retainedConfig struct {
	config *Config
	until  float64 // ms of the server's clock
}

// retainConfig makes the connection go by a replaced configuration too if it has unprocessed input, until that is processed.
func (c *conn) retainConfig(replaced *Config, now float64) {
	unread, _ := sockstate.Peek(c.net)
	c.mu.Lock()
	defer c.mu.Unlock()
	if unread || c.state.paused || c.state.readInProgress || c.state.midCommand {
		c.retained = append(c.retained, retainedConfig{replaced, now + maxConfigRetention})
	}
}

// dropRetainedConfigs ends the use of replaced configurations once all input has been processed.
func (c *conn) dropRetainedConfigs() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.retained) == 0 {
		return
	}
	if unread, _ := sockstate.Peek(c.net); !unread {
		c.retained = nil
	}
}

// parseRequest parses a request. If it may have been written before a change of the configuration, it belongs to the class whose effect is the
// stricter one: the client may have named a class whose requests must not be repeated.
func (c *conn) parseRequest(args [][]byte, arrivedAt float64, owned bool) (*exchange.Exchange, error) {
	config := c.server.Config()
	request, err := config.parseRequest(args, arrivedAt, owned)
	for _, replaced := range c.retainedConfigs() {
		earlier, earlierErr := replaced.parseRequest(args, arrivedAt, owned)
		if earlierErr == nil && (err != nil || replaced.effect(earlier.Class) > config.effect(request.Class)) {
			config, request, err = replaced, earlier, nil
		}
	}
	return request, err
}

// retainedConfigs returns the replaced configurations that may apply, the earliest one first.
func (c *conn) retainedConfigs() (configs []*Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.retained) == 0 {
		return nil
	}
	now := c.server.Clock.Now()
	for _, r := range c.retained {
		if now < r.until {
			configs = append(configs, r.config)
		}
	}
	return configs
}

// effect returns the effect of a class of this configuration.
func (c *Config) effect(id fleet.ClassID) fleet.Effect {
	for _, class := range c.Classes {
		if class.ID == id {
			return class.Effect
		}
	}
	return fleet.Idempotent
}
