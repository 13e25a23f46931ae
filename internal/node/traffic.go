package node

import (
	"fmt"
	"math"
	"strings"

	"github.com/sirupsen/logrus"

	"mintspring/internal/fleet"
	"mintspring/internal/node/clients"
	"mintspring/internal/node/connpool"
	"mintspring/internal/node/exchange"
	"mintspring/internal/node/inflight"
	"mintspring/internal/node/upstream"
)

// trafficCounters holds the data that the log line "traffic" needs besides the counters of other types. The loop owns it.
type trafficCounters struct {
	previous  upstream.Stats // as of the previous line
	lastError error          // error of the last failed attempt since the previous line
}

// logTrafficAndReap logs the traffic since the last call, and closes server connections that have been idle too long.
func (n *Node) logTrafficAndReap() {
	for _, s := range n.servers {
		s.endpoint.Reap()
	}
	log := n.log
	if n.idempotency != nil {
		log = log.WithFields(n.idempotency.takeCounters())
	}
	if n.traffic.lastError != nil {
		log = log.WithField("last_failure", n.traffic.lastError.Error())
	}
	stats := n.upstreams.Stats()
	log.WithFields(requestFields(&n.inflight.Counters)).
		WithFields(clientFields(n.frontend)).
		WithFields(connectionFields(&stats, &n.traffic.previous)).
		WithField("in_flight", n.inflight.Len()).
		Info("traffic")
	n.inflight.Counters, n.traffic = inflight.Counters{}, trafficCounters{previous: stats}
}

func requestFields(c *inflight.Counters) logrus.Fields {
	return logrus.Fields{
		"completed":      c.Responses[exchange.Completed],
		"rejected":       c.Responses[exchange.Rejected],
		"aborted":        c.Responses[exchange.Aborted],
		"clients_gone":   c.ClientsGone,
		"missed":         c.Results[fleet.Missed],
		"failed":         c.Results[fleet.Failed],
		"full":           c.Results[fleet.Declined],
		"timed_out":      c.Results[fleet.TimedOut],
		"connect_failed": c.Results[fleet.ConnectFailed],
		"reset":          c.Results[fleet.Reset],
		"cancelled":      c.Results[fleet.Cancelled],
		"not_sent":       c.Results[fleet.NotSent],
	}
}

func clientFields(frontend *clients.Server) logrus.Fields {
	counts := frontend.TakeCounts()
	return logrus.Fields{
		"clients":            frontend.OpenConns(),
		"clients_rejected":   counts.Rejected,
		"command_timeouts":   counts.TimedOut,
		"malformed_commands": counts.Malformed,
		"values_truncated":   counts.Truncated,
		"evicted_idle":       counts.Evicted[clients.Idle],
		"evicted_silent":     counts.Evicted[clients.Silent],
		"evicted_incomplete": counts.Evicted[clients.Incomplete],
	}
}

func connectionFields(now, previous *upstream.Stats) logrus.Fields {
	fields := logrus.Fields{
		"connections_opened": now.Opened - previous.Opened,
		"connections_reused": now.Reused - previous.Reused,
		"connection_waits":   now.Waited - previous.Waited,
		"wait_timeouts":      now.WaitTimeouts - previous.WaitTimeouts,
		"queue_full":         now.QueueFull - previous.QueueFull,
		"unsolicited":        now.Unsolicited - previous.Unsolicited,
		"servers_suspected":  now.Suspected - previous.Suspected,
		"fences":             now.Fences - previous.Fences,
		"fences_unanswered":  now.FencesUnanswered - previous.FencesUnanswered,
	}
	for reason := range connpool.NumCloseReasons {
		fields["closed_"+connpool.CloseReason(reason).String()] = now.Closed[reason] - previous.Closed[reason]
	}
	return fields
}

// resultNames has the names of attempt results in the log.
var resultNames = [...]string{
	fleet.Pending: "pending", fleet.Completed: "completed", fleet.Failed: "failed", fleet.Declined: "full",
	fleet.TimedOut: "timed out", fleet.ConnectFailed: "no connection", fleet.Reset: "reset", fleet.Cancelled: "cancelled",
	fleet.NotSent: "not sent", fleet.Missed: "missed",
}

var responseNames = [...]string{exchange.Completed: "completed", exchange.Rejected: "rejected", exchange.Aborted: "aborted"}

// logAttempt logs an attempt that has ended at level debug. The line "request finished" has its result only. If a client is served the
// response to another request, the fields tell whose: the response before on the same connection.
func (n *Node) logAttempt(attempt *upstream.Attempt, completion *upstream.Completion) {
	if !n.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	trace := &completion.Trace
	log := n.log.WithFields(logrus.Fields{
		"id":             string(attempt.Request.ID),
		"attempt":        attempt.Number,
		"connection":     trace.Conn,
		"since_reply_ms": roundToMicroseconds(trace.SinceReply),
		"responding_ms":  roundToMicroseconds(trace.Responding),
		"took_ms":        roundToMicroseconds(trace.Took),
		"duplicates":     trace.Discarded,
	})
	if completion.Failure != nil {
		log.WithError(completion.Failure).Debug("attempt failed")
		return
	}
	log.WithField("result", resultNames[completion.Response.Result]).Debug("attempt completed")
}

// logStream logs a streamed value that has ended at level debug. The line of its attempt has the time until the value began.
func (n *Node) logStream(trace upstream.StreamTrace) {
	if !n.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	log := n.log.WithFields(logrus.Fields{
		"id":              string(trace.Request.ID),
		"connection":      trace.Conn,
		"bytes":           trace.Size,
		"received":        trace.Received,
		"took_ms":         roundToMicroseconds(trace.Took),
		"longest_read_ms": roundToMicroseconds(trace.LongestRead),
	})
	if trace.Failure != nil {
		log.WithError(trace.Failure).Debug("large value broken off")
		return
	}
	log.Debug("large value complete")
}

// roundToMicroseconds rounds a duration in ms.
func roundToMicroseconds(ms float64) float64 { return math.Round(ms*1000) / 1000 }

// logRequest logs one released request at level debug, with its attempts: the line "traffic" has only totals. The key is logged as a hash.
func (n *Node) logRequest(now float64, entry *inflightEntry) {
	if !n.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	request := entry.Request
	var attempts strings.Builder
	for i := range request.Attempts[:request.NumAttempts] {
		a := &request.Attempts[i]
		fmt.Fprintf(&attempts, "%s +%.0f %s, ", n.servers[a.Server].entry.ID, a.SentAt-request.ArrivedAt, resultNames[a.Result])
	}
	outcome, retryAfter := "client gone", 0.0
	if response := entry.Exchange.Response(); response != nil {
		outcome, retryAfter = responseNames[response.Kind], response.RetryAfter
	}
	n.log.WithFields(logrus.Fields{
		"id":             string(entry.Exchange.ID),
		"key":            fmt.Sprintf("%016x", uint64(request.Key)),
		"class":          int(request.Class),
		"outcome":        outcome,
		"elapsed_ms":     int(now - request.ArrivedAt),
		"timeout_ms":     int(request.Deadline - request.ArrivedAt),
		"retry_after_ms": int(retryAfter),
		"attempts":       strings.TrimSuffix(attempts.String(), ", "),
	}).Debug("request finished")
}
