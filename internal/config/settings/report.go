package settings

import "mintspring/internal/fleet"

// ReportField returns the field of a load report for the name of a value, nil for an unknown name. Reports use the names that
// the settings list; the examples of the protocol's page write some of them differently, so both are known.
func ReportField(r *fleet.LoadReport, name []byte) *float64 {
	switch string(name) {
	case "cpu", "util":
		return &r.Util
	case "waiting", "queue":
		return &r.Queue
	case "active", "inflight":
		return &r.Inflight
	case "avg_ms", "latency_ms":
		return &r.Latency
	case "rps", "qps":
		return &r.Rate
	case "err_rps", "eps":
		return &r.Errors
	case "x0":
		return &r.HitRatio
	case "x1":
		return &r.X1
	}
	return nil
}
