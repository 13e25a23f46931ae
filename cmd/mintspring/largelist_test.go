package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"mintspring/internal/testbed/coreshare"
	"mintspring/internal/testbed/logrecorder"
	"mintspring/internal/testbed/loopbacktest"
	"mintspring/internal/testbed/reservedport"
)

// largestFleet is the greatest number of cache servers of a fleet (STANDING.md, "What production adds").
const largestFleet = 3200

// largeFleet is a node that knows many cache servers from its start. Its discovery service is silent.
type largeFleet struct {
	t         *testing.T
	addr      string // of the node
	discovery string
	members   string // the entries of the list, separated by commas
	timeoutMs int
	socket    *os.File // listens for the clients of all processes of the node; nil: each process listens itself
}

// newLargeFleet returns a node that knows count servers. Their machines accept connections, and nothing answers.
func newLargeFleet(t *testing.T, count, timeoutMs int) *largeFleet {
	t.Helper()
	f := &largeFleet{t: t, timeoutMs: timeoutMs}
	port, err := reservedport.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeAll(port) })
	f.addr = port.Addr()
	f.members = f.listMembers(count)
	silent := loopbacktest.Listen(t)
	t.Cleanup(func() { closeAll(silent) })
	f.discovery = silent.Addr().String()
	return f
}

// listMembers returns the entries of count servers with addresses of their own.
func (f *largeFleet) listMembers(count int) string {
	f.t.Helper()
	entries := make([]string, 0, count)
	for i := range count {
		ln := loopbacktest.Listen(f.t)
		f.t.Cleanup(func() { closeAll(ln) })
		entries = append(entries, fmt.Sprintf(
			`{"id":"s-%08x","host_port":%q,"locality":"a","flavor":"box","cell":3,"phase":"in_service","size":1.0,"up_since_ms":0}`, uint32(i)*2654435761, ln.Addr()))
	}
	return strings.Join(entries, ",")
}

// start starts a process of the node, which gets a share of a core.
func (f *largeFleet) start(share float64) {
	f.t.Helper()
	text := strings.NewReplacer(
		"127.0.0.1:1\"", f.addr+`"`,
		"127.0.0.1:2", f.discovery,
		`{"id":"s"}`, f.members,
		`"SloTime":1000,"StatementTimeout":2000}]`, fmt.Sprintf(`"Effect":"pure","SloTime":%d000,"StatementTimeout":%d000,"Importance":1}],
		"PolicyLimits":{"MaxExecutions":4,"ConnectTimeout":250000},"Quantum":5000,"Guarantees":{"StopSendingWithin":500000}`, f.timeoutMs/3, f.timeoutMs),
	).Replace(validConfig)
	file := filepath.Join(f.t.TempDir(), "config.json")
	writeFile(f.t, file, text)
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), nodeEnv+"=1", "LB_CONFIG="+file, "TMPDIR="+f.t.TempDir(), operatorEnv+"=", faultsEnv+"=")
	log := &logrecorder.Recorder{}
	c.Stderr = log
	if f.socket != nil {
		c.ExtraFiles = []*os.File{f.socket}
		c.Env = append(c.Env, "LB_SOCKET_FD=3")
	}
	if err := c.Start(); err != nil {
		f.t.Fatal(err)
	}
	limiter := coreshare.Limit(c.Process, share)
	p := &nodeProcess{c, file, "", make(chan error, 1), log, f.t}
	go func() {
		p.exited <- c.Wait()
		close(p.exited)
	}()
	f.t.Cleanup(p.kill)
	f.t.Cleanup(limiter.Stop)
}

// connect connects to the node as soon as its machine accepts a connection.
func (f *largeFleet) connect(deadline time.Time) (net.Conn, error) {
	for {
		conn, err := net.Dial("tcp", f.addr)
		if err == nil || time.Now().After(deadline) {
			return conn, err
		}
		time.Sleep(time.Millisecond)
	}
}

// send sends a read as soon as the node's machine accepts a connection.
func (f *largeFleet) send(client int) (*sentRequest, error) {
	conn, err := f.connect(time.Now().Add(6 * testTimeout))
	if err != nil {
		return nil, err
	}
	request := redcon.AppendArray(nil, 4)
	for _, arg := range []string{"KV.GET", fmt.Sprint("k", client), fmt.Sprint("r", client), fmt.Sprintf("c=read,d=%d", f.timeoutMs)} {
		request = redcon.AppendBulkString(request, arg)
	}
	if _, err := conn.Write(request); err != nil {
		closeAll(conn)
		return nil, err
	}
	return &sentRequest{conn: conn, sentAt: time.Now(), timeout: time.Duration(f.timeoutMs) * time.Millisecond}, nil
}

// sentRequest is a read that was sent on a connection of its own.
type sentRequest struct {
	conn    net.Conn
	sentAt  time.Time
	timeout time.Duration
}

// expectAnswerInTime waits for the answer and returns how long it took. It returns an error if it does not come in time.
func (r *sentRequest) expectAnswerInTime() (took time.Duration, err error) {
	defer closeAll(r.conn)
	if err := r.conn.SetReadDeadline(r.sentAt.Add(r.timeout + maxLate)); err != nil {
		return 0, err
	}
	switch _, err := r.conn.Read(make([]byte, 256)); {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 0, fmt.Errorf("a request has no answer %v after its time", maxLate)
	case err != nil:
		return 0, fmt.Errorf("a request was taken, and its connection ended after %v: %w", time.Since(r.sentAt), err)
	}
	return time.Since(r.sentAt), nil
}

// Guards against requests lost at a start with thousands of servers (incident 40): the machine of the node took connections before the process could
// read them, and the time of their requests began when they were read.
func TestRequestsDuringStartWithLargestFleetAreAnsweredInTime(t *testing.T) {
	const clients, share = 8, 0.04
	for _, timeoutMs := range []int{60, 400} {
		t.Run(fmt.Sprint(timeoutMs, " ms"), func(t *testing.T) {
			f := newLargeFleet(t, largestFleet, timeoutMs)
			f.start(share)
			var workers sync.WaitGroup
			for client := range clients {
				workers.Go(func() {
					request, err := f.send(client)
					if err == nil {
						_, err = request.expectAnswerInTime()
					}
					if err != nil {
						t.Error(err)
					}
				})
			}
			workers.Wait()
		})
	}
}
