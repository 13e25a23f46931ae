package processrunner

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/tidwall/redcon"

	"mintspring/internal/testbed/fakes"
)

const (
	// burstSeedOffset separates the traffic seeds of burst clients from those of other clients.
	burstSeedOffset = 2 << 32
	// minBurstRequests and maxBurstRequests bound the requests of a burst.
	minBurstRequests = 10
	maxBurstRequests = 35
	// pingsPerRequest is the number of PINGs behind each request of a burst. They cost servers nothing, and with them a burst does not fit into
	// the buffers that the node reads into.
	pingsPerRequest = 60
	// pingPayloadBytes is the size of the argument of a PING.
	pingPayloadBytes = 60
	// maxBurstPause is the longest pause between two bursts of a client.
	maxBurstPause = time.Second
	// maxBurstTime is how long a client waits for the replies to a burst before it leaves.
	maxBurstTime = 8 * time.Second
	// slowReadPause is the pause of a slow client before it reads the reply to a request and to the PINGs behind it.
	slowReadPause = 20 * time.Millisecond
)

// burstClient is a persistent client that has hundreds of commands on the way: it writes a burst in one call, and reads the replies.
type burstClient struct {
	persistentClient
	readSlow bool
}

// run sends bursts until the given time.
func (b *burstClient) run(until time.Time) {
	b.repeat(until, func() { b.sendBurst(until) }, maxBurstPause)
}

// sendBurst sends one burst and records the attempts of its requests.
func (b *burstClient) sendBurst(until time.Time) {
	deadline := time.Now().Add(maxBurstTime)
	if latest := until.Add(maxBurstPause); latest.Before(deadline) {
		deadline = latest
	}
	burst, text := b.nextBurst()
	sentMs, err := b.conn.send(text, deadline)
	if err != nil {
		b.disconnect() // how much of the burst has been sent is unknown
		return
	}
	for i := range burst {
		a := &burst[i].attempt
		a.Node, a.Sent = b.node, sentMs
	}
	b.receive(burst)
	b.load.mu.Lock()
	defer b.load.mu.Unlock()
	for i := range burst {
		b.load.attempts = append(b.load.attempts, burst[i].attempt)
	}
}

// nextBurst returns the requests of the next burst, and its text.
func (b *burstClient) nextBurst() (burst []pendingRequest, text []byte) {
	ping := redcon.AppendArray(nil, 2)
	ping = redcon.AppendBulkString(ping, "PING")
	ping = redcon.AppendBulkString(ping, strings.Repeat("p", pingPayloadBytes))
	for range minBurstRequests + b.random.IntN(maxBurstRequests-minBurstRequests) {
		request := b.traffic.NextRequest(fakes.NowMs())
		attempt := b.traffic.NewAttempt(request, fakes.NowMs())
		burst = append(burst, pendingRequest{request, attempt})
		text = append(text, b.load.command(request, attempt.ID).encode()...)
		for range pingsPerRequest {
			text = append(text, ping...)
		}
	}
	return burst, text
}

// receive reads the replies to a burst. The time that a request waits for the replies before it does not count towards its deadline.
func (b *burstClient) receive(burst []pendingRequest) {
	blockedUntilMs, answered := 0.0, 0
	for i := range burst {
		a := &burst[i].attempt
		a.Deadline = max(a.Sent, blockedUntilMs) + b.load.experiment.AttemptTimeoutMs(burst[i].generated.Class)
		if b.readSlow {
			time.Sleep(slowReadPause)
		}
		answer, err := readResponse(b.conn.reader)
		answeredMs := fakes.NowMs()
		if err == nil {
			b.conn.reused = true
			recordResponse(&burst[i], answer, answeredMs)
			answered = i + 1
			blockedUntilMs, err = answeredMs, b.readPings()
		}
		if err != nil {
			b.connectionEnded(burst[answered:], blockedUntilMs, err)
			return
		}
	}
}

// readPings reads the replies to the PINGs behind a request.
func (b *burstClient) readPings() error {
	for range pingsPerRequest {
		if _, err := readResponse(b.conn.reader); err != nil {
			return err
		}
	}
	return nil
}

// connectionEnded records the end of the connection, or that the client leaves, for the requests without a response.
func (b *burstClient) connectionEnded(unanswered []pendingRequest, blockedUntilMs float64, cause error) {
	endedMs := fakes.NowMs()
	leaves, isReset := errors.Is(cause, os.ErrDeadlineExceeded), errors.Is(cause, syscall.ECONNRESET)
	isNew := !b.conn.reused
	b.disconnect()
	for i := range unanswered {
		a := &unanswered[i].attempt
		a.Deadline = max(a.Sent, blockedUntilMs) + b.load.experiment.AttemptTimeoutMs(unanswered[i].generated.Class)
		blockedUntilMs = a.Deadline
		if leaves {
			a.ClientClosedAt = endedMs
			continue
		}
		a.ResentAfterConnEnd = true
		a.ConnEndedAt, a.ConnEndReason = endedMs, fmt.Sprintf("%v in a burst", cause)
		a.NewConnClosedCleanly = isNew && !isReset && endedMs-a.Sent > closeInTransitMs
	}
}
