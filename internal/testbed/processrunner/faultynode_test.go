package processrunner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/invariants"
)

// nodeFault is the rule that a faulty node breaks on purpose.
type nodeFault string

const (
	noNodeFault     nodeFault = "no fault"
	answersTwice    nodeFault = "answers twice"
	answersLate     nodeFault = "answers late"
	dropsRequests   nodeFault = "drops requests"
	sendsAfterwards nodeFault = "sends after the answer"
	doublesWrites   nodeFault = "doubles writes"
	ignoresDrains   nodeFault = "ignores drains"
	overloadsCache  nodeFault = "overloads a cache that is warming up"
)

// faultyNode is a simple node that breaks one rule on purpose.
type faultyNode struct {
	fault      nodeFault
	httpClient http.Client
	caches     []string // as first listed; later changes are ignored
	origin     string

	done  chan struct{}
	mu    sync.Mutex // guards conns
	conns map[net.Conn]bool
}

// serveFaulty returns a ServeFunc of faulty nodes.
func serveFaulty(fault nodeFault) ServeFunc {
	return func(file string, listener net.Listener) (func(), error) {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		var config nodeConfig
		if err := json.Unmarshal(text, &config); err != nil {
			return nil, err
		}
		n := &faultyNode{fault: fault, done: make(chan struct{}), conns: map[net.Conn]bool{}}
		if err := n.readList(config.Discovery); err != nil {
			return nil, err
		}
		go n.watchList(config.Discovery)
		go n.acceptLoop(listener)
		return func() { n.stop(listener) }, nil
	}
}

func (n *faultyNode) acceptLoop(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.conns[conn] = true
		n.mu.Unlock()
		go n.serve(conn)
	}
}

func (n *faultyNode) stop(listener net.Listener) {
	_ = listener.Close() // the node stops even if closing fails
	close(n.done)
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		_ = conn.Close() // serve may have closed it already
	}
}

// readList reads the endpoint list once.
func (n *faultyNode) readList(discovery string) (err error) {
	response, err := n.httpClient.Get("http://" + discovery + "/catalog/members")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	var list struct {
		Members []struct {
			Flavor   string `json:"flavor"`
			HostPort string `json:"host_port"`
		} `json:"members"`
	}
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return err
	}
	for _, m := range list.Members {
		if m.Flavor == fakes.OriginKind {
			n.origin = m.HostPort
		} else {
			n.caches = append(n.caches, m.HostPort)
		}
	}
	return nil
}

// watchList subscribes to changes of the endpoint list and ignores them.
func (n *faultyNode) watchList(discovery string) {
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		<-n.done
		stop()
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+discovery+"/catalog/members?watch=1&from=0", nil)
	if err != nil {
		return
	}
	response, err := n.httpClient.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }() // the watch has ended by then
	_, _ = io.Copy(io.Discard, response.Body)    // returns when the node is stopped
}

