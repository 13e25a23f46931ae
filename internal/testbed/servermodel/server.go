package servermodel

import (
	"fmt"
	"math/rand/v2"
)

// hitCountDecay divides the counts of hits and reads after each load report, so that older ones weigh less.
const hitCountDecay = 2

// Server is one cache server or the origin.
type Server struct {
	ID          ServerID
	Name        string
	Origin      bool
	Config      ServerConfig
	Up          bool
	Collapsed   bool    // down after an overload until it is started again
	ErrorRate   float64 // share of executions that fail immediately
	Connections int
	Collapses   int // number of collapses so far
	// AvoidableShare is the share of an overload that nodes could have avoided, for the collapse where this share was largest. At a cache,
	// avoidable work is the work from nodes that had been notified of the cache's start; at the origin, the misses of caches that were
	// warming up.
	AvoidableShare float64

	queue         workQueue
	cache         *lruCache
	downUntil     float64 // end of the recovery from the last collapse
	lastReport    loadReport
	hits, reads   float64 // decayed at each load report
	scheduledEnd  float64 // when its next execution ends; its key in the cluster's schedule
	scheduleIndex int     // index in the cluster's schedule
}

// loadReport is a load report of a server and the values that it was computed from.
type loadReport struct {
	text   string // "" if there was none since the start
	at     float64
	busyAt float64 // BusyTime when the report was made
}

// loadReport returns the server's load report, which is refreshed every ReportInterval and has random noise of up to ReportNoise.
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
	s.hits, s.reads = s.hits/hitCountDecay, s.reads/hitCountDecay
	return s.lastReport.text
}

// BusyTime returns the total time that the server's cores have been busy, in ms.
func (s *Server) BusyTime(now float64) float64 {
	s.queue.accountBusyTime(now)
	return s.queue.busyTime
}

// Capacity returns the work that the server can do per ms at its present warmth.
func (s *Server) Capacity(now float64) float64 { return s.queue.capacity(now) }

// WarmingUp reports whether the server has not reached its full capacity yet.
func (s *Server) WarmingUp(now float64) bool { return s.queue.warmth(now) < 1 }

// QueueLength returns the number of waiting executions.
func (s *Server) QueueLength() int { return len(s.queue.waiting) }

// Recovering reports whether the server is down after a collapse and will recover by itself.
func (s *Server) Recovering(now float64) bool { return s.downUntil > now }

// Backlog returns how long a new execution would wait before it starts, in ms.
func (s *Server) Backlog(now float64) float64 { return s.queue.backlog(now) }
