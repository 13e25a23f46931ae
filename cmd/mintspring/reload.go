package main

import (
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/config/operatorfile"
	"mintspring/internal/config/platform"
	"mintspring/internal/config/settings"
	"mintspring/internal/transient"
)

// activeConfig is the configuration that a node runs with.
type activeConfig struct {
	platform *platform.Config
	operator *operatorfile.File
}

// reloadTarget is a running node to which a reloaded configuration is applied.
type reloadTarget interface {
	SetDiscovery(addr string)
	Reconfigure(deployment settings.Deployment) error
}

// reload reads both files again and returns the configuration that is active from now on. The settings, the address of the discovery
// service and the log section take effect at once. Other changes take effect after a restart only, and their names are logged. If a file
// cannot be used, nothing changes. Nothing changes either if the new configuration lacks keys of the active one: its file may have been
// truncated and still be parseable.
//
// An error means that reading a file failed with a transient error. Nothing has changed then.
func (a activeConfig) reload(files fileFlags, n reloadTarget, log *logrus.Logger) (activeConfig, error) {
	config, err := a.platform.Reload(files.getenv)
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
	entry := log.WithField("discovery", config.Discovery)
	if names := slices.Concat(a.platform.RestartRequired(config), a.operator.RestartRequired(operator)); len(names) > 0 {
		entry = entry.WithField("needs_restart", strings.Join(names, ","))
	}
	entry.Info("reloaded the configuration")
	merged := *a.operator
	merged.Log = operator.Log
	return activeConfig{a.platform.Merged(config), &merged}, nil
}

// reloadIfChanged reloads if one of the files has changed since the active configuration was read. A process that takes over has read them
// before it was ready, and a SIGHUP sent in between went to its predecessor. pendingRetry is the channel of a retry that is due because a
// SIGHUP reached this process; it stays if nothing has changed.
func (a activeConfig) reloadIfChanged(
	files fileFlags, n reloadTarget, log *logrus.Logger, pendingRetry <-chan time.Time,
) (activeConfig, <-chan time.Time) {
	config, err := a.platform.Reload(files.getenv)
	if err == nil && config.SameFile(a.platform) && a.isOperatorFileUnchanged(files) {
		return a, pendingRetry
	}
	return a.reloadOrScheduleRetry(files, n, log, logrus.WarnLevel)
}

func (a activeConfig) isOperatorFileUnchanged(files fileFlags) bool {
	operator, err := operatorfile.Read(files.Operator)
	return err == nil && reflect.DeepEqual(operator, a.operator)
}

// reloadRetryInterval is the time until a reload is retried after a transient error.
const reloadRetryInterval = 50 * time.Millisecond

// reloadOrScheduleRetry reloads. After a transient error, which it logs at the given level, it returns a channel that receives a value when
// the retry is due. Otherwise the channel is nil.
func (a activeConfig) reloadOrScheduleRetry(files fileFlags, n reloadTarget, log *logrus.Logger, level logrus.Level) (activeConfig, <-chan time.Time) {
	reloaded, err := a.reload(files, n, log)
	if err == nil {
		return reloaded, nil
	}
	log.WithError(err).Log(level, "cannot read the configuration; retrying")
	return a, time.After(reloadRetryInterval)
}
