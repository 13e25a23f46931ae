package servermodel

import (
	"fmt"
	"math/rand/v2"
)

// reportFade is how much of the hits and reads so far counts in the next load report.
const reportFade = 2

// Server is one cache server or the origin.
type Server struct {
	ID          ServerID
	Name        string
	Origin      bool
	Config      ServerConfig
	Up          bool
	Collapsed   bool    // under overload, and not started again
	ErrorRate   float64 // share of executions that fail at once
	Connections int
	Collapses   int // how often it collapsed
	// AvoidableShare is the greatest share of an overload that nodes could have avoided: at a cache the work of nodes that had been
	// notified of its start, at the origin the misses of caches that were warming up.
	AvoidableShare float64

	queue         workQueue
	cache         *lruCache
	downUntil     float64 // it recovers from a collapse until then
	lastReport    loadReport
	hits, reads   float64 // since the last report, and some of those before
	scheduledEnd  float64 // when its next execution ends
	scheduleIndex int     // place in the cluster's schedule
}

// loadReport is the last load report of a server.
type loadReport struct {
	text   string // "" for none since the start
	at     float64
	busyAt float64 // the busy time that it was made of
}

// loadReport returns the server's load report, which is refreshed now and then and a little off.
func (s *Server) loadReport(now float64, rng *rand.Rand) string {
	if s.lastReport.text != "" && now-s.lastReport.at < s.Config.ReportInterval {
		return s.lastReport.text
	}
	busy := s.BusyTime(now)
	utilization := 0.0
	if elapsed := now - s.lastReport.at; elapsed > 0 && s.lastReport.at > 0 {
		utilization = (busy - s.lastReport.busyAt) / elapsed / float64(s.Config.Cores)
	}
	withNoise := func(x float64) float64 { return x * (1 + s.Config.ReportNoise*(2*rng.Float64()-1)) }
	s.lastReport = loadReport{
		text: fmt.Sprintf("util=%.3f,queue=%.1f,x0=%.3f",
			withNoise(min(utilization, 1)), withNoise(float64(len(s.queue.waiting))), s.hits/max(1, s.reads)),
		at: now, busyAt: busy,
	}
	s.hits, s.reads = s.hits/reportFade, s.reads/reportFade
	return s.lastReport.text
}

// BusyTime returns the time that the server's cores have worked so far, in ms.
func (s *Server) BusyTime(now float64) float64 {
	s.queue.accountBusyTime(now)
	return s.queue.busy
}

// Capacity returns the work that the server can do in a ms, while it is as warm as it is.
func (s *Server) Capacity(now float64) float64 { return s.queue.capacity(now) }

// WarmingUp reports whether the server has not all of its capacity yet.
func (s *Server) WarmingUp(now float64) bool { return s.queue.warmth(now) < 1 }

// QueueLength returns how many executions wait.
func (s *Server) QueueLength() int { return len(s.queue.waiting) }

// Recovering reports whether the server has collapsed and works again after a time.
func (s *Server) Recovering(now float64) bool { return s.downUntil > now }

// Backlog returns how long a new execution would wait before it starts, in ms.
func (s *Server) Backlog(now float64) float64 { return s.queue.backlog(now) }
