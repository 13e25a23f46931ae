package simwire

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"math"
	"strconv"

	"mintspring/internal/config/settings"
	"mintspring/internal/fleet"
)

// message is a line of the protocol: a name, and name=value fields in any order. Methods that read fields return a zero value for a field
// that is missing or malformed, and record the first error. Values are not copied: they are slices of the line.
type message struct {
	name   []byte
	fields []byte
	err    error // first error
}

var (
	fieldSeparator = []byte(" ")
	// envPrefix is the start of the field Env, whose value extends to the end of the line.
	envPrefix = []byte("Env=")
)

// maxFloat is the largest absolute value that is accepted.
const maxFloat = 1e300

// parse splits a line into its name and its fields, and checks that every field has a name.
func (m *message) parse(line []byte) {
	m.err = nil
	m.name, m.fields, _ = bytes.Cut(line, fieldSeparator)
	for rest := m.fields; len(rest) > 0; {
		if bytes.HasPrefix(rest, envPrefix) {
			return
		}
		var part []byte
		part, rest, _ = bytes.Cut(rest, fieldSeparator)
		if bytes.IndexByte(part, '=') <= 0 {
			m.err = fmt.Errorf("part %q is not name=value", part)
			return
		}
	}
}

// field returns the value of a field and whether the message has the field.
func (m *message) field(name string) (value []byte, found bool) {
	for rest := m.fields; len(rest) > 0; {
		if bytes.HasPrefix(rest, envPrefix) {
			if name == "Env" {
				return rest[len(envPrefix):], true
			}
			return nil, false
		}
		var part []byte
		part, rest, _ = bytes.Cut(rest, fieldSeparator)
		if len(part) > len(name) && part[len(name)] == '=' && string(part[:len(name)]) == name {
			return part[len(name)+1:], true
		}
	}
	return nil, false
}

// setError records a malformed value, unless there has been an error before.
func (m *message) setError(name string, value []byte) {
	if m.err == nil {
		m.err = fmt.Errorf("bad value %q for %s", value, name)
	}
}

// integer returns the value of an integer field, or 0 if the field is missing.
func (m *message) integer(name string) int64 {
	value, found := m.field(name)
	if !found {
		return 0
	}
	digits := value
	negative := len(value) > 1 && value[0] == '-'
	if negative {
		digits = value[1:]
	}
	x, ok := parseDigits(digits)
	if !ok {
		m.setError(name, value)
		return 0
	}
	if negative {
		return -x
	}
	return x
}

// parseDigits parses a decimal number without a sign. Unlike package strconv on a byte slice, it does not allocate.
func parseDigits(digits []byte) (x int64, ok bool) {
	const maxDigits = 19
	if len(digits) == 0 || len(digits) > maxDigits {
		return 0, false
	}
	for _, c := range digits {
		if c < '0' || c > '9' || x > (math.MaxInt64-int64(c-'0'))/10 {
			return 0, false
		}
		x = x*10 + int64(c-'0')
	}
	return x, true
}

// requiredInteger returns the value of an integer field. A missing field is an error.
func (m *message) requiredInteger(name string) int64 {
	if _, found := m.field(name); !found && m.err == nil {
		m.err = fmt.Errorf("%s is missing", name)
	}
	return m.integer(name)
}

// milliseconds returns the value of a time field, which is in microseconds on the wire.
func (m *message) milliseconds(name string) float64 { return float64(m.integer(name)) / microsPerMs }

// float returns the value of a number field, or 0 if the field is missing.
func (m *message) float(name string) float64 {
	value, found := m.field(name)
	if !found {
		return 0
	}
	return m.parseFloat(name, value)
}

// parseFloat parses a number that is all or part of a field's value.
func (m *message) parseFloat(name string, value []byte) float64 {
	x, err := strconv.ParseFloat(string(value), 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) > maxFloat {
		m.setError(name, value)
		return 0
	}
	return x
}

// boolean returns the value of a field that is 0 or 1, or false if the field is missing.
func (m *message) boolean(name string) bool {
	value, found := m.field(name)
	switch {
	case !found || string(value) == "0":
		return false
	case string(value) == "1":
		return true
	}
	m.setError(name, value)
	return false
}

// ringKey returns the value of a key field of up to 16 hexadecimal digits, and whether the message has the field.
func (m *message) ringKey(name string) (key fleet.Key, found bool) {
	const maxDigits = 16
	value, found := m.field(name)
	if !found {
		return 0, false
	}
	if len(value) == 0 || len(value) > maxDigits {
		m.setError(name, value)
		return 0, false
	}
	for _, c := range value {
		digit, ok := hexDigit(c)
		if !ok {
			m.setError(name, value)
			return 0, false
		}
		key = key<<4 | fleet.Key(digit)
	}
	return key, true
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(c byte) (digit byte, ok bool) {
	switch {
	case c >= '0' && c <= '9':
		return c - '0', true
	case c >= 'a' && c <= 'f':
		return c - 'a' + 10, true
	case c >= 'A' && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}

// base64 returns the decoded value of a base64 field, or nil if the field is missing or "-".
func (m *message) base64(name string) []byte {
	value, found := m.field(name)
	if !found || string(value) == "-" {
		return nil
	}
	decoded := make([]byte, base64.StdEncoding.DecodedLen(len(value)))
	n, err := base64.StdEncoding.Decode(decoded, value)
	if err != nil {
		m.setError(name, value)
	}
	return decoded[:n]
}

// loadReport returns the load report of a message. Unknown names of figures are skipped.
func (m *message) loadReport() fleet.LoadReport {
	const field = "Usage"
	report := fleet.NewLoadReport()
	rest, found := m.field(field)
	for found && len(rest) > 0 {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte(","))
		name, value, ok := bytes.Cut(pair, []byte(":"))
		if !ok {
			m.setError(field, pair)
			return report
		}
		if figure := settings.ReportField(&report, name); figure != nil {
			*figure, report.Present = m.parseFloat(field, value), true
		}
	}
	return report
}

// result returns the result of an attempt or a health check.
func (m *message) result() fleet.Result {
	const field = "Result"
	value, _ := m.field(field)
	switch string(value) {
	case "ok":
		return fleet.Completed
	case "error":
		return fleet.Failed
	case "full":
		return fleet.Declined
	case "timeout":
		return fleet.TimedOut
	case "connect_failed":
		return fleet.ConnectFailed
	case "reset":
		return fleet.Reset
	case "cancelled":
		return fleet.Cancelled
	case "moot":
		return fleet.NotSent
	case "miss":
		return fleet.Missed
	}
	m.setError(field, value)
	return fleet.Failed
}
