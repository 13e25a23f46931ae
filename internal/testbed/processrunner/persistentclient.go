package processrunner

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/invariants"
	"mintspring/internal/testbed/servermodel"
)

const (
	// persistentSeedOffset separates the traffic seeds of persistent clients from those of other clients.
	persistentSeedOffset = 1 << 32
	// clientIndexBits is the number of low bits of a persistent client's seed that hold its index; the node's index is above them.
	clientIndexBits = 10
	// reconnectDelay is how long a persistent client waits before it tries to connect again.
	reconnectDelay = 20 * time.Millisecond
	// pipeliningShare is the share of a persistent client's batches that hold more than one request.
	pipeliningShare = 0.3
	// maxPipelinedRequests is the largest number of requests in a batch.
	maxPipelinedRequests = 5
	// maxPipelinePause is the longest pause between two requests of a batch.
	maxPipelinePause = 300 * time.Millisecond
	// closeInTransitMs is how long after sending a request, in ms, a client may see a connection close that the node sent before the request.
	closeInTransitMs = 20
	// maxThinkTime is the longest pause between two batches of a persistent client.
	maxThinkTime = 30 * time.Millisecond
)

// persistentClient is a client of one node. It reuses one connection as long as that is open, even while the load balancer considers the
// node dead or on standby, and does not retry.
type persistentClient struct {
	load    *loadGenerator
	node    servermodel.NodeID
	addr    string
	traffic *experiment.TrafficGenerator
	random  *rand.Rand
	conn    *client // nil while not connected
}

// run sends batches of requests until the given time.
func (p *persistentClient) run(until time.Time) { p.repeat(until, p.sendBatch, maxThinkTime) }

// repeat calls send on an open connection, with random pauses, until the given time.
func (p *persistentClient) repeat(until time.Time, send func(), maxPause time.Duration) {
	for time.Now().Before(until) {
		if p.conn == nil && (p.load.clients.onStandby(int(p.node)) || !p.connect()) {
			time.Sleep(reconnectDelay)
			continue
		}
		send()
		time.Sleep(time.Duration(p.random.Int64N(int64(maxPause))))
	}
	p.disconnect()
}

func (p *persistentClient) connect() bool {
	var err error
	p.conn, err = dial(p.addr)
	if err != nil {
		p.conn = nil
	}
	return err == nil
}

func (p *persistentClient) disconnect() {
	if p.conn != nil {
		p.conn.close()
	}
	p.conn = nil
}

// pendingRequest is a request of a batch, with the record of its only attempt.
type pendingRequest struct {
	generated *experiment.GeneratedRequest
	attempt   invariants.ClientAttempt
}

// sendBatch sends one request or several pipelined ones, and records their attempts. In the configured share of batches the client
// disconnects before all responses have arrived.
func (p *persistentClient) sendBatch() {
	batch, longestTimeoutMs := p.nextBatch()
	pausesMs := float64(len(batch)-1) * float64(maxPipelinePause/time.Millisecond)
	readTimeoutMs := longestTimeoutMs + clientGraceMs(p.load.experiment) + pausesMs
	leavesEarly := p.random.Float64() < p.load.experiment.Load.EarlyCloseShare
	if leavesEarly {
		readTimeoutMs = p.random.Float64() * longestTimeoutMs / 4
	}
	if err := p.conn.netConn.SetDeadline(time.Now().Add(msDuration(readTimeoutMs))); err != nil {
		p.disconnect()
		return
	}
	patience := msDuration(readTimeoutMs)
	if leavesEarly {
		patience = 0
	}
	responses := p.conn.readResponses(len(batch), patience)
	sent := p.writeBatch(batch)
	p.receive(sent, responses, leavesEarly)
	if len(sent) < len(batch) {
		p.disconnect()
	}
	batch = sent
	p.load.mu.Lock()
	for i := range batch {
		p.load.attempts = append(p.load.attempts, batch[i].attempt)
	}
	p.load.mu.Unlock()
}

// writeBatch sends a batch, with or without pauses between the requests, and returns the requests that were sent.
func (p *persistentClient) writeBatch(batch []pendingRequest) (sent []pendingRequest) {
	withPauses := p.random.IntN(2) == 0
	for i := range batch {
		if i > 0 && withPauses {
			time.Sleep(time.Duration(p.random.Int64N(int64(maxPipelinePause))))
		}
		generated, a := batch[i].generated, &batch[i].attempt
		if _, err := p.conn.netConn.Write(p.load.command(generated, a.ID).encode()); err != nil {
			return batch[:i]
		}
		sentMs := fakes.NowMs()
		a.Node, a.Sent, a.Deadline = p.node, sentMs, sentMs+p.load.experiment.AttemptTimeoutMs(generated.Class)
	}
	return batch
}

