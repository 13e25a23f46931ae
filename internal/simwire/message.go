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

// message is one line of the wire: a name and name=value fields in any order. Its methods read fields; they keep the first error
// and return a zero value for a field that is missing or bad. Nothing is copied: the values are parts of the line.
type message struct {
	name   []byte
	fields []byte
	err    error // the first bad value met
}

var (
	fieldSeparator = []byte(" ")
	// envPrefix begins a field whose value runs to the end of the line.
	envPrefix = []byte("Env=")
)

// maxFloat is the greatest size of a number that is read.
const maxFloat = 1e300

// parse splits off the name of a message and checks that every field has a name.
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

// field returns the value of a field, and whether there is one.
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

// setError notes a bad value, unless there was one before.
func (m *message) setError(name string, value []byte) {
	if m.err == nil {
		m.err = fmt.Errorf("bad value %q for %s", value, name)
	}
}

// integer reads an integer; 0 for none.
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

// parseDigits reads a decimal number without a sign. It allocates nothing, unlike package strconv on a slice of bytes.
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

// requiredInteger reads an integer that has to be there.
func (m *message) requiredInteger(name string) int64 {
	if _, found := m.field(name); !found && m.err == nil {
		m.err = fmt.Errorf("%s is missing", name)
	}
	return m.integer(name)
}

// milliseconds reads a time, which the wire has in microseconds.
func (m *message) milliseconds(name string) float64 { return float64(m.integer(name)) / microsPerMs }

// float reads a number; 0 for none.
func (m *message) float(name string) float64 {
	value, found := m.field(name)
	if !found {
		return 0
	}
	return m.parseFloat(name, value)
}

// parseFloat reads a number that is part of a field.
func (m *message) parseFloat(name string, value []byte) float64 {
	x, err := strconv.ParseFloat(string(value), 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) > maxFloat {
		m.setError(name, value)
		return 0
	}
	return x
}

// boolean reads 0 or 1; false for none.
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

// ringKey reads a key of up to 16 hexadecimal digits, and whether there is one.
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

// base64 reads bytes in base64; nil for none, which is also written as "-".
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

// loadReport reads a load report; names that are not known are skipped.
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
		if at := settings.ReportField(&report, name); at != nil {
			*at, report.Present = m.parseFloat(field, value), true
		}
	}
	return report
}

// result reads how an attempt or a health check ended.
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
