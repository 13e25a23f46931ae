package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"mintspring/internal/config/operatorfile"
	"mintspring/internal/config/platform"
	"mintspring/internal/controlplane/config"
)

type runCmd struct{ configFiles }

// Run runs the control plane until the context ends. SIGHUP reloads the configuration.
func (c *runCmd) Run(ctx context.Context) error {
	configuration, err := c.readConfiguration()
	if err != nil {
		return err
	}
	operator, err := config.Read(c.Operator)
	if err != nil {
		return err
	}
	log := logrus.New()
	operator.Log.Apply(log)
	operatorfile.WarnDeprecated(log, operator.Deprecated)
	plane, err := startControlPlane(configuration, operator, log)
	if err != nil {
		return err
	}
	defer plane.stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	log.WithField("listen", plane.addr).WithField("cluster", operator.Cluster).Info("serving")
	for {
		select {
		case <-ctx.Done():
			log.Info("stopping")
			return nil
		case err := <-plane.serveErr:
			return err
		case <-hangups:
			configuration = c.reload(configuration, plane, log)
		}
	}
}

// reload reads the configuration again and returns the active one. A new discovery address takes effect at once; a log field lists the
// changes that need a restart. If the new file is invalid, or lacks keys of the active configuration, the active one is kept: a
// truncated file may still parse.
func (c *runCmd) reload(active *platform.Config, plane *controlPlane, log *logrus.Logger) *platform.Config {
	next, err := c.readConfiguration()
	if err == nil {
		err = active.CheckComplete(next)
	}
	if err != nil {
		log.WithError(err).Error("cannot reload the configuration; keeping the active one")
		return active
	}
	if next.Discovery != active.Discovery {
		plane.controller.SetDiscovery(next.Discovery)
	}
	entry := log.WithField("discovery", next.Discovery)
	if active.SettingsChanged(next) {
		entry = entry.WithField("needs_restart", "settings")
	}
	entry.Info("reloaded the configuration")
	return next
}
