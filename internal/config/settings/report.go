package settings

import "mintspring/internal/fleet"

// ReportField returns the field of a load report that holds the value with this name, nil for an unknown name. Load reports
// use the names in the platform's settings. The examples on the protocol's page use other names for some values, so both are
// accepted.
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
