package idempotencytest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/clock"
	"mintspring/internal/cluster"
	"mintspring/internal/cluster/idempotency"
	"mintspring/internal/cluster/idempotency/replica"
	"mintspring/internal/cluster/idempotency/storage"
)

// MemberConfig is the configuration of a member process. It is passed as JSON in the last argument.
type MemberConfig struct {
	Member         int           `json:"member"` // from 0
	ListenAddr     string        `json:"listen"`
	ClientAddr     string        `json:"clients"` // where the member accepts requests of clients
	MemberAddrs    []string      `json:"members"` // addresses at which this process reaches the members, by member
	DataDir        string        `json:"folder"`
	Create         bool          `json:"found,omitempty"` // create the data directory at the start
	ExecutorAddr   string        `json:"witness"`
	RetentionMs    float64       `json:"keep"`
	SyncDelay      time.Duration `json:"slow,omitempty"` // added to each sync of the record log to disk
	Seed           uint64        `json:"seed"`
	WithoutRecords bool          `json:"off,omitempty"` // execute operations without idempotency records
}

const groupName = "proof"

const (
	requestTimeout   = 300 * time.Millisecond // limit for the execution of a request
	claimTimeout     = 150 * time.Millisecond // limit for the decision on a claim, and for how long the answer waits for the settlement
	settleTimeout    = 2 * time.Second        // how long the replica retries a settlement
	maxExecutionTime = 20 * time.Millisecond  // upper bound of the executor's random delay
	dialTimeout      = time.Second
	maxDelay         = 5 * time.Millisecond // before the execution of a granted operation
	claimsPerAbandon = 20                   // one in this many granted operations is abandoned before its execution
	answersPerLoss   = 15                   // one in this many answers of the executor is ignored
)

// Requests for a member's state. A line other than stateRequest names an operation to attempt. The answer begins with readyState once the member is ready.
const (
	stateRequest = "state"
	readyState   = "holds"
)

// Answers of a member: the outcome of an attempt. A receipt follows in the same line.
const (
	answerCompleted       = "sold"    // with its receipt, which has been recorded
	answerUnsettled       = "unkept"  // with its receipt, which may not be recorded
	answerReplayed        = "earlier" // with the receipt of an earlier attempt
	answerWait            = "wait"    // another attempt is in flight
	answerUnknown         = "lost"    // the outcome of an earlier attempt is unknown
	answerMayHaveExecuted = "maybe"
	answerNotExecuted     = "never"
	answerNoQuorum        = "none" // nothing was executed
)

// server runs a member's replica and answers its clients.
type server struct {
	config  MemberConfig
	replica *replica.Replica
	clock   *clock.Clock

	mu         sync.Mutex // guards the fields below
	lastNumber uint64
	waiters    map[waiterID]chan idempotency.Result
}

// waiterID identifies the result that a goroutine waits for: of the claim or of the settlement with a number.
type waiterID struct {
	number     uint64
	settlement bool
}

// RunMember runs a member process until it is killed or fails.
func RunMember(config string) error {
	s := &server{clock: clock.New(), waiters: map[waiterID]chan idempotency.Result{}}
	if err := json.Unmarshal([]byte(config), &s.config); err != nil {
		return fmt.Errorf("decode process configuration: %w", err)
	}
	if err := s.startReplica(); err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", s.config.ClientAddr)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go s.serve(conn)
	}
}

func (s *server) startReplica() error {
	self := idempotency.MemberID(s.config.Member)
	incarnation := cluster.NewIncarnation(s.clock.Now(), rand.Float64())
	if s.config.Create {
		if err := storage.Create(s.config.DataDir, storage.Owner{Group: groupName, Member: self}, incarnation); err != nil {
			return err
		}
	}
	var set idempotency.ReplicaSet
	for i := range s.config.MemberAddrs {
		set.Members = append(set.Members, idempotency.MemberID(i))
	}
	config := replica.Config{
		Group: groupName, ListenAddr: s.config.ListenAddr, MemberAddrs: s.config.MemberAddrs, DataDir: s.config.DataDir, SyncDelay: s.config.SyncDelay,
		Core: idempotency.Config{
			Self: self, Incarnation: incarnation, ReplicaSets: []idempotency.ReplicaSet{set}, ReplicationFactor: 3, RetentionMs: s.config.RetentionMs,
			RetryIntervalMs: 10, MaxRecords: 1 << 20, MaxReceiptBytes: 256, RepairsPerSecond: 5000, AntiEntropyIntervalMs: 500, Seed: s.config.Seed,
		},
	}
	var err error
	s.replica, err = replica.Start(config, s.clock, logrus.New(), s.onResult)
	return err
}

func (s *server) onResult(result idempotency.Result) {
	id := waiterID{result.Number, result.IsSettlement}
	s.mu.Lock()
	waiter := s.waiters[id]
	delete(s.waiters, id)
	s.mu.Unlock()
	if waiter != nil {
		waiter <- result
	}
}

