package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"mintspring/internal/clock"
	"mintspring/internal/node"
)

// Periods of a stop, which begin when its signal arrives. After the signal clients may send requests for another 0.4 s. The platform kills
// the process 0.7 s after the longest request deadline, which is at most 3 s (the protocol's page, "Figures").
const (
	stopGrace          = 500 * time.Millisecond // clients are still accepted
	stopMargin         = 600 * time.Millisecond // from the longest request deadline to the end of the stop
	maxRequestDeadline = 3 * time.Second
	minStopPeriod      = 50 * time.Millisecond // even if the start took longer than stopGrace: clients may have connected meanwhile
)

// signals has the signals that the process has received and not handled yet. Of several SIGHUPs only one is kept, and of all signals to
// stop only the first.
type signals struct {
	hangups <-chan os.Signal
	stops   <-chan stopSignal
}

// stopSignal is a signal to stop. The platform's time limits begin when it arrives; a start or a reload may delay its handling.
type stopSignal struct {
	signal    os.Signal
	arrivedAt time.Time
}

// catchSignals starts to catch signals, until the process ends.
func catchSignals() signals {
	hangups, stopSignals, stops := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan stopSignal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	go func() { stops <- stopSignal{<-stopSignals, time.Now()} }() // further ones are ignored
	return signals{hangups, stops}
}

// stopNode starts to stop a node, and returns a channel that is closed when the node has stopped.
func (s stopSignal) stopNode(n *node.Node) <-chan struct{} {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		timeout := stopMargin + min(maxRequestDeadline, clock.Duration(n.MaxRequestTimeout()))
		elapsed := time.Since(s.arrivedAt)
		n.Stop(max(minStopPeriod, stopGrace-elapsed), max(minStopPeriod, timeout-elapsed))
	}()
	return stopped
}
