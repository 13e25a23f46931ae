package settings

import (
	"reflect"
	"testing"

	"mintspring/internal/fleet"
)

func TestParse(t *testing.T) {
	d, err := Parse([]byte(`{"Workloads":[{"Name":"read","Effect":"pure","SloTime":300000,"StatementTimeout":900500},
		{"Name":"put","Effect":"token","DedupScope":"zone","MemorySpan":5000000},{"Name":"odd","Effect":"later"}],
		"Tenants":[{"Name":"a"},{"Name":"b"}],"Kinds":["box","origin"],"FailureDomains":["x"],
		"FamilyInfo":{"Mode":"through","OriginKind":1},"PolicyLimits":{"ConnIdle":60000000,"OpenCap":7},"New":{"x":[1]}}`), 9)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(d.RequestClasses, []string{"read", "put", "odd"}) || !reflect.DeepEqual(d.Tenants, []string{"a", "b"}) ||
		len(d.Kinds) != 2 || d.ConnIdleTimeout != 60000 || d.MaxInFlight != 7 || d.Limits.Seed != 9 {
		t.Errorf("read as %+v", d)
	}
	w := d.Limits.Classes
	if w[0].LatencyObjective != 300 || w[0].ClientTimeout != 900.5 || w[1].DedupScope != fleet.DedupZone || w[1].DedupWindow != 5000 {
		t.Errorf("request classes %+v", w)
	}
	// Unknown effects and scopes are taken for the strictest, and servers that fetch for themselves have no origin beside them.
	if w[2].Effect != fleet.NonIdempotent || w[2].DedupScope != fleet.DedupCell || d.Limits.OriginKind != -1 {
		t.Errorf("read as %+v", d.Limits)
	}
	if _, err := Parse([]byte(`{"Workloads":7}`), 1); err == nil {
		t.Error("a number was read as request classes")
	}
}

// TestReportField: each name of a value, as in the settings and as on the page of the protocol, has a field.
func TestReportField(t *testing.T) {
	var r fleet.LoadReport
	names := map[*float64]int{}
	for _, name := range []string{
		"cpu", "util", "waiting", "queue", "active", "inflight", "avg_ms", "latency_ms", "rps", "qps", "err_rps", "eps", "x0", "x1",
	} {
		names[ReportField(&r, []byte(name))]++
	}
	if len(names) != 8 || names[nil] != 0 || ReportField(&r, []byte("cpus")) != nil {
		t.Errorf("names by field: %v", names)
	}
}
