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

// executor executes operations, each as often as it is requested, and counts.
type executor struct {
	listener net.Listener

	mu       sync.Mutex // guards what follows
	rng      *rand.Rand
	receipts map[string][]string // by operation, one of each execution
}

// startExecutor listens on a loopback address, and serves until close.
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

// close ends acceptLoop. It may be called again. Connections end with the processes that have opened them.
func (e *executor) close() {
	_ = e.listener.Close() // it holds no data
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

// serve executes an operation for each line, which has its name and the number of the member. The answer is its receipt.
func (e *executor) serve(conn net.Conn) {
	defer conn.Close() //nolint:errcheck // a member that misses its answer says so
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		var operation string
		var member int
		if n, err := fmt.Sscanf(lines.Text(), "%s %d", &operation, &member); n != 2 || err != nil {
			continue // cut short by the death of the member
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

// execute counts an execution and returns its receipt, which no other has.
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
	all := make(map[string][]string, len(e.receipts))
	for operation, receipts := range e.receipts {
		all[operation] = append([]string(nil), receipts...)
	}
	return all
}
