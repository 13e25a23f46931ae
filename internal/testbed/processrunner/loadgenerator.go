package processrunner

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/invariants"
	"mintspring/internal/testbed/servermodel"
)

// arrivalsPerProgressReport is the number of arrivals between two progress reports.
const arrivalsPerProgressReport = 64

// loadGenerator generates the load of one run, and records its attempts and requests.
type loadGenerator struct {
	experiment     *experiment.Experiment
	traffic        *experiment.TrafficGenerator
	clients        *clientPool
	rateFactorBits atomic.Uint64 // bits of a float64: the factor that timeline steps apply to the configured rate
	value          string        // the value that writes send
	running        sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	attempts []invariants.ClientAttempt
	requests []experiment.Request
}

func newLoadGenerator(x *experiment.Experiment, clients *clientPool, seed uint64) *loadGenerator {
	l := &loadGenerator{experiment: x, traffic: experiment.NewTrafficGenerator(x, seed), clients: clients, value: strings.Repeat("v", x.Load.ValueBytes)}
	l.setRateFactor(1)
	return l
}

func (l *loadGenerator) setRateFactor(multiple float64) {
	l.rateFactorBits.Store(math.Float64bits(multiple))
}

func (l *loadGenerator) rateFactor() float64 { return math.Float64frombits(l.rateFactorBits.Load()) }

// run sends requests until the given time, and returns when all of them have ended. Arrivals do not wait for responses.
func (l *loadGenerator) run(from, until time.Time, progress func(done float64)) {
	due := from
	for count := 0; ; count++ {
		due = due.Add(l.traffic.NextGap(l.rateFactor()))
		if due.After(until) {
			break
		}
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		if progress != nil && count%arrivalsPerProgressReport == 0 {
			progress(float64(due.Sub(from)) / float64(until.Sub(from)))
		}
		request := l.traffic.NextRequest(unixMs(due))
		request.LatenessMs = fakes.NowMs() - request.DueMs
		l.running.Go(func() { l.runRequest(request) })
	}
	l.running.Wait()
}

// startPersistentClients starts persistent clients for each node. They run until the given time.
func (l *loadGenerator) startPersistentClients(seed uint64, until time.Time) {
	for nodeIndex, addr := range l.clients.addrs {
		for clientIndex := range l.experiment.Load.PersistentClients {
			p := &persistentClient{
				load: l, node: servermodel.NodeID(nodeIndex), addr: addr,
				traffic: experiment.NewTrafficGenerator(l.experiment, seed+persistentSeedOffset+uint64(nodeIndex<<clientIndexBits+clientIndex)),
				random:  rand.New(rand.NewPCG(seed, uint64(nodeIndex<<clientIndexBits+clientIndex))),
			}
			l.running.Go(func() { p.run(until) })
		}
	}
}

// startBurstClients starts burst clients for each node, every second of which reads slowly. They run until the given time.
func (l *loadGenerator) startBurstClients(seed uint64, until time.Time) {
	for nodeIndex, addr := range l.clients.addrs {
		for clientIndex := range l.experiment.Load.BurstClients {
			number := seed + burstSeedOffset + uint64(nodeIndex<<clientIndexBits+clientIndex)
			b := &burstClient{readSlow: (nodeIndex+clientIndex)%2 == 1, persistentClient: persistentClient{
				load: l, node: servermodel.NodeID(nodeIndex), addr: addr,
				traffic: experiment.NewTrafficGenerator(l.experiment, number), random: rand.New(rand.NewPCG(seed, number)),
			}}
			l.running.Go(func() { b.run(until) })
		}
	}
}

// runRequest sends a request and, if its request class allows them, its retries.
func (l *loadGenerator) runRequest(r *experiment.GeneratedRequest) {
	for {
		attempt, answer := l.sendAttempt(r)
		retry, waitMs := l.traffic.AttemptEnded(r, &attempt, fakes.NowMs(), answer.RetryAfterMs)
		if !retry {
			break
		}
		time.Sleep(msDuration(waitMs))
	}
	l.mu.Lock()
	l.requests = append(l.requests, r.Request)
	l.mu.Unlock()
}

