package tomlfile

import (
	"errors"
	"time"
)

// Duration is a non-negative duration that a file states with its unit, such as "250ms".
type Duration time.Duration

var errNegative = errors.New("duration is below 0")

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	parsed, err := time.ParseDuration(string(b))
	if err == nil && parsed < 0 {
		err = errNegative
	}
	*d = Duration(parsed)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Milliseconds returns the duration in ms.
func (d Duration) Milliseconds() float64 { return float64(d) / float64(time.Millisecond) }

// Duration returns the duration as a time.Duration.
func (d Duration) Duration() time.Duration { return time.Duration(d) }

// Round returns the duration rounded to the nearest multiple of unit.
func (d Duration) Round(unit time.Duration) Duration {
	return Duration(d.Duration().Round(unit))
}