// nextBatch generates the requests of the next batch, and returns them with their longest timeout.
func (p *persistentClient) nextBatch() (batch []pendingRequest, longestTimeoutMs float64) {
	size := 1
	if p.random.Float64() < pipeliningShare {
		size += 1 + p.random.IntN(maxPipelinedRequests-1)
	}
	for range size {
		r := p.traffic.NextRequest(fakes.NowMs())
		attempt := p.traffic.NewAttempt(r, fakes.NowMs())
		batch = append(batch, pendingRequest{r, attempt})
		longestTimeoutMs = max(longestTimeoutMs, p.load.experiment.AttemptTimeoutMs(r.Class))
	}
	return batch, longestTimeoutMs
}

// timedResponse is a response and the time when its last byte arrived, or the error and the time when the connection failed.
type timedResponse struct {
	response
	atMs float64
	err  error
}

// readResponses reads up to count responses in the background, and stops at the first error. Each response extends the deadline of the next one by
// the patience; with 0 the deadline stays.
func (c *client) readResponses(count int, patience time.Duration) <-chan timedResponse {
	responses := make(chan timedResponse, count)
	go func() { // ends at the deadline or the end of the connection
		for range count {
			r, err := readResponse(c.reader)
			responses <- timedResponse{r, fakes.NowMs(), err}
			if err != nil {
				return
			}
			if patience > 0 {
				_ = c.netConn.SetReadDeadline(time.Now().Add(patience)) // fails only on a closed connection, and then reading fails too
			}
		}
	}()
	return responses
}

// addPipelineSlack extends the time allowed to unanswered requests. Each one may have to wait for the requests before it on the connection,
// until blockedUntilMs or the latest deadline among them.
func addPipelineSlack(unanswered []pendingRequest, blockedUntilMs float64) {
	for i := range unanswered {
		a := &unanswered[i].attempt
		a.SetBlockedUntil(blockedUntilMs)
		blockedUntilMs = max(blockedUntilMs, a.Deadline)
	}
}

// receive records the responses to a batch in order, until all have arrived or the connection has ended. The time that a request waits for
// the responses before it does not count towards its deadline.
func (p *persistentClient) receive(batch []pendingRequest, responses <-chan timedResponse, leavesEarly bool) {
	blockedUntilMs := 0.0 // when the previous response arrived
	for i := range batch {
		a := &batch[i].attempt
		answer := <-responses
		if answer.err != nil && answer.BegunMs > 0 {
			a.SetBlockedUntil(blockedUntilMs)
			p.valueBrokeOff(batch[i:], answer)
			return
		}
		if answer.err != nil {
			addPipelineSlack(batch[i:], blockedUntilMs)
			p.connectionEnded(batch[i:], answer, leavesEarly)
			return
		}
		p.conn.reused = true
		recordResponse(&batch[i], answer.response, answer.atMs)
		a.SetBlockedUntil(blockedUntilMs)
		blockedUntilMs = answer.atMs
	}
	if len(batch) == cap(responses) { // otherwise the background reader still uses the buffer
		batch[len(batch)-1].attempt.DuplicateResponse = p.conn.reader.Buffered() > 0
	}
}

// recordResponse records the response to a request.
func recordResponse(r *pendingRequest, answer response, atMs float64) {
	answer.record(&r.attempt, r.generated, atMs)
}

// valueBrokeOff records that the value of the first of the unanswered requests broke off, which ends the connection for all of them.
func (p *persistentClient) valueBrokeOff(unanswered []pendingRequest, answer timedResponse) {
	p.disconnect()
	recordResponse(&unanswered[0], answer.response, answer.atMs)
	for i := range unanswered[1:] {
		unanswered[i+1].attempt.ClientClosedAt = answer.atMs
	}
}

// connectionEnded records the end of the connection, or the client's early disconnect, for the unanswered requests.
func (p *persistentClient) connectionEnded(unanswered []pendingRequest, end timedResponse, leavesEarly bool) {
	timedOut := errors.Is(end.err, os.ErrDeadlineExceeded)
	isNew, isReset := !p.conn.reused, errors.Is(end.err, syscall.ECONNRESET)
	p.disconnect()
	for i := range unanswered {
		a := &unanswered[i].attempt
		switch {
		case !timedOut:
			a.ResentAfterConnEnd = true
			a.ConnEndedAt, a.ConnEndReason = end.atMs, fmt.Sprint(end.err)
			a.NewConnClosedCleanly = isNew && !isReset && end.atMs-a.Sent > closeInTransitMs // otherwise the close may have been in transit already
		case leavesEarly:
			a.ClientClosedAt = fakes.NowMs()
		}
	}
}
