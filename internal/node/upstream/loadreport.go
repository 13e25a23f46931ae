package upstream

import (
	"bytes"
	"math"
	"strconv"

	"mintspring/internal/config/settings"
	"mintspring/internal/fleet"
)

// maxReportValue bounds the values of a load report; larger ones are ignored.
const maxReportValue = 1e12

// ParseReport parses a load report: name=value pairs separated by commas. It ignores pairs that are malformed or have an unknown
// name.
func ParseReport(b []byte) fleet.LoadReport {
	report := fleet.NewLoadReport()
	for len(b) > 0 {
		var pair []byte
		pair, b, _ = bytes.Cut(b, []byte(","))
		name, number, _ := bytes.Cut(pair, []byte("="))
		value, err := strconv.ParseFloat(string(bytes.TrimSpace(number)), 64)
		if err != nil || math.IsNaN(value) || value < 0 || value > maxReportValue {
			continue
		}
		if field := settings.ReportField(&report, bytes.TrimSpace(name)); field != nil {
			*field, report.Present = value, true
		}
	}
	return report
}
