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

// gcPercent is the garbage collector's target percentage. The heap is small, and one core both serves requests and collects
// garbage.
const gcPercent = 400

// startRetryTimeout is how long the start retries system calls that fail with a transient error.
const startRetryTimeout = 5 * time.Second

// listenTimeout is how long the node waits for an address in use: a killed predecessor may still hold it.
const listenTimeout = 2 * time.Second

type runCmd struct{ fileFlags }

// Run runs the node until the process is signalled to stop.
func (r *runCmd) Run() error {
	startedAt := time.Now()
	// Signals are caught before anything else is done: an uncaught SIGHUP would end the process.
	signals := catchSignals()
	config, operator, err := r.load()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(config.Limits.Cores)))
	node.SetMemoryLimit(config.Limits.MemoryMB, 1)
	debug.SetGCPercent(gcPercent)
	log := newLogger(operator)
	clients, err := inheritedListener()
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	n := newNode(config, operator, clients != nil, log)
	if clients == nil {
		// Not earlier: from now on the system accepts connections, and requests on them count as received.
		if clients, err = listen(config.Listen, listenTimeout); err != nil {
			return fmt.Errorf("listening for clients: %w", err)
		}
	}
	log.WithFields(logrus.Fields{"address": config.Listen, "start_ms": time.Since(startedAt).Milliseconds()}).Info("listening for clients")
	if config.Admin != "" {
		server, err := serveAdmin(config.Admin, n, log)
		if err != nil {
			return err
		}
		defer server.Close()
	}
	serveResult := make(chan error, 1)
	go func() { serveResult <- n.Serve(clients) }()
	active := activeConfig{config, operator}
	var stopped <-chan struct{} // nil until the stop begins
	takenOver := n.TakenOver()
	var reloadRetry <-chan time.Time // nil if no retry of a reload is pending
	for {
		select {
		case err := <-serveResult:
			if stopped == nil {
				return err
			}
			serveResult = nil // the stop has closed the listener
		case <-signals.hangups:
			active, reloadRetry = active.reloadOrScheduleRetry(r.fileFlags, n, log, logrus.WarnLevel)
		case <-takenOver:
			takenOver = nil
			active, reloadRetry = active.reloadIfChanged(r.fileFlags, n, log, reloadRetry)
		case <-reloadRetry:
			active, reloadRetry = active.reloadOrScheduleRetry(r.fileFlags, n, log, logrus.DebugLevel)
		case s := <-signals.stops:
			if stopped == nil {
				log.WithField("signal", s.signal.String()).Info("stopping")
				stopped = s.stopNode(n)
			}
		case <-stopped:
			log.Info("stopped")
			return nil
		}
	}
}

// newNode returns a node that takes over from a predecessor, if there is one.
func newNode(config *platform.Config, operator *operatorfile.File, inheritsListener bool, log *logrus.Logger) *node.Node {
	dir, handover := joinPredecessor(config, log)
	nodeConfig := config.NodeConfig()
	nodeConfig.Operator = operator
	nodeConfig.UnattendedListener = inheritsListener && handover == nil
	if handover != nil && handover.State.Clock > 0 {
		nodeConfig.Clock = clock.StartAt(handover.State.ClockNow())
	}
	if handover != nil && len(handover.State.Endpoints.Members) > 0 {
		nodeConfig.CachedList.Members = nil // the predecessor's list replaces it
	}
	n := node.New(nodeConfig, log)
	n.StartHandover(dir, handover)
	return n
}

// load reads the platform's configuration and the operator's file, and retries after transient errors.
func (r *runCmd) load() (config *platform.Config, operator *operatorfile.File, err error) {
	err = transient.Retry(startRetryTimeout, func() (err error) {
		if config, err = platform.Load(r.getenv); err != nil {
			return err
		}
		operator, err = operatorfile.Read(r.Operator)
		return err
	})
	return config, operator, err
}

// newLogger returns a logger with the log settings of the operator's file, and logs the file's deprecated names and enabled sections.
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
	ln, err := listen(addr, listenTimeout)
	if err != nil {
		return nil, fmt.Errorf("listening on the admin port: %w", err)
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
