package main

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/config/operatorfile"
	"mintspring/internal/config/platform"
	"mintspring/internal/config/settings"
	"mintspring/internal/transient"
)

// activeConfig is what the node runs with.
type activeConfig struct {
	platform *platform.Config
	operator *operatorfile.File
}

// reloadable is what a running node takes over of a configuration.
type reloadable interface {
	SetDiscovery(addr string)
	Reconfigure(deployment settings.Deployment) error
}

// reload reads both files again and returns the configuration that is active from now on. The settings, the address of the
// discovery service and the log's section take effect at once; what else has changed is logged, because it takes effect
// after a restart only. A file that cannot be used changes nothing, and neither does one that lacks keys of the active
// configuration: it may have been truncated where it can still be parsed.
//
// An error says that a file could not be read for the moment; nothing has changed then.
func (a activeConfig) reload(files fileFlags, n reloadable, log *logrus.Logger) (activeConfig, error) {
	config, err := platform.Load(files.getenv)
	if transient.Is(err) {
		return a, err
	}
	if err == nil {
		err = a.platform.CheckComplete(config)
	}
	if err != nil {
		log.WithError(err).Error("cannot reload the configuration; keeping the active one")
		return a, nil
	}
	operator, err := operatorfile.Read(files.Operator)
	if transient.Is(err) {
		return a, err
	}
	if err != nil {
		log.WithError(err).Error("cannot reload the operator's file; keeping the active configuration")
		return a, nil
	}
	if a.platform.SettingsChanged(config) {
		if err := n.Reconfigure(config.Deployment); err != nil {
			log.WithError(err).Error("cannot apply the new settings; keeping the active configuration")
			return a, nil
		}
	}
	operator.Log.Apply(log)
	operatorfile.WarnDeprecated(log, operator.Deprecated)
	if config.Discovery != a.platform.Discovery {
		n.SetDiscovery(config.Discovery)
	}
	line := log.WithField("discovery", config.Discovery)
	if names := slices.Concat(a.platform.RestartRequired(config), a.operator.RestartRequired(operator)); len(names) > 0 {
		line = line.WithField("needs_restart", strings.Join(names, ","))
	}
	line.Info("reloaded the configuration")
	merged := *a.operator
	merged.Log = operator.Log
	return activeConfig{a.platform.Merged(config), &merged}, nil
}

// reloadIfReplaced reloads where the file is another one than the active configuration was read from. A process that takes over has read its
// file before it was ready, and a signal since then went to its predecessor.
func (a activeConfig) reloadIfReplaced(files fileFlags, n reloadable, log *logrus.Logger) (activeConfig, <-chan time.Time) {
	config, err := platform.Load(files.getenv)
	if err == nil && config.SameFile(a.platform) {
		return a, nil
	}
	return a.reloadOrPutOff(files, n, log, logrus.WarnLevel)
}

// reloadInterval is the time until a reload is tried again that was put off.
const reloadInterval = 50 * time.Millisecond

// reloadOrPutOff reloads. Where a file cannot be read for the moment, which is logged at a level, it returns a channel that says when to try
// again; nil otherwise.
func (a activeConfig) reloadOrPutOff(files fileFlags, n reloadable, log *logrus.Logger, level logrus.Level) (activeConfig, <-chan time.Time) {
	reloaded, err := a.reload(files, n, log)
	if err == nil {
		return reloaded, nil
	}
	log.WithError(err).Log(level, "cannot read the configuration; retrying")
	return a, time.After(reloadInterval)
}
