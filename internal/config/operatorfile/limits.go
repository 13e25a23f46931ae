package operatorfile

import (
	"net"
	"net/netip"
	"strings"
	"time"

	"mintspring/internal/config/tomlfile"
)

// durationLimit holds the default and the bounds of a duration field.
type durationLimit struct {
	value         *tomlfile.Duration
	name          string
	def, min, max time.Duration
}

// applyDurations fills in the defaults of a section's durations and checks their bounds.
func applyDurations(source *tomlfile.File, section string, limits []durationLimit) error {
	for _, l := range limits {
		if *l.value == 0 {
			*l.value = tomlfile.Duration(l.def)
		}
		if d := l.value.Duration(); d < l.min || d > l.max {
			return source.FieldErrorf(section+"."+l.name, "%v is not between %v and %v", d, l.min, l.max)
		}
	}
	return nil
}

// countLimit holds the default and the bounds of a number field.
type countLimit struct {
	value         *int
	name          string
	def, min, max int
}

// applyCounts fills in the defaults of a section's numbers and checks their bounds.
func applyCounts(source *tomlfile.File, section string, limits []countLimit) error {
	for _, l := range limits {
		if *l.value == 0 {
			*l.value = l.def
		}
		if *l.value < l.min || *l.value > l.max {
			return source.FieldErrorf(section+"."+l.name, "%d is not between %d and %d", *l.value, l.min, l.max)
		}
	}
	return nil
}

// hasVariable reports whether an address contains an environment variable. Such an address is not validated, because only the
// machine that runs the node knows the variable's value.
func hasVariable(addr string) bool { return strings.Contains(addr, "$") }

// isAddrPort reports whether an address consists of an IP address and a port.
func isAddrPort(addr string) bool {
	_, err := netip.ParseAddrPort(addr)
	return err == nil
}

// isHostPort reports whether an address consists of a host, which may be empty, and a port.
func isHostPort(addr string) bool {
	_, _, err := net.SplitHostPort(addr)
	return err == nil
}
