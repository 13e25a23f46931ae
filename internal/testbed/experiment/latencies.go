package experiment

import "github.com/HdrHistogram/hdrhistogram-go"

// Latencies are recorded in microseconds, up to ten minutes.
const (
	microsPerMs      = 1000
	maxLatencyMicros = 600_000_000
	latencyDigits    = 3
)

// Latencies is a histogram of latencies.
type Latencies struct {
	histogram *hdrhistogram.Histogram
}

// NewLatencies returns an empty histogram.
func NewLatencies() *Latencies {
	return &Latencies{hdrhistogram.New(1, maxLatencyMicros, latencyDigits)}
}

// Record records a latency in ms.
func (l *Latencies) Record(ms float64) {
	_ = l.histogram.RecordValue(int64(max(1, microsPerMs*ms))) // a latency out of range occurs only in runs that are invalid anyway
}

// Merge adds the latencies of another histogram.
func (l *Latencies) Merge(other *Latencies) { l.histogram.Merge(other.histogram) }

// Quantile returns a quantile in ms.
func (l *Latencies) Quantile(percent float64) float64 {
	return float64(l.histogram.ValueAtQuantile(percent)) / microsPerMs
}
