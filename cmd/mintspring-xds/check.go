package main

import (
	"io"
	"os"
	"strings"

	"github.com/sirupsen/logrus"

	"mintspring/internal/cli"
	"mintspring/internal/controlplane/config"
	"mintspring/internal/controlplane/server"
)

type checkCmd struct{ configFiles }

// Run prints all errors in the files, or else the settings that would be in effect.
func (c *checkCmd) Run() error { return checkFiles(c.configFiles, os.Stdout) }

func checkFiles(files configFiles, out io.Writer) error {
	p := cli.NewPrinter(out)
	configuration, configurationErr := files.readConfiguration()
	operator, operatorErr := config.Read(files.Operator)
	if operatorErr == nil && operator.TLS != nil {
		_, operatorErr = server.NewCredentials(server.TLSConfig(*operator.TLS), logrus.New())
	}
	if err := p.PrintFileErrors(configurationErr, operatorErr); err != nil {
		return err
	}
	p.PrintDeprecated(files.Operator, operator.Deprecated)
	transport := "plain text"
	if operator.TLS != nil {
		transport = "TLS, for " + strings.Join(operator.TLS.AllowedNames, ", ")
	}
	p.Printf("control plane for cluster %s listens on %s (%s), discovery at %s, %d zones; lease %v, batch interval %v, %d reporters\n",
		operator.Cluster, operator.Listen, transport, configuration.Discovery, len(configuration.Deployment.Zones),
		operator.Lease.Duration(), operator.BatchInterval.Duration(), operator.LoadReports.MinReporters)
	return p.Err()
}
