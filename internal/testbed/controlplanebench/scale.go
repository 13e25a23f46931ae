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
	settleTime              = 2 * time.Second // wait after all streams have been opened
	idleTime                = 2 * time.Second // duration of the measurement without ring point adjustments
	adjustmentLead          = time.Second     // time of adjustments before the measurement
	reportInterval          = 20 * time.Millisecond

	maxLatency         = time.Minute // upper bound of the histogram, whose unit is microseconds
	histogramPrecision = 3           // significant figures
)

// StartProxies starts a process that calls RunProxies, and returns the process's output. The proxies run until the context ends.
type StartProxies func(ctx context.Context, addr string, count int, incremental bool) (io.Reader, error)

// ScaleResult is the cost of ring point adjustments in the control plane.
type ScaleResult struct {
	Endpoints              int
	Streams                int
	Incremental            bool
	Snapshots              int     // snapshots built during the measurement
	SnapshotsApplied       int64   // snapshots applied, by all proxies
	BytesPerStreamSnapshot float64 // bytes per snapshot and stream, before the framing on the wire
	CPUMsPerSnapshot       float64 // processor time per snapshot, for all streams, without the cost of leases
	LeaseCores             float64 // cores used by the leases of all streams
	KiBPerStream           float64 // memory per stream
	P50Ms, P99Ms           float64 // time from the build of a snapshot until a proxy applies it
}

// scaleRun is a measurement in progress.
type scaleRun struct {
	controlPlane *controlPlane

	mu        sync.Mutex           // guards the fields below
	builtAt   map[string]time.Time // by version
	recording bool                 // whether latencies are recorded
	latencies *hdrhistogram.Histogram
	applied   int64
}

// MeasureScale runs a control plane with a number of endpoints and one stream for each proxy, and measures it for the given duration
// while ring points are adjusted. The proxies use the incremental variant of the protocol or the state-of-the-world variant.
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
	snapshotChanged, stopWatching := c.controller.Watch()
	defer stopWatching()
	running.Go(func() { r.watchSnapshots(ctx, snapshotChanged) })
	memoryBefore := memoryInUseBytes()
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
		KiBPerStream: (memoryInUseBytes() - memoryBefore) / float64(streams) / 1024,
	}
	running.Go(func() { c.overloadServers(ctx, endpoints) })
	if err := r.measureAdjustments(ctx, duration, result); err != nil {
		return nil, err
	}
	return result, nil
}

// watchSnapshots records the time at which each snapshot is built, until the context ends.
func (r *scaleRun) watchSnapshots(ctx context.Context, snapshotChanged <-chan struct{}) {
	for {
		select {
		case <-snapshotChanged:
			now := time.Now()
			r.mu.Lock()
			r.builtAt[r.controlPlane.controller.Snapshot(0).Version.String()] = now
			r.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// readLatencies records the time from the build of each snapshot until each proxy applies it. It returns when the proxies have ended.
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
	_ = r.latencies.RecordValue(max(1, latency.Microseconds())) // fails only above maxLatency, which is longer than a measurement
}

// measureIdleCores returns the number of cores that the process uses for leases alone, without ring point adjustments.
func measureIdleCores() float64 {
	cpuBefore, start := cpuMilliseconds(), time.Now()
	time.Sleep(idleTime)
	return (cpuMilliseconds() - cpuBefore) / float64(time.Since(start).Milliseconds())
}

// measureAdjustments measures ring point adjustments for a duration, after adjustmentLead, and completes the result.
func (r *scaleRun) measureAdjustments(ctx context.Context, duration time.Duration, result *ScaleResult) error {
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
	result.P50Ms, result.P99Ms = r.latencyPercentileMs(50), r.latencyPercentileMs(99)
	return nil
}

// latencyPercentileMs returns a percentile of the latencies in milliseconds. The caller holds the mutex.
func (r *scaleRun) latencyPercentileMs(percentile float64) float64 {
	return float64(r.latencies.ValueAtQuantile(percentile)) / 1000
}

// overloadServers reports the load of three servers at a time and then moves on to the next ones, so that a ring point is adjusted in
// each adjustment period. It returns when the context ends.
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
