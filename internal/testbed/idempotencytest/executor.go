package idempotencytest

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"mintspring/internal/testbed/loopback"
)

// executor executes an operation each time it is requested, repeats included, and records every execution.
type executor struct {
	listener net.Listener

	mu       sync.Mutex // guards the fields below
	rng      *rand.Rand
	receipts map[string][]string // by operation; one receipt for each execution
}

// startExecutor starts an executor on a loopback address. It serves until close.
func startExecutor(seed uint64) (*executor, error) {
	listener, err := loopback.Listen()
	if err != nil {
		return nil, fmt.Errorf("start executor: %w", err)
	}
	e := &executor{listener: listener, rng: rand.New(rand.NewPCG(seed, executorStream)), receipts: map[string][]string{}}
	go e.acceptLoop()
	return e, nil
}

func (e *executor) addr() string { return e.listener.Addr().String() }

// close ends acceptLoop. It may be called more than once. Connections end with the processes that opened them.
func (e *executor) close() {
	_ = e.listener.Close() // a listener buffers no data
}

func (e *executor) acceptLoop() {
	for {
		conn, err := e.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go e.serve(conn)
	}
}

// serve executes an operation for each line, which has the operation's name and the member's number, and answers with the receipt.
func (e *executor) serve(conn net.Conn) {
	defer conn.Close() //nolint:errcheck // a member without an answer reports it
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		var operation string
		var member int
		if n, err := fmt.Sscanf(lines.Text(), "%s %d", &operation, &member); n != 2 || err != nil {
			continue // truncated because the member was killed
		}
		time.Sleep(e.drawDuration())
		if _, err := fmt.Fprintln(conn, e.execute(operation, member)); err != nil {
			return
		}
	}
}

func (e *executor) drawDuration() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(e.rng.IntN(int(maxExecutionTime/time.Millisecond))) * time.Millisecond
}

// execute records an execution and returns its unique receipt.
func (e *executor) execute(operation string, member int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	receipt := fmt.Sprintf("%s-by-%d-%d", operation, member, len(e.receipts[operation])+1)
	e.receipts[operation] = append(e.receipts[operation], receipt)
	return receipt
}

// executions returns the receipts of all executions by operation.
func (e *executor) executions() map[string][]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	copied := make(map[string][]string, len(e.receipts))
	for operation, receipts := range e.receipts {
		copied[operation] = append([]string(nil), receipts...)
	}
	return copied
}
