package leasetest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"mintspring/internal/clock"
	"mintspring/internal/cluster"
	"mintspring/internal/cluster/consensus/replica"
	"mintspring/internal/cluster/lease"
)

const (
	stepAllowanceMillis = 40 // lease time that a contender requires at the start of a step
	minStepMillis       = 5
	extraStepMillis     = 20      // upper bound of the random time added to minStepMillis
	stepsPerRelease     = 25      // mean number of steps between releases
	requestsPerTTL      = 4       // acquisitions or renewals that a contender sends per lease duration, on average
	releaseIDs          = 1 << 40 // request IDs above this one belong to releases; the lease client does not know them
	pollInterval        = 2 * time.Millisecond
)

// Operation is a command of a contender and its result, for the history check. A contender writes it to its standard output when it sends the
// command, and again when it receives the result.
type Operation struct {
	Client     int           `json:"client"`
	StartNanos int64         `json:"from"` // Unix time
	EndNanos   int64         `json:"to"`   // Unix time; 0: no result was received
	Command    lease.Command `json:"cmd"`
	Result     lease.Result  `json:"result"`
}

// contender is a process that competes for the lease, and takes steps at the resource while it holds the lease.
type contender struct {
	config *ProcessConfig
	clock  *clock.Clock
	sender *replica.Client

	mu            sync.Mutex // guards the fields below
	client        *lease.Client
	pending       map[uint64]*Operation // by request ID
	output        *json.Encoder
	lastReleaseID uint64
	rng           *rand.Rand
}

// runContender runs a contender until it is killed or cannot reach the resource. Both of its goroutines end with the process.
func runContender(config *ProcessConfig) error {
	now := clock.New()
	rng := rand.New(rand.NewPCG(config.Seed, uint64(os.Getpid())))
	process := lease.Process{Node: cluster.NodeID(config.Node), Incarnation: cluster.NewIncarnation(now.Now(), rng.Float64())}
	c := &contender{
		config:        config,
		clock:         now,
		client:        lease.NewClient(leaseName, process, config.TTLMillis),
		pending:       map[uint64]*Operation{},
		output:        json.NewEncoder(os.Stdout),
		lastReleaseID: releaseIDs,
		rng:           rng,
	}
	var err error
	if c.sender, err = replica.NewClient(config.ListenAddr, config.ReplicaAddrs, uint64(process.Incarnation), c.handleResult); err != nil {
		return err
	}
	conn, err := net.Dial("tcp4", config.ResourceAddr)
	if err != nil {
		return fmt.Errorf("connect to the resource: %w", err)
	}
	go c.requestLoop()
	c.stepLoop(&resourceClient{conn: conn, replies: bufio.NewScanner(conn), node: config.Node})
	return nil
}

func (c *contender) handleResult(requestID uint64, r lease.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if op := c.pending[requestID]; op != nil {
		op.EndNanos, op.Result = time.Now().UnixNano(), r
		c.write(op)
		delete(c.pending, requestID)
	}
	c.client.HandleResult(requestID, r)
}

// send sends a command to a random replica. The caller holds the mutex.
func (c *contender) send(requestID uint64, cmd lease.Command) {
	op := &Operation{Client: c.config.Node, StartNanos: time.Now().UnixNano(), Command: cmd}
	c.pending[requestID] = op
	c.write(op)
	_ = c.sender.Send(c.rng.IntN(len(c.config.ReplicaAddrs)), requestID, cmd) // an error has the effect of a lost datagram
}

func (c *contender) write(op *Operation) {
	_ = c.output.Encode(op) // fails only after the parent process has died, which kills this process too
}

// requestLoop acquires and renews the lease. It never returns.
func (c *contender) requestLoop() {
	for {
		c.mu.Lock()
		id, cmd := c.client.NextRequest(c.clock.Now())
		c.send(id, cmd)
		c.mu.Unlock()
		millis := c.config.TTLMillis / requestsPerTTL * (0.8 + 0.4*rand.Float64())
		time.Sleep(time.Duration(millis * float64(time.Millisecond)))
	}
}

// stepLoop takes steps under the lease, and releases the lease after a random step. It never returns.
func (c *contender) stepLoop(resource *resourceClient) {
	for {
		token, ok := c.mayStep()
		if !ok {
			time.Sleep(pollInterval)
			continue
		}
		if resource.request(requestStart, token) {
			time.Sleep(time.Duration(minStepMillis+rand.IntN(extraStepMillis)) * time.Millisecond)
			resource.request(requestEnd, token)
		}
		if rand.IntN(stepsPerRelease) == 0 && !c.config.SkipLeaseCheck {
			c.release()
		}
	}
}

// mayStep reports whether a step may begin now, and the fencing token for it.
func (c *contender) mayStep() (lease.Token, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	token := c.client.Token()
	if c.config.SkipLeaseCheck && token > 0 {
		return token, true
	}
	return token, c.client.MayAct(c.clock.Now(), stepAllowanceMillis)
}

func (c *contender) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReleaseID++
	c.send(c.lastReleaseID, c.client.Release())
}

// resourceClient is a contender's connection to the fenced resource.
type resourceClient struct {
	conn    net.Conn
	replies *bufio.Scanner
	node    int
}

// request reports the start or the end of a step, and returns whether the resource allows it.
func (r *resourceClient) request(kind string, token lease.Token) bool {
	if _, err := fmt.Fprintf(r.conn, "%s %d %d\n", kind, r.node, token); err != nil {
		return false // the round is over
	}
	return r.replies.Scan() && r.replies.Text() == replyOK
}
