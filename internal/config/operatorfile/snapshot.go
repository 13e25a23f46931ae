package operatorfile

import (
	"time"

	"mintspring/internal/config/tomlfile"
)

// Snapshot configures the snapshots that keep what the node has learned across restarts. docs/operators/snapshot.md describes
// each field.
type Snapshot struct {
	DataDir  string            `toml:"data_dir"` // environment variables are expanded
	Interval tomlfile.Duration `toml:"interval"`
	HalfLife tomlfile.Duration `toml:"half_life"`
	MaxAge   tomlfile.Duration `toml:"max_age"`
}

// Defaults of the section.
const (
	defaultSnapshotInterval = 30 * time.Second
	defaultSnapshotHalfLife = 10 * time.Minute
	defaultSnapshotMaxAge   = 24 * time.Hour

	minSnapshotInterval = time.Second
)

// DefaultSnapshot returns the section with all defaults and no directory.
func DefaultSnapshot() *Snapshot {
	s := &Snapshot{}
	s.applyDefaults()
	return s
}

func (s *Snapshot) applyDefaults() {
	for _, f := range []struct {
		value *tomlfile.Duration
		def   time.Duration
	}{
		{&s.Interval, defaultSnapshotInterval},
		{&s.HalfLife, defaultSnapshotHalfLife},
		{&s.MaxAge, defaultSnapshotMaxAge},
	} {
		if *f.value == 0 {
			*f.value = tomlfile.Duration(f.def)
		}
	}
}

// Check validates the section, if it is present, and fills in the defaults.
func (s *Snapshot) Check(source *tomlfile.File) error {
	if s == nil {
		return nil
	}
	if s.DataDir == "" {
		return source.FieldErrorf("snapshot.data_dir", "missing")
	}
	s.applyDefaults()
	if s.Interval.Duration() < minSnapshotInterval {
		return source.FieldErrorf("snapshot.interval", "%v is below %v", s.Interval.Duration(), minSnapshotInterval)
	}
	return nil
}
