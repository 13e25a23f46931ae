// Package operatorfile reads the operator's file, which enables subsystems beyond the platform's configuration.
//
// Each subsystem has a section. A subsystem without a section is disabled, and without a file all of them are.
// docs/operators/file.md lists every field with its unit and default, and deploy/operator.toml contains all fields as comments.
// The old names of renamed sections and fields are still accepted (see aliases).
package operatorfile

import (
	"reflect"

	"github.com/sirupsen/logrus"

	"mintspring/internal/config/tomlfile"
)

// File holds the sections of the operator's file. A section that is nil is disabled.
type File struct {
	Log         *Log         `toml:"log"`
	Connections *Connections `toml:"connections"`
	Snapshot    *Snapshot    `toml:"snapshot"`
	Fleet       *Fleet       `toml:"fleet"`
	Consensus   *Consensus   `toml:"consensus"`
	Idempotency *Idempotency `toml:"idempotency"`

	// Deprecated lists the old names that the file uses, for WarnDeprecated.
	Deprecated []tomlfile.Deprecation `toml:"-"`
}

// Read reads and validates a file, and fills in the defaults. If the name is empty, it returns a File without sections.
func Read(name string) (*File, error) {
	f := &File{}
	if name == "" {
		return f, nil
	}
	source, err := tomlfile.Read(name, f, aliases...)
	if err != nil {
		return nil, err
	}
	f.Deprecated = source.Deprecated
	return f, f.validate(source)
}

// validate checks all sections; a nil section is valid.
func (f *File) validate(source *tomlfile.File) error {
	for _, check := range []func(*tomlfile.File) error{
		f.Log.Check, f.Connections.check, f.Fleet.check, f.Consensus.check, f.Idempotency.check, f.Snapshot.Check,
	} {
		if err := check(source); err != nil {
			return err
		}
	}
	return nil
}

// WarnDeprecated logs a warning for each old name that a file uses.
func WarnDeprecated(log logrus.FieldLogger, deprecated []tomlfile.Deprecation) {
	for _, d := range deprecated {
		log.WithFields(logrus.Fields{"old": d.Old, "new": d.New, "line": d.Line}).Warn("deprecated name in the operator's file")
	}
}

// section is a section of the file with its name.
type section struct {
	name    string
	value   any
	enabled bool
}

// sections returns all sections in the order of File.
func (f *File) sections() []section {
	return []section{
		{"log", f.Log, f.Log != nil},
		{"connections", f.Connections, f.Connections != nil},
		{"snapshot", f.Snapshot, f.Snapshot != nil},
		{"fleet", f.Fleet, f.Fleet != nil},
		{"consensus", f.Consensus, f.Consensus != nil},
		{"idempotency", f.Idempotency, f.Idempotency != nil},
	}
}

// EnabledSections returns the names of the sections that are present.
func (f *File) EnabledSections() []string {
	var names []string
	for _, s := range f.sections() {
		if s.enabled {
			names = append(names, s.name)
		}
	}
	return names
}

// RestartRequired returns the names of the sections that differ in another file and take effect only after a restart, which
// are all sections except log.
func (f *File) RestartRequired(other *File) []string {
	var names []string
	others := other.sections()
	for i, s := range f.sections() {
		if s.name != "log" && !reflect.DeepEqual(s.value, others[i].value) {
			names = append(names, s.name)
		}
	}
	return names
}
