package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/clock"
	"mintspring/internal/config/operatorfile"
	"mintspring/internal/config/platform"
	"mintspring/internal/node"
	"mintspring/internal/node/admin"
	"mintspring/internal/transient"
)

// gcPercent is the garbage collector's target: the heap is small, and one core serves requests and collects.
const gcPercent = 400

// startPatience is how long the start goes on where system calls fail that may succeed in a moment.
const startPatience = 5 * time.Second

// addressPatience is how long the node waits for an address: after a kill the predecessor may hold it still.
const addressPatience = 2 * time.Second

type runCmd struct{ fileFlags }

// Run runs the node until the process is signalled to stop.
func (r *runCmd) Run() error {
	// Signals are caught from the first moment on: a hangup that is not caught ends the process.
	signals := catchSignals()
	config, operator, err := r.load()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(config.Limits.Cores)))
	node.SetMemoryLimit(config.Limits.MemoryMB, 1)
	debug.SetGCPercent(gcPercent)
	log := newLogger(operator)
	clients, err := clientListener(config.Listen)
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	dir, handover := joinPredecessor(config, log)
	nodeConfig := config.NodeConfig()
	nodeConfig.Operator = operator
	if handover != nil && handover.State.Clock > 0 {
		nodeConfig.Clock = clock.StartAt(handover.State.ClockNow())
	}
	n := node.New(nodeConfig, log)
	n.StartHandover(dir, handover)
	if config.Admin != "" {
		server, err := serveAdmin(config.Admin, n, log)
		if err != nil {
			return err
		}
		defer server.Close()
	}
	served := make(chan error, 1)
	go func() { served <- n.Serve(clients) }()
	active := activeConfig{config, operator}
	var stopped <-chan struct{} // nil: the node serves
	takenOver := n.TakenOver()
	var reloadAgain <-chan time.Time // nil: the last reload was not put off
	for {
		select {
		case err := <-served:
			if stopped == nil {
				return err
			}
			served = nil // the stop has closed the listener
		case <-signals.hangups:
			active, reloadAgain = active.reloadOrPutOff(r.fileFlags, n, log, logrus.WarnLevel)
		case <-takenOver:
			takenOver = nil
			active, reloadAgain = active.reloadIfReplaced(r.fileFlags, n, log)
		case <-reloadAgain:
			active, reloadAgain = active.reloadOrPutOff(r.fileFlags, n, log, logrus.DebugLevel)
		case s := <-signals.stops:
			if stopped == nil {
				log.WithField("signal", s.signal.String()).Info("stopping")
				stopped = s.begin(n)
			}
		case <-stopped:
			log.Info("stopped")
			return nil
		}
	}
}

// load reads both files of the configuration.
func (r *runCmd) load() (config *platform.Config, operator *operatorfile.File, err error) {
	err = transient.Retry(startPatience, func() (err error) {
		if config, err = platform.Load(r.getenv); err != nil {
			return err
		}
		operator, err = operatorfile.Read(r.Operator)
		return err
	})
	return config, operator, err
}

// newLogger returns a log as the operator's file wants it, with the first lines about that file.
func newLogger(operator *operatorfile.File) *logrus.Logger {
	log := logrus.New()
	operator.Log.Apply(log)
	operatorfile.WarnDeprecated(log, operator.Deprecated)
	if names := operator.EnabledSections(); len(names) > 0 {
		log.WithField("on", strings.Join(names, ",")).Info("read the operator's file")
	}
	return log
}

// serveAdmin serves the admin port until the returned server is closed.
func serveAdmin(addr string, handler admin.Handler, log *logrus.Logger) (*admin.Server, error) {
	ln, err := listen(addr, addressPatience)
	if err != nil {
		return nil, fmt.Errorf("listening for operators: %w", err)
	}
	server := &admin.Server{Handler: handler, OnPanic: func(p any) {
		log.WithFields(logrus.Fields{"panic": p, "stack": string(debug.Stack())}).Error("panic in an admin call")
	}}
	go func() {
		if err := server.Serve(ln); err != nil {
			log.WithError(err).Error("the admin port has failed")
		}
	}()
	return server, nil
}
