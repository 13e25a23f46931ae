// Package tomlfile reads TOML files that people write. Its errors are one line with the file, the line and the field. Keys that
// have been renamed are still accepted under their old names.
package tomlfile

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// File describes a file that was read.
type File struct {
	Name       string
	Deprecated []Deprecation // old names in the file, each once, in the order of their first use

	lines map[string]int // line number of each field, such as "at[2].box"
}

// Read decodes a file into target. A field that target lacks is an error. Old names, which aliases lists, are read as their new
// names and reported in Deprecated of the result.
func Read(name string, target any, aliases ...Alias) (*File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", name, err)
	}
	return Parse(name, text, target, aliases...)
}

// Parse is like Read, but takes the contents of the file.
func Parse(name string, text []byte, target any, aliases ...Alias) (*File, error) {
	text, deprecated := resolveAliases(text, aliases)
	f := &File{Name: name, Deprecated: deprecated, lines: fieldLines(text)}
	if err := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().Decode(target); err != nil {
		return nil, decodeError(name, err)
	}
	return f, nil
}

// decodeError converts an error of the decoder to one line with the file, the line and the field.
func decodeError(name string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		line, _ := unknown.Errors[0].Position()
		return fmt.Errorf("%s:%d: %s: no such field", name, line, strings.Join(unknown.Errors[0].Key(), "."))
	}
	text := strings.TrimPrefix(strings.ReplaceAll(err.Error(), "\n", " "), "toml: ")
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		line, _ := malformed.Position()
		if key := strings.Join(malformed.Key(), "."); key != "" {
			text = key + ": " + text
		}
		return fmt.Errorf("%s:%d: %s", name, line, text)
	}
	return fmt.Errorf("%s: %s", name, text)
}

// FieldErrorf returns an error about a field that was decoded, such as "at[2].box", but has an invalid value or is missing. The
// error contains the line of the field; if the field is not in the file, that of the innermost table around it that is.
func (f *File) FieldErrorf(field, format string, args ...any) error {
	text := fmt.Sprintf(format, args...)
	for path := field; path != ""; {
		if line, known := f.lines[path]; known {
			return fmt.Errorf("%s:%d: %s: %s", f.Name, line, field, text)
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return fmt.Errorf("%s: %s: %s", f.Name, field, text)
}