// registerWaiter returns the channel on which onResult delivers a result.
func (s *server) registerWaiter(number uint64, settlement bool) chan idempotency.Result {
	result := make(chan idempotency.Result, 1)
	s.mu.Lock()
	s.waiters[waiterID{number, settlement}] = result
	s.mu.Unlock()
	return result
}

func (s *server) nextNumber() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastNumber++
	return s.lastNumber
}

// serve answers the requests of a client, one a line.
func (s *server) serve(conn net.Conn) {
	defer conn.Close() //nolint:errcheck // a client without an answer records that
	requests := bufio.NewScanner(conn)
	for requests.Scan() {
		if _, err := fmt.Fprintln(conn, s.answer(requests.Text())); err != nil {
			return
		}
	}
}

// answer returns the line that answers a request.
func (s *server) answer(request string) string {
	if request != stateRequest {
		return s.attempt(request)
	}
	status, err := s.replica.Status()
	return fmt.Sprintf("%s %v", strings.ReplaceAll(status.State, " ", "-"), err)
}

// attempt claims, executes and settles an operation as a node does, and returns the answer.
func (s *server) attempt(operation string) string {
	start := s.clock.Now()
	if s.config.WithoutRecords {
		if receipt, outcome := s.execute(operation, start); outcome == idempotency.OutcomeCompleted {
			return answerUnsettled + " " + receipt
		}
		return answerMayHaveExecuted
	}
	number := s.nextNumber()
	claimed := s.registerWaiter(number, false)
	key := idempotency.NewKey("sale", []byte("key"), []byte(operation))
	s.replica.Claim(number, key, idempotency.ClaimOptions{TimeoutMs: milliseconds(requestTimeout)}, start+milliseconds(claimTimeout))
	switch claim := <-claimed; claim.Decision {
	case idempotency.DecisionNoQuorum:
		return answerNoQuorum
	case idempotency.DecisionWait:
		return answerWait
	case idempotency.DecisionUnknown:
		return answerUnknown
	case idempotency.DecisionReplay:
		return answerReplayed + " " + string(claim.Receipt)
	}
	receipt, outcome := s.execute(operation, start)
	return s.settle(number, receipt, outcome)
}

// settle records the outcome of a granted claim, and returns the answer.
func (s *server) settle(number uint64, receipt string, outcome idempotency.Outcome) string {
	settled := s.registerWaiter(number, true)
	var stored []byte
	if outcome == idempotency.OutcomeCompleted {
		stored = []byte(receipt)
	}
	s.replica.Settle(number, outcome, stored, s.clock.Now()+milliseconds(settleTimeout))
	switch outcome {
	case idempotency.OutcomeNotExecuted:
		return answerNotExecuted
	case idempotency.OutcomeUnknown:
		return answerMayHaveExecuted
	}
	select {
	case settlement := <-settled:
		if settlement.Decision == idempotency.DecisionGranted {
			return answerCompleted + " " + receipt
		}
	case <-time.After(claimTimeout):
	}
	return answerUnsettled + " " + receipt
}

// execute requests an execution from the executor if enough time is left. It abandons some operations, and ignores some of the executor's answers.
func (s *server) execute(operation string, start float64) (receipt string, outcome idempotency.Outcome) {
	rng := rand.New(rand.NewPCG(uint64(start), s.config.Seed+uint64(s.config.Member)))
	time.Sleep(time.Duration(rng.IntN(int(maxDelay/time.Millisecond))) * time.Millisecond)
	if rng.IntN(claimsPerAbandon) == 0 || s.wouldExceedTimeout(start) {
		return "", idempotency.OutcomeNotExecuted
	}
	conn, err := net.DialTimeout("tcp4", s.config.ExecutorAddr, dialTimeout)
	if err != nil {
		return "", idempotency.OutcomeNotExecuted
	}
	defer conn.Close()               //nolint:errcheck // the answer has been read or is ignored
	if s.wouldExceedTimeout(start) { // the process was paused in the meantime
		return "", idempotency.OutcomeNotExecuted
	}
	if _, err := fmt.Fprintf(conn, "%s %d\n", operation, s.config.Member); err != nil {
		return "", idempotency.OutcomeUnknown
	}
	if rng.IntN(answersPerLoss) == 0 {
		return "", idempotency.OutcomeUnknown
	}
	if err := conn.SetReadDeadline(time.Now().Add(requestTimeout)); err != nil {
		return "", idempotency.OutcomeUnknown
	}
	answer := bufio.NewScanner(conn)
	if !answer.Scan() {
		return "", idempotency.OutcomeUnknown
	}
	return answer.Text(), idempotency.OutcomeCompleted
}

// wouldExceedTimeout reports whether an execution that starts now might end after the request's timeout.
func (s *server) wouldExceedTimeout(start float64) bool {
	return s.clock.Now() > start+milliseconds(requestTimeout-maxExecutionTime)
}
