package platform

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// optionalKeys are the keys that the specification of the configuration allows to be absent: the lists of known servers and
// of peers, optional keys of a request class, and keys that only some objectives have.
var optionalKeys = map[string]bool{"known": true, "peers": true, "AimStretch": true, "Availability": true, "NinesWanted": true}

// MissingKeyError names a key that the active configuration has and another configuration lacks or has as null.
type MissingKeyError struct{ Path string }

// Error returns the path of the key and the reason.
func (e *MissingKeyError) Error() string {
	return e.Path + ": missing, but the active configuration has it"
}

// CheckComplete returns a *MissingKeyError if other lacks a key that c, the active configuration, has. A
// truncated or partially written file may still parse; its missing keys reveal it. Only the active configuration says which
// keys a deployment's file has to have.
func (c *Config) CheckComplete(other *Config) error {
	if c.SameFile(other) {
		return nil
	}
	active, err := c.checkedKeys()
	if err != nil {
		return nil // cannot happen: Load has parsed both
	}
	reloaded, err := other.checkedKeys()
	if err != nil {
		return nil
	}
	if path := missingPath(active, reloaded, ""); path != "" {
		return &MissingKeyError{Path: path[1:]} // without the leading dot
	}
	return nil
}

// checkedKeys parses the file once without its optional keys: the list of known servers is by far the largest part of it.
func (c *Config) checkedKeys() (map[string]any, error) {
	if c.keys != nil {
		return c.keys, nil
	}
	var texts map[string]json.RawMessage
	if err := json.Unmarshal(c.raw, &texts); err != nil {
		return nil, err
	}
	parsed := make(map[string]any, len(texts))
	for key, text := range texts {
		if optionalKeys[key] {
			continue
		}
		var value any
		if err := json.Unmarshal(text, &value); err != nil {
			return nil, err
		}
		parsed[key] = value
	}
	c.keys = parsed
	return parsed, nil
}

// missingPath returns the path of the first value in active that reloaded lacks, or an empty string.
func missingPath(active, reloaded any, path string) string {
	switch a := active.(type) {
	case map[string]any:
		r, ok := reloaded.(map[string]any)
		if !ok {
			return path
		}
		return missingKey(a, r, path)
	case []any:
		r, ok := reloaded.([]any)
		if !ok {
			return path
		}
		return missingInElements(a, r, path)
	}
	return ""
}

func missingKey(active, reloaded map[string]any, path string) string {
	for _, key := range slices.Sorted(maps.Keys(active)) {
		if optionalKeys[key] || active[key] == nil {
			continue
		}
		if reloaded[key] == nil {
			return path + "." + key
		}
		if missing := missingPath(active[key], reloaded[key], path+"."+key); missing != "" {
			return missing
		}
	}
	return ""
}

// missingInElements compares arrays. Elements may be added and removed, but each reloaded element has to have the keys that all
// active elements have.
func missingInElements(active, reloaded []any, path string) string {
	requiredKeys := commonKeys(active)
	if requiredKeys == nil {
		return ""
	}
	for i := range reloaded {
		if missing := missingPath(requiredKeys, reloaded[i], fmt.Sprintf("%s[%d]", path, i)); missing != "" {
			return missing
		}
	}
	return ""
}

// commonKeys returns the first element without the keys that any other element lacks, nil if an element is not an object.
func commonKeys(elements []any) map[string]any {
	var sharedKeys map[string]any
	for i, element := range elements {
		object, ok := element.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			sharedKeys = maps.Clone(object)
		}
		maps.DeleteFunc(sharedKeys, func(key string, _ any) bool { return object[key] == nil })
	}
	return sharedKeys
}
