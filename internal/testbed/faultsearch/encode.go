package faultsearch

import (
	"bytes"
	"fmt"

	"github.com/pelletier/go-toml/v2"

	"mintspring/internal/testbed/experiment"
)

// normalize encodes an experiment and parses it again, which fills in defaults and validates it.
func normalize(x *experiment.Experiment) (*experiment.Experiment, error) {
	text, err := EncodeTOML(x)
	if err != nil {
		return nil, err
	}
	return experiment.Parse(x.Name+".toml", text)
}

// EncodeTOML returns the text of an experiment's file. It omits fields with a zero value, so that parsing the file sets their defaults.
func EncodeTOML(x *experiment.Experiment) (string, error) {
	fields, err := toMap(x)
	if err != nil {
		return "", fmt.Errorf("encoding experiment %s: %w", x.Name, err)
	}
	removeZeroFields(fields)
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(fields); err != nil {
		return "", fmt.Errorf("encoding experiment %s: %w", x.Name, err)
	}
	return text.String(), nil
}

// toMap converts an experiment to nested TOML tables.
func toMap(x *experiment.Experiment) (map[string]any, error) {
	text, err := toml.Marshal(x)
	if err != nil {
		return nil, err
	}
	fields := map[string]any{}
	return fields, toml.Unmarshal(text, &fields)
}

// nodeField is the field that holds a node's number. It is kept when it is 0, which is the first node.
const nodeField = "node"

// removeZeroFields removes fields with a zero value from a table and from the tables nested in it.
func removeZeroFields(table map[string]any) {
	for name, value := range table {
		isFirstNode := name == nodeField && value == int64(0)
		if isZero(value) && !isFirstNode {
			delete(table, name)
		}
	}
}

// isZero reports whether a value is zero or empty. It first removes zero fields from tables and from tables in arrays.
func isZero(value any) bool {
	switch value := value.(type) {
	case map[string]any:
		removeZeroFields(value)
		return len(value) == 0
	case []any:
		for _, element := range value {
			if table, ok := element.(map[string]any); ok {
				removeZeroFields(table)
			}
		}
		return len(value) == 0
	}
	return value == nil || value == "" || value == "0s" || value == int64(0) || value == 0.0 || value == false
}
