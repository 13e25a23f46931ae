package main

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/credentials"

	"mintspring/internal/config/platform"
	"mintspring/internal/controlplane/config"
	"mintspring/internal/controlplane/controller"
	"mintspring/internal/controlplane/server"
	"mintspring/internal/node"
)

// controlPlane is a running control plane. It owns its goroutines, which end when stop is called.
type controlPlane struct {
	controller *controller.Controller
	server     *server.Server
	addr       string     // listen address
	serveErr   chan error // receives the result of serving
	stopping   chan struct{}
	background sync.WaitGroup
}

// startControlPlane starts a control plane: the controller, the server, and the traffic log.
func startControlPlane(configuration *platform.Config, operator *config.File, log *logrus.Logger) (*controlPlane, error) {
	var creds credentials.TransportCredentials
	if operator.TLS != nil {
		var err error
		if creds, err = server.NewCredentials(server.TLSConfig(*operator.TLS), log); err != nil {
			return nil, err
		}
	}
	listener, err := net.Listen("tcp", operator.Listen)
	if err != nil {
		return nil, fmt.Errorf("listening for proxies: %w", err)
	}
	controllerConfig := controller.Config{
		Cluster:         operator.Cluster,
		Deployment:      configuration.Deployment,
		BatchIntervalMs: operator.BatchInterval.Milliseconds(),
		LoadReports:     operator.LoadReportConfig(),
	}
	p := &controlPlane{
		controller: controller.New(log, controllerConfig, configuration.Discovery, newPersistence(configuration, operator)),
		addr:       listener.Addr().String(),
		serveErr:   make(chan error, 1),
		stopping:   make(chan struct{}),
	}
	p.server = server.New(log, p.controller, operator.ServerConfig(), creds)
	go p.controller.Run()
	go func() { p.serveErr <- p.server.Serve(listener) }()
	p.background.Go(func() { p.logTraffic(log) })
	return p, nil
}

// newPersistence returns the settings for storing learned state across restarts, or nil if it is not stored.
func newPersistence(configuration *platform.Config, operator *config.File) *controller.Persistence {
	if operator.Snapshot == nil {
		return nil
	}
	return &controller.Persistence{
		Dir:         os.ExpandEnv(operator.Snapshot.DataDir),
		Interval:    operator.Snapshot.Interval.Duration(),
		TrustPolicy: node.SnapshotConfig("control "+configuration.Name, configuration.Deployment, operator.Snapshot),
	}
}

// stop ends the control plane. The leases of proxies expire on their own.
func (p *controlPlane) stop() {
	close(p.stopping)
	p.background.Wait()
	p.server.Stop()
	p.controller.Stop()
}
