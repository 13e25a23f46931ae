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
	classes := d.Limits.Classes
	if classes[0].LatencyObjective != 300 || classes[0].ClientTimeout != 900.5 || classes[1].DedupScope != fleet.DedupZone || classes[1].DedupWindow != 5000 {
		t.Errorf("request classes %+v", classes)
	}
	// An unknown effect or scope becomes the strictest one. There is no origin kind if servers fetch missing keys themselves.
	if classes[2].Effect != fleet.NonIdempotent || classes[2].DedupScope != fleet.DedupCell || d.Limits.OriginKind != -1 {
		t.Errorf("read as %+v", d.Limits)
	}
	if _, err := Parse([]byte(`{"Workloads":7}`), 1); err == nil {
		t.Error("a number was read as request classes")
	}
}

// TestReportField: each name of a value, from the settings and from the protocol's page, has a field.
func TestReportField(t *testing.T) {
	var r fleet.LoadReport
	namesPerField := map[*float64]int{}
	for _, name := range []string{
		"cpu", "util", "waiting", "queue", "active", "inflight", "avg_ms", "latency_ms", "rps", "qps", "err_rps", "eps", "x0", "x1",
	} {
		namesPerField[ReportField(&r, []byte(name))]++
	}
	if len(namesPerField) != 8 || namesPerField[nil] != 0 || ReportField(&r, []byte("cpus")) != nil {
		t.Errorf("names by field: %v", namesPerField)
	}
}
