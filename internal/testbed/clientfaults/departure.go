package clientfaults

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/servermodel"
)

// Departures are clients that write requests at once and then close their connections.
type Departures struct {
	Addr     string
	Clients  int
	Requests int           // of each client
	Write    bool          // the requests are writes
	Value    int           // bytes of their values
	Stay     time.Duration // how long a client stays after its last byte
	Reset    bool          // the connection is reset; otherwise the client's machine still sends what was written
	closedAt map[string]float64
}

// departureGrace is how long after the close an attempt may begin, in ms (STANDING.md: "more than 0.1 s after the close is a break").
const departureGrace = 100.0

// Run lets all clients come and leave.
func (d *Departures) Run() error {
	d.closedAt = map[string]float64{}
	var mu sync.Mutex
	var running sync.WaitGroup
	errs := make(chan error, d.Clients)
	for i := range d.Clients {
		running.Go(func() {
			closedAt, err := d.depart(clientPrefix(i))
			mu.Lock()
			d.closedAt[clientPrefix(i)] = closedAt
			mu.Unlock()
			if err != nil {
				errs <- err
			}
		})
	}
	running.Wait()
	close(errs)
	return <-errs
}

func clientPrefix(number int) string { return fmt.Sprintf("leaving%d-", number) }

// depart runs one client and returns when it closed its connection, in Unix ms.
func (d *Departures) depart(prefix string) (closedAt float64, err error) {
	conn, err := net.Dial("tcp4", d.Addr)
	if err != nil {
		return 0, err
	}
	defer closeConn(conn)
	if err := conn.SetWriteDeadline(time.Now().Add(time.Minute)); err != nil {
		return 0, err
	}
	if _, err = conn.Write(d.encode(prefix)); err != nil {
		return fakes.NowMs(), fmt.Errorf("writing requests: %w", err)
	}
	time.Sleep(d.Stay)
	if d.Reset {
		if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
			return 0, err
		}
	}
	closeConn(conn)
	return fakes.NowMs(), nil
}

func (d *Departures) encode(prefix string) []byte {
	var b bytes.Buffer
	for i := range d.Requests {
		id := fmt.Sprint(prefix, i)
		if d.Write {
			b.Write(encode("KV.SET", "key"+id, id, "c=write,t=all,d=1500,k="+id, strings.Repeat("v", d.Value)))
		} else {
			b.Write(encode("KV.GET", "key"+id, id, "c=read,t=all,d=1500"))
		}
	}
	return b.Bytes()
}

// DepartureResult is what servers got of the requests of clients that have left.
type DepartureResult struct {
	Clients, Requests int
	Executions        int
	Late              int     // executions that began more than 0.1 s after the close
	LatestMs          float64 // after the close
	Repeated          int     // writes that took effect more than once
}

// String formats the result as one line.
func (r DepartureResult) String() string {
	return fmt.Sprintf("%d clients with %d requests each have left: %d attempts, %d of them began over 0.1 s after the close, the latest %.0f ms; %d writes took effect twice",
		r.Clients, r.Requests, r.Executions, r.Late, r.LatestMs, r.Repeated)
}

// Check compares the executions of the servers with the times at which the clients left.
func (d *Departures) Check(executions []*servermodel.Execution) DepartureResult {
	result := DepartureResult{Clients: d.Clients, Requests: d.Requests}
	applied := map[string]int{}
	for _, x := range executions {
		client, _, found := strings.Cut(x.RequestID, "-")
		if !found || !strings.HasPrefix(client, "leaving") {
			continue
		}
		result.Executions++
		after := x.LastByte - d.closedAt[client+"-"]
		result.LatestMs = max(result.LatestMs, after)
		if after > departureGrace {
			result.Late++
		}
		if x.Applied {
			if applied[x.RequestID]++; applied[x.RequestID] == 2 {
				result.Repeated++
			}
		}
	}
	return result
}
