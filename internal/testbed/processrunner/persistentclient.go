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
	// persistentSeeds separates the traffic of persistent clients from that of the others.
	persistentSeeds = 1 << 32
	// persistentNodeBits are the bits of a persistent client's number below that of its node.
	persistentNodeBits = 10
	// reconnectWait is how long a persistent client waits before it connects again.
	reconnectWait = 20 * time.Millisecond
	// pipelineShare is the share of a persistent client's turns in which it sends several requests at once, maxPipelined at most.
	pipelineShare = 0.3
	maxPipelined  = 5
	// maxPipelinePause is the longest pause between two of these.
	maxPipelinePause = 300 * time.Millisecond
	// crossedEndMs is how long after a request the end of its connection may show, in ms, if that had been on its way before.
	crossedEndMs = 20
	// maxThinkTime is the longest pause between two requests of a persistent client.
	maxThinkTime = 30 * time.Millisecond
)

// persistentClient is a client of one node. It sends one request after the other on one connection as long as that is open, whatever the
// load balancer says of the node, and without retries.
type persistentClient struct {
	load    *loadGenerator
	node    servermodel.NodeID
	addr    string
	traffic *experiment.TrafficGenerator
	random  *rand.Rand
	conn    *client // nil: it is not connected
}

// run sends requests until a time.
func (p *persistentClient) run(until time.Time) {
	for time.Now().Before(until) {
		if p.conn == nil && (p.load.clients.onStandby(int(p.node)) || !p.connect()) {
			time.Sleep(reconnectWait)
			continue
		}
		p.request()
		time.Sleep(time.Duration(p.random.Int64N(int64(maxThinkTime))))
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

// pendingRequest is a request that was sent, with what its client knows of it.
type pendingRequest struct {
	generated *experiment.GeneratedRequest
	attempt   invariants.ClientAttempt
}

// request sends one request, or several at once, and records what became of them. Some clients leave before they have their responses.
func (p *persistentClient) request() {
	batch, longestMs := p.nextBatch()
	pausesMs := float64(len(batch)-1) * float64(maxPipelinePause/time.Millisecond)
	stayMs := longestMs + clientGraceMs(p.load.experiment) + pausesMs
	leaves := p.random.Float64() < p.load.experiment.Load.EarlyCloseShare
	if leaves {
		stayMs = p.random.Float64() * longestMs / 4
	}
	if err := p.conn.netConn.SetDeadline(time.Now().Add(msDuration(stayMs))); err != nil {
		p.disconnect()
		return
	}
	responses := p.conn.readResponses(len(batch))
	sent := p.send(batch)
	p.receive(sent, responses, leaves)
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

// send sends a batch, at once or with pauses in it, and returns what was sent.
func (p *persistentClient) send(batch []pendingRequest) (sent []pendingRequest) {
	pauses := p.random.IntN(2) == 0
	for i := range batch {
		if i > 0 && pauses {
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

// nextBatch draws the requests that are sent without waiting for responses, and their longest timeout.
func (p *persistentClient) nextBatch() (batch []pendingRequest, longestMs float64) {
	size := 1
	if p.random.Float64() < pipelineShare {
		size += 1 + p.random.IntN(maxPipelined-1)
	}
	for range size {
		r := p.traffic.NextRequest(fakes.NowMs())
		attempt := p.traffic.NewAttempt(r, fakes.NowMs())
		batch = append(batch, pendingRequest{r, attempt})
		longestMs = max(longestMs, p.load.experiment.AttemptTimeoutMs(r.Class))
	}
	return batch, longestMs
}

// timedResponse is a response and when its last byte came, or why there is none.
type timedResponse struct {
	response
	atMs float64
	err  error
}

// readResponses reads so many responses beside what is sent, until an error.
func (c *client) readResponses(count int) <-chan timedResponse {
	responses := make(chan timedResponse, count)
	go func() { // ends at the deadline of the connection, or with that
		for range count {
			r, err := readResponse(c.reader)
			responses <- timedResponse{r, fakes.NowMs(), err}
			if err != nil {
				return
			}
		}
	}()
	return responses
}

// waitInOrder gives requests that have no response the time for which each has to wait for those before it, up to their deadlines.
func waitInOrder(unanswered []pendingRequest, waitedUntilMs float64) {
	for i := range unanswered {
		a := &unanswered[i].attempt
		a.ExtraSlack = max(0, waitedUntilMs-a.Deadline)
		waitedUntilMs = max(waitedUntilMs, a.Deadline)
	}
}

// receive records the responses to a batch, in its order, until all are there or the connection has ended. The time for which a request has to
// wait for those before it does not count.
func (p *persistentClient) receive(batch []pendingRequest, responses <-chan timedResponse, leaves bool) {
	waitedUntilMs := 0.0 // for the responses before
	for i := range batch {
		a := &batch[i].attempt
		answer := <-responses
		if answer.err != nil {
			waitInOrder(batch[i:], waitedUntilMs)
			p.connectionEnded(batch[i:], answer, leaves)
			return
		}
		p.conn.reused = true
		a.Outcome, a.AnsweredAt = answer.Outcome, answer.atMs
		a.ExtraSlack = max(0, waitedUntilMs-a.Deadline)
		a.WrongKey = answer.Outcome == invariants.Completed && !experiment.IsValueOf(answer.Value, batch[i].generated.Key)
		waitedUntilMs = a.AnsweredAt
	}
	if len(batch) == cap(responses) { // else it is still being read
		batch[len(batch)-1].attempt.DuplicateResponse = p.conn.reader.Buffered() > 0
	}
}

// connectionEnded records the requests that have no response as the connection ends, or as the client leaves.
func (p *persistentClient) connectionEnded(unanswered []pendingRequest, end timedResponse, leaves bool) {
	timedOut := errors.Is(end.err, os.ErrDeadlineExceeded)
	isNew, isReset := !p.conn.reused, errors.Is(end.err, syscall.ECONNRESET)
	p.disconnect()
	for i := range unanswered {
		a := &unanswered[i].attempt
		switch {
		case !timedOut:
			a.ResentAfterConnEnd = true
			a.ConnEndedAt, a.ConnEndReason = end.atMs, fmt.Sprint(end.err)
			a.NewConnClosedCleanly = isNew && !isReset && end.atMs-a.Sent > crossedEndMs // else it was sent as the connection ended, or after
		case leaves:
			a.ClientClosedAt = fakes.NowMs()
		}
	}
}
