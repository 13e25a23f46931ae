package controlplanebench

import (
	"context"
	"fmt"
	"io"
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mintspring/internal/controlplane/loadreport"
	"mintspring/internal/testbed/fakediscovery"
)

// Parameters of a measurement.
const (
	scaleSeed               = 1
	scaleLatencyObjectiveMs = 100
	settleTime              = 2 * time.Second // after the last stream was opened
	idleTime                = 2 * time.Second // measured without ring point adjustments
	adjustmentLead          = time.Second     // of adjustments before they are measured
	reportInterval          = 20 * time.Millisecond

	maxLatency         = time.Minute // that the histogram holds; in it are microseconds
	histogramPrecision = 3           // significant figures
)

// StartProxies starts proxies as RunProxies does, in a process of their own, and returns what they write. They run until the context
// ends.
type StartProxies func(ctx context.Context, addr string, count int, incremental bool) (io.Reader, error)

// ScaleResult is what ring point adjustments cost the control plane.
type ScaleResult struct {
	Endpoints              int
	Streams                int
	Incremental            bool
	Snapshots              int     // built during the measurement
	SnapshotsApplied       int64   // snapshots applied, by all proxies
	BytesPerStreamSnapshot float64 // a snapshot and stream, on the wire before framing
	CPUMsPerSnapshot       float64 // of processor time a snapshot, for all streams, without what leases cost
	LeaseCores             float64 // cores that the leases of all streams keep busy
	KiBPerStream           float64 // memory a stream, in KiB
	P50Ms, P99Ms           float64 // ms from a snapshot's being built to its being applied by a proxy
}

// scaleRun is a measurement under way.
type scaleRun struct {
	controlPlane *controlPlane

	mu        sync.Mutex           // guards the fields below
	builtAt   map[string]time.Time // by version
	recording bool                 // latencies are recorded
	latencies *hdrhistogram.Histogram
	applied   int64
}

// MeasureScale runs a control plane with a number of endpoints for a number of proxies, and measures it for a time while ring points
// are adjusted. Proxies use the incremental variant of the protocol or state of the world.
func MeasureScale(ctx context.Context, endpoints, streams int, incremental bool, duration time.Duration, start StartProxies) (*ScaleResult, error) {
	c, err := startControlPlane(endpoints, scaleSeed, scaleLatencyObjectiveMs)
	if err != nil {
		return nil, err
	}
	defer c.close()
	r := &scaleRun{
		controlPlane: c,
		builtAt:      map[string]time.Time{},
		latencies:    hdrhistogram.New(1, maxLatency.Microseconds(), histogramPrecision),
	}
	var running sync.WaitGroup
	defer running.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	newer, unwatch := c.controller.Watch()
	defer unwatch()
	running.Go(func() { r.watchSnapshots(ctx, newer) })
	heapBefore := heapBytes()
	lines, err := start(ctx, c.addr, streams, incremental)
	if err != nil {
		return nil, fmt.Errorf("starting proxies: %w", err)
	}
	running.Go(func() { r.readLatencies(lines) })
	if err := waitUntil("the proxies' streams", func() bool { return c.server.Counters().StreamsOpened.Load() >= int64(streams) }); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	leaseCores := measureIdleCores()
	result := &ScaleResult{
		Endpoints: endpoints, Streams: streams, Incremental: incremental, LeaseCores: leaseCores,
		KiBPerStream: (heapBytes() - heapBefore) / float64(streams) / 1024,
	}
	running.Go(func() { c.overloadServers(ctx, endpoints) })
	if err := r.measure(ctx, duration, result); err != nil {
		return nil, err
	}
	return result, nil
}

// watchSnapshots records when snapshots are built, until the context ends.
func (r *scaleRun) watchSnapshots(ctx context.Context, newer <-chan struct{}) {
	for {
		select {
		case <-newer:
			now := time.Now()
			r.mu.Lock()
			r.builtAt[r.controlPlane.controller.Snapshot(0).Version.String()] = now
			r.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// readLatencies records how long after a snapshot was built proxies applied it, until the proxies have ended.
func (r *scaleRun) readLatencies(lines io.Reader) {
	for {
		applied, err := readApplied(lines)
		if err != nil {
			return
		}
		r.recordApplied(applied)
	}
}

func (r *scaleRun) recordApplied(applied appliedSnapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	builtAt, known := r.builtAt[applied.version]
	if !known || !r.recording {
		return
	}
	r.applied++
	latency := time.Unix(0, applied.unixNanos).Sub(builtAt)
	_ = r.latencies.RecordValue(max(1, latency.Microseconds())) // fails over maxLatency, which no measurement lasts
}

// measureIdleCores returns how many cores the process keeps busy with leases alone.
func measureIdleCores() float64 {
	cpuBefore, start := cpuMilliseconds(), time.Now()
	time.Sleep(idleTime)
	return (cpuMilliseconds() - cpuBefore) / float64(time.Since(start).Milliseconds())
}

// measure measures ring point adjustments for a time, after adjustmentLead, and completes the result.
func (r *scaleRun) measure(ctx context.Context, duration time.Duration, result *ScaleResult) error {
	time.Sleep(adjustmentLead)
	r.mu.Lock()
	r.recording = true
	snapshotsBefore := len(r.builtAt)
	r.mu.Unlock()
	counters := r.controlPlane.server.Counters()
	bytesBefore, cpuBefore := counters.ResponseBytes.Load(), cpuMilliseconds()
	select {
	case <-time.After(duration):
	case <-ctx.Done():
		return ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	result.SnapshotsApplied = r.applied
	result.Snapshots = len(r.builtAt) - snapshotsBefore
	if result.Snapshots > 0 {
		snapshots := float64(result.Snapshots)
		result.BytesPerStreamSnapshot = float64(counters.ResponseBytes.Load()-bytesBefore) / snapshots / float64(result.Streams)
		leaseCPUMs := result.LeaseCores * float64(duration.Milliseconds())
		result.CPUMsPerSnapshot = (cpuMilliseconds() - cpuBefore - leaseCPUMs) / snapshots
	}
	result.P50Ms, result.P99Ms = r.latencyQuantileMs(50), r.latencyQuantileMs(99)
	return nil
}

// latencyQuantileMs returns a percentile of the latencies in milliseconds; the mutex is held.
func (r *scaleRun) latencyQuantileMs(percentile float64) float64 {
	return float64(r.latencies.ValueAtQuantile(percentile)) / 1000
}

// overloadServers reports load of three servers at a time, each time of the next ones, so that a ring point is adjusted in each
// adjustment period. It returns when the context ends.
func (c *controlPlane) overloadServers(ctx context.Context, endpoints int) {
	for i := 0; ctx.Err() == nil; i++ {
		utilization := 0.5 + 0.4*math.Sin(float64(i))
		for _, proxy := range []string{"x", "y"} {
			reports := map[string]loadreport.Report{}
			for _, number := range []int{i % endpoints, (i + 1) % endpoints, (i * 7) % endpoints} {
				reports[fakediscovery.EndpointAddr(number)] = loadreport.Report{Utilization: utilization, QueueLength: 1, HitRate: 0.5, Responses: 1}
			}
			c.controller.AddLoadReports(proxy, reports)
		}
		time.Sleep(reportInterval)
	}
}