// msDuration converts milliseconds to a duration.
func msDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// command returns the command of an attempt.
func (l *loadGenerator) command(r *experiment.GeneratedRequest, id string) *command {
	class := &l.experiment.Classes[r.Class]
	timeoutMs := int64(l.experiment.AttemptTimeoutMs(r.Class))
	cmd := &command{Key: r.Key, ID: id, Write: class.Write, Options: commandOptions(class.Name, l.experiment.Tenants[r.Tenant].Name, timeoutMs)}
	if r.IdempotencyKey != "" {
		cmd.Options += ",k=" + r.IdempotencyKey
	}
	if r.Attempts > 1 && l.experiment.Load.FlagRetries {
		cmd.Options += ",r=1"
	}
	if class.Write {
		cmd.Value = l.value
	}
	return cmd
}

// sendAttempt makes the next attempt of a request, at the first node that can be reached within experiment.MaxConnectsPerAttempt connections.
func (l *loadGenerator) sendAttempt(r *experiment.GeneratedRequest) (invariants.ClientAttempt, response) {
	attempt := l.traffic.NewAttempt(r, fakes.NowMs())
	cmd := l.command(r, attempt.ID)
	var answer response
	for connects, sendAgain := 0, true; sendAgain && connects < experiment.MaxConnectsPerAttempt; connects++ {
		answer, sendAgain = l.sendOnce(r, &attempt, cmd, connects == 0)
	}
	if attempt.Sent > 0 {
		l.mu.Lock()
		l.attempts = append(l.attempts, attempt)
		l.mu.Unlock()
	}
	return attempt, answer
}

// sendOnce sends a command on one connection. sendAgain reports whether to send the command again on another connection, either because
// the command was not sent or because the node closed an idle reused connection while the command was in transit.
func (l *loadGenerator) sendOnce(r *experiment.GeneratedRequest, attempt *invariants.ClientAttempt, cmd *command, isFirstConnection bool) (answer response, sendAgain bool) {
	node, c, err := l.clients.get(!isFirstConnection)
	if err != nil { // the node is dead, the machine has no free port, or the clients have reached their connection limit
		return response{}, true
	}
	defer l.clients.release(node)
	timeoutMs := l.experiment.AttemptTimeoutMs(r.Class)
	result, err := c.roundTrip(cmd, time.Now().Add(msDuration(timeoutMs+clientGraceMs(l.experiment))))
	attempt.Node = servermodel.NodeID(node)
	attempt.ResentAfterConnEnd, attempt.ConnEndedAt, attempt.ConnEndReason = false, 0, "" // drop the values of the previous connection
	if result.sentMs == 0 {
		c.close()
		l.clients.markFailed(node)
		return result.response, true
	}
	attempt.Sent, attempt.Deadline = result.sentMs, result.sentMs+timeoutMs
	if err != nil && result.BegunMs > 0 { // a value that breaks off has failed
		c.close()
		result.record(attempt, r, result.answeredMs)
		return result.response, false
	}
	if err != nil {
		c.close()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return result.response, false
		}
		attempt.ConnEndedAt = result.answeredMs
		attempt.ConnEndReason = fmt.Sprintf("%v, used before: %v, first connection: %v", err, c.reused, isFirstConnection)
		// A node that is still alive closed the idle connection, so the command can be sent again. A killed node may have executed the
		// request.
		if c.reused && isFirstConnection && isAlive(l.clients.addrs[node]) {
			attempt.ResentAfterConnEnd = true
			return result.response, true
		}
		l.clients.markFailed(node)
		return result.response, false
	}
	result.record(attempt, r, result.answeredMs)
	attempt.DuplicateResponse = c.reader.Buffered() > 0
	l.clients.put(node, c, attempt.DuplicateResponse || l.experiment.Load.DropsConnections())
	return result.response, false
}
