package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"mintspring/internal/clock"
	"mintspring/internal/node"
)

// Times of a stop, from the arrival of its signal on. Clients may send requests for 0.4 s more, and the platform kills the
// process 0.7 s after the longest deadline of a request, 3 s at most, has passed (the protocol's page, "Figures").
const (
	stopGrace          = 500 * time.Millisecond
	stopMargin         = 600 * time.Millisecond
	maxRequestDeadline = 3 * time.Second
	minStopGrace       = 50 * time.Millisecond // also where the start took all of stopGrace: clients may have connected meanwhile
)

// signals are the signals that the process has received and not handled yet. Of several of one kind one is kept.
type signals struct {
	hangups <-chan os.Signal
	stops   <-chan stopSignal
}

// stopSignal is a signal to stop. The platform counts from its arrival, and the start or a reload may delay its handling.
type stopSignal struct {
	signal    os.Signal
	arrivedAt time.Time
}

// catchSignals catches signals from now to the end of the process.
func catchSignals() signals {
	hangups, raw, stops := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan stopSignal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Notify(raw, syscall.SIGTERM, syscall.SIGINT)
	go func() { stops <- stopSignal{<-raw, time.Now()} }() // further ones change nothing
	return signals{hangups, stops}
}

// begin stops a node, and returns a channel that is closed when it has stopped.
func (s stopSignal) begin(n *node.Node) <-chan struct{} {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		bound := stopMargin + min(maxRequestDeadline, clock.Duration(n.MaxRequestTimeout()))
		passed := time.Since(s.arrivedAt)
		n.Stop(max(minStopGrace, stopGrace-passed), max(minStopGrace, bound-passed))
	}()
	return stopped
}
