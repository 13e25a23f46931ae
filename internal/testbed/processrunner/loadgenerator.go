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

// progressEvery is after how many arrivals progress is reported.
const progressEvery = 64

// loadGenerator is the clients of one run.
type loadGenerator struct {
	experiment     *experiment.Experiment
	traffic        *experiment.TrafficGenerator
	clients        *clientPool
	rateFactorBits atomic.Uint64 // a float64: the multiple of the rate that steps have set
	value          string        // what writes write
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

// run sends requests until a time, and returns when all of them have ended. Arrivals do not wait for responses.
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
		if progress != nil && count%progressEvery == 0 {
			progress(float64(due.Sub(from)) / float64(until.Sub(from)))
		}
		request := l.traffic.NextRequest(unixMs(due))
		request.LatenessMs = fakes.NowMs() - request.DueMs
		l.running.Go(func() { l.runRequest(request) })
	}
	l.running.Wait()
}

// startPersistentClients starts, for each node, clients that go on using one connection as long as it stays open. They end at a time.
func (l *loadGenerator) startPersistentClients(seed uint64, until time.Time) {
	for node, addr := range l.clients.addrs {
		for i := range l.experiment.Load.PersistentClients {
			p := &persistentClient{
				load: l, node: servermodel.NodeID(node), addr: addr,
				traffic: experiment.NewTrafficGenerator(l.experiment, seed+persistentSeeds+uint64(node<<persistentNodeBits+i)),
				random:  rand.New(rand.NewPCG(seed, uint64(node<<persistentNodeBits+i))),
			}
			l.running.Go(func() { p.run(until) })
		}
	}
}

// runRequest sends a request and, where its class allows that, its retries.
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

// msDuration converts ms to a duration.
func msDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// command returns what is sent for an attempt.
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

// sendAttempt makes the next attempt of a request, at the first node that can be reached.
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

// sendOnce sends a command on one connection. It reports whether the client sends it again on another one: it was not sent, or crossed
// the end of a connection that the node closed between two commands.
func (l *loadGenerator) sendOnce(r *experiment.GeneratedRequest, attempt *invariants.ClientAttempt, cmd *command, isFirst bool) (answer response, sendAgain bool) {
	node, c, err := l.clients.get(!isFirst)
	if err != nil { // the node is dead, the machine is short of ports, or clients hold all that they may
		return response{}, true
	}
	defer l.clients.release(node)
	timeoutMs := l.experiment.AttemptTimeoutMs(r.Class)
	x, err := c.roundTrip(cmd, time.Now().Add(msDuration(timeoutMs+clientGraceMs(l.experiment))))
	attempt.Node = servermodel.NodeID(node)
	attempt.ResentAfterConnEnd, attempt.ConnEndedAt, attempt.ConnEndReason = false, 0, "" // of the connection before
	if x.sentMs == 0 {
		c.close()
		l.clients.markFailed(node)
		return x.response, true
	}
	attempt.Sent, attempt.Deadline = x.sentMs, x.sentMs+timeoutMs
	if err != nil {
		c.close()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return x.response, false
		}
		attempt.ConnEndedAt = x.answeredMs
		attempt.ConnEndReason = fmt.Sprintf("%v, used before: %v, first connection: %v", err, c.reused, isFirst)
		// A node that was killed may have carried the request on; one that is up has closed between two requests.
		if c.reused && isFirst && isAlive(l.clients.addrs[node]) {
			attempt.ResentAfterConnEnd = true
			return x.response, true
		}
		l.clients.markFailed(node)
		return x.response, false
	}
	attempt.Outcome, attempt.AnsweredAt = x.Outcome, x.answeredMs
	attempt.DuplicateResponse = c.reader.Buffered() > 0
	attempt.WrongKey = x.Outcome == invariants.Completed && !experiment.IsValueOf(x.Value, r.Key)
	l.clients.put(node, c, attempt.DuplicateResponse || l.experiment.Load.DropsConnections())
	return x.response, false
}
