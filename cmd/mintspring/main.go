// Mintspring is one real node: it takes queries from clients and sends them to cache servers and the origin.
package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/node"
	"mintspring/node/clock"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "mintspring:", err)
		os.Exit(1)
	}
}

func run() error {
	// Taken from the first moment on: a hangup that nobody takes ends the process.
	hangups, signals := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	c, err := readConfiguration(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(c.Limits.Cores)))
	if c.Limits.MemoryMB > 0 {
		// Room is left for stacks, the program itself and what the kernel counts to the process.
		debug.SetMemoryLimit(int64(c.Limits.MemoryMB) << 20 * 3 / 4)
	}
	debug.SetGCPercent(400) // the heap is small, and one core serves queries and the collector
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true,
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	ln, err := listen(c.Listen, 2*time.Second)
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	n := node.New(c.birth(), log)
	// Clients may come for 0.4 s more, and the process is killed 0.7 s after the longest statement timeout, 3 s at
	// most, has passed.
	const grace = 500 * time.Millisecond
	bound := 600*time.Millisecond + min(3*time.Second, clock.Span(n.LongestTimeout()))
	served := make(chan error, 1)
	go func() { served <- n.Serve(ln) }()
	for {
		select {
		case err := <-served:
			return err
		case <-hangups:
			c = reload(c, os.Getenv, n.Follow, log)
		case s := <-signals:
			log.WithField("signal", s.String()).Info("stopping")
			n.Stop(grace, bound)
			log.Info("stopped")
			return nil
		}
	}
}

// reload reads the configuration again and returns the one that holds from now on. Where the list is kept is taken
// over at once; what else has changed is named, for it holds after a restart only. A file that cannot be used
// changes nothing.
func reload(old *configuration, getenv func(string) string, follow func(addr string), log *logrus.Logger) *configuration {
	c, err := readConfiguration(getenv)
	if err != nil {
		log.WithError(err).Error("the new configuration cannot be used; the one held stays")
		return old
	}
	line := log.WithField("discovery", c.Discovery)
	if waits := old.differs(c); len(waits) > 0 {
		line = line.WithField("needs_restart", strings.Join(waits, ","))
	}
	if c.Discovery != old.Discovery {
		follow(c.Discovery)
	}
	line.Info("read the configuration again")
	held := *old
	held.Discovery = c.Discovery
	return &held
}

// listen takes the address, for which it waits a little: after a kill the process of before may hold it yet.
func listen(addr string, patience time.Duration) (net.Listener, error) {
	for end := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
		ln, err := net.Listen("tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return ln, err
		}
	}
}
