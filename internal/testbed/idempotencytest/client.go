package idempotencytest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// answerTimeout is how long a client waits for an answer.
	answerTimeout = time.Second
	// statePollInterval is how often awaitReady requests a member's state.
	statePollInterval = 3 * time.Millisecond
)

// attempt is one attempt of an operation as its client observed it. Times are offsets from the start of the clients.
type attempt struct {
	operation int
	start     time.Duration
	end       time.Duration // 0: no answer was received
	answer    string
	receipt   string
}

func (a attempt) answered() bool { return a.end > 0 }

// operationName returns the name of an operation in requests.
func operationName(operation int) string { return fmt.Sprintf("m%d", operation) }

// clients sends attempts of operations to all members.
type clients struct {
	addrs     []string // where members accept requests of clients
	rate      float64  // operations drawn per second, on average; each is attempted once or twice
	rng       *rand.Rand
	startedAt time.Time

	operations int // number of operations started so far

	mu       sync.Mutex // guards attempts
	attempts []attempt
}

func newClients(addrs []string, rate float64, seed uint64) *clients {
	return &clients{addrs: addrs, rate: rate, rng: rand.New(rand.NewPCG(seed, clientStream)), startedAt: time.Now()}
}

// run attempts new and earlier operations until the context is done, and returns when all attempts have ended. Half of the
// drawn operations are attempted twice at the same time. The member is drawn for each attempt.
func (c *clients) run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(c.rng.ExpFloat64() / c.rate * float64(time.Second)))
		operation := c.drawOperation()
		for range 1 + c.rng.IntN(2) {
			addr := c.addrs[c.rng.IntN(len(c.addrs))]
			running.Go(func() { c.attemptAt(operation, addr) })
		}
	}
}

// drawOperation starts a new operation in one of four cases. It returns one of the latest ten operations in three of four cases, and otherwise any.
func (c *clients) drawOperation() int {
	if c.operations == 0 || c.rng.IntN(4) == 0 {
		c.operations++
	}
	operation := max(0, c.operations-1-c.rng.IntN(10))
	if c.rng.IntN(4) == 0 {
		operation = c.rng.IntN(c.operations)
	}
	return operation
}

func (c *clients) attemptAt(operation int, addr string) {
	a := attempt{operation: operation, start: time.Since(c.startedAt)}
	if line, err := request(addr, operationName(operation)); err == nil {
		a.end = time.Since(c.startedAt)
		a.answer, a.receipt, _ = strings.Cut(line, " ")
	}
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
}

// request sends one line to a member and returns the member's answer.
func request(addr, line string) (string, error) {
	conn, err := net.DialTimeout("tcp4", addr, answerTimeout)
	if err != nil {
		return "", err
	}
	answer, err := exchange(conn, line)
	return answer, errors.Join(err, conn.Close())
}

func exchange(conn net.Conn, line string) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return "", err
	}
	if _, err := fmt.Fprintln(conn, line); err != nil {
		return "", err
	}
	lines := bufio.NewScanner(conn)
	if lines.Scan() {
		return lines.Text(), nil
	}
	if err := lines.Err(); err != nil {
		return "", err
	}
	return "", io.ErrUnexpectedEOF
}

// awaitReady waits until a member holds all records assigned to it, and reports whether it did within the timeout.
func awaitReady(addr string, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(statePollInterval) {
		if state, err := request(addr, stateRequest); err == nil && strings.HasPrefix(state, readyState+" ") {
			return true
		}
	}
	return false
}