// serve answers the commands of one client.
func (n *faultyNode) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // stop may have closed it already
	reader := redcon.NewReader(conn)
	for requestNumber := 0; ; requestNumber++ {
		parsed, err := reader.ReadCommand()
		if err != nil {
			return
		}
		answer := []byte(pingResponse)
		if len(parsed.Args) >= 4 {
			cmd := &command{Key: string(parsed.Args[1]), ID: string(parsed.Args[2]), Options: string(parsed.Args[3]), Write: len(parsed.Args) > 4}
			answer = n.answer(cmd, requestNumber)
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// answer executes a command and returns the bytes to send to the client.
func (n *faultyNode) answer(cmd *command, requestNumber int) []byte {
	isFifth := requestNumber%5 == 0
	value := n.execute(cmd, requestNumber)
	if isFifth && n.fault == answersLate {
		time.Sleep(800 * time.Millisecond)
	}
	if n.fault == sendsAfterwards && !cmd.Write {
		time.AfterFunc(200*time.Millisecond, func() { n.readCache(n.caches[0], cmd) })
	}
	answer := redcon.AppendBulkString(nil, value)
	if value == "" {
		answer = []byte("-ERR aborted\r\n")
	}
	switch {
	case isFifth && n.fault == answersTwice:
		return append(answer, answer...)
	case isFifth && n.fault == dropsRequests:
		return nil
	}
	return answer
}

// execute reads from a cache and, on a miss, from the origin, or writes to the origin.
func (n *faultyNode) execute(cmd *command, requestNumber int) (value string) {
	if cmd.Write {
		value = n.callOrigin(cmd)
		if n.fault == doublesWrites {
			n.callOrigin(cmd)
		}
		return value
	}
	if n.fault == overloadsCache {
		for range 20 { // each read causes 20 more at the first cache
			go n.readCache(n.caches[0], &command{Key: cmd.Key, ID: fmt.Sprint(cmd.ID, requestNumber), Options: cmd.Options})
		}
	}
	if value = n.readCache(n.caches[requestNumber%len(n.caches)], cmd); value == "" {
		value = n.callOrigin(cmd)
	}
	return value
}

// readCache returns the value in a cache, or "" on a miss or an error.
func (n *faultyNode) readCache(addr string, cmd *command) string {
	c, err := dial(addr)
	if err != nil {
		return ""
	}
	defer c.close()
	result, err := c.roundTrip(cmd, time.Now().Add(500*time.Millisecond))
	if err != nil || result.Outcome != invariants.Completed {
		return ""
	}
	return result.Value
}

// callOrigin reads from or writes to the origin and returns the value, or "" on an error.
func (n *faultyNode) callOrigin(cmd *command) string {
	method := http.MethodGet
	if cmd.Write {
		method = http.MethodPut
	}
	request, err := http.NewRequest(method, "http://"+n.origin+"/"+cmd.Key, strings.NewReader(""))
	if err != nil {
		return ""
	}
	request.Header.Set("Req-Id", cmd.ID)
	request.Header.Set("Req-Extra", cmd.Options)
	response, err := n.httpClient.Do(request)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }() // the body has been read by then
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return ""
	}
	return string(text)
}

// maxBusyRuns is the largest number of runs per fault when the machine is too busy for a valid one.
const maxBusyRuns = 3

// The invariant checks detect each fault of a node by observing only clients and servers, and report nothing for a node without a fault.
func TestFaultyNodesAreFound(t *testing.T) {
	drain := "[[at]]\ntime = \"300ms\"\ndo = \"drain\"\nbox = \"box-0\"\n"
	restart := "[[at]]\ntime = \"100ms\"\ndo = \"kill\"\nbox = \"box-0\"\nfor = \"200ms\"\n"
	for fault, c := range map[nodeFault]struct{ steps, want string }{
		noNodeFault:     {"", ""},
		answersTwice:    {"", "rule 1"},
		answersLate:     {"", "rule 1"},
		dropsRequests:   {"", "rule 1"},
		sendsAfterwards: {"", "rule 1"},
		doublesWrites:   {"", "rule 2"},
		ignoresDrains:   {drain, "rule 3"},
		overloadsCache:  {restart, "rule 4"},
	} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			text := strings.Replace(smallExperiment(t), "count = 3", "count = 3\nfall_after = \"500ms\"\nroom = 2000\nconnections = 4000", 1)
			text = strings.Replace(text, "[fleet]", "[fleet]\ndiscovery_late = \"10ms\"", 1)
			run, found := playWithFault(t, parseExperiment(t, text+c.steps), fault)
			isValid := run.Verdict(true).IsValid
			for i := 1; i < maxBusyRuns && !isValid && !strings.Contains(found, c.want); i++ {
				run, found = playWithFault(t, parseExperiment(t, text+c.steps), fault)
				isValid = run.Verdict(true).IsValid
			}
			if !isValid {
				t.Logf("the machine was too busy (%.0f ms late) to check that nothing else is found: %q", run.LatenessMs, found)
			} else if c.want == "" && found != "" {
				t.Errorf("found %q, want nothing", found)
			}
			if !strings.Contains(found, c.want) {
				t.Errorf("found %q, want %q", found, c.want)
			}
		})
	}
}

// playWithFault runs an experiment with faulty nodes and returns the violations as text.
func playWithFault(t *testing.T, x *experiment.Experiment, fault nodeFault) (run *experiment.Run, found string) {
	t.Helper()
	run = playInProcess(t, x, serveFaulty(fault))
	for _, v := range run.Violations {
		found += v.String() + "\n"
	}
	return run, found
}
