package controlplanebench

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"mintspring/internal/controlplane/client"
	"mintspring/internal/controlplane/snapshot"
)

// connectInterval is the time between the starts of two proxies.
const connectInterval = 2 * time.Millisecond

// proxyName returns the node id of proxy number i.
func proxyName(i int) string { return fmt.Sprint("p", i) }

// appliedSnapshot is a line of RunProxies, which records that a proxy has applied a snapshot.
type appliedSnapshot struct {
	version   string
	unixNanos int64
}

// RunProxies runs a number of proxies until the context ends. It writes a line for each snapshot that a proxy applies, with the
// snapshot's version and the time in Unix nanoseconds.
func RunProxies(ctx context.Context, addr string, count int, incremental bool, out io.Writer) {
	var mu sync.Mutex // guards out
	logApplied := func(version snapshot.Version, _ uint64) {
		line := appliedSnapshot{version: version.String(), unixNanos: time.Now().UnixNano()}
		mu.Lock()
		defer mu.Unlock()
		line.writeTo(out)
	}
	var running sync.WaitGroup
	for i := range count {
		proxy := client.New(client.Config{
			Addr: addr, Cluster: clusterName, NodeID: proxyName(i), Zone: zoneOf(i), Incremental: incremental, OnApplied: logApplied,
		})
		running.Go(func() { proxy.Run(ctx) })
		time.Sleep(connectInterval)
	}
	running.Wait()
}

// writeTo writes the line. It ignores errors: once the reader has exited, the process of RunProxies is killed.
func (a appliedSnapshot) writeTo(out io.Writer) {
	_, _ = fmt.Fprintln(out, a.version, a.unixNanos)
}

// readApplied reads a line. The error is the reader's, or that of a malformed line.
func readApplied(lines io.Reader) (a appliedSnapshot, err error) {
	_, err = fmt.Fscan(lines, &a.version, &a.unixNanos)
	return a, err
}
