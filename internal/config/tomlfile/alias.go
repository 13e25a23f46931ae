package tomlfile

import (
	"slices"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Alias is an old name of a key or table that is still accepted.
type Alias struct {
	Table string // path of the table that contains the key, in new names; empty: the top level
	Old   string
	New   string
}

// Deprecation is an old name that a file uses.
type Deprecation struct {
	Line int    // of its first use
	Old  string // path of the field or table as written in the file
	New  string // its path in new names
}

// resolveAliases replaces old names with new ones, and returns the new text and the old names found. Line numbers do not change.
// The text after a syntax error is not changed; the decoder reports the error.
func resolveAliases(text []byte, aliases []Alias) ([]byte, []Deprecation) {
	if len(aliases) == 0 {
		return text, nil
	}
	r := aliasResolver{aliases: map[string]string{}, seen: map[string]bool{}}
	for _, a := range aliases {
		r.aliases[joinPath(a.Table, a.Old)] = a.New
	}
	r.parser.Reset(text)
	var table resolvedPath
	for r.parser.NextExpression() {
		e := r.parser.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = r.resolveKey(e, resolvedPath{})
		case unstable.KeyValue:
			r.resolveKeyValue(e, table)
		}
	}
	return r.apply(text), r.deprecated
}

// aliasResolver collects the old names in a file and the edits that replace them.
type aliasResolver struct {
	parser     unstable.Parser
	aliases    map[string]string // new name by the path of the old one
	seen       map[string]bool   // paths of the old names found so far
	deprecated []Deprecation
	edits      []edit
}

// edit replaces the bytes of a key with its new name.
type edit struct {
	start, end int
	name       string
}

// resolvedPath is a path as written in the file (old) and in new names (new).
type resolvedPath struct{ old, new string }

// resolveKeyValue resolves the key of an assignment and, if its value is an inline table, the keys in that table.
func (r *aliasResolver) resolveKeyValue(e *unstable.Node, table resolvedPath) {
	names := r.resolveKey(e, table)
	value := e.Value()
	if value.Kind != unstable.InlineTable {
		return
	}
	for it := value.Children(); it.Next(); {
		r.resolveKeyValue(it.Node(), names)
	}
}

// resolveKey resolves each part of a key in the given table, and returns the path of the key.
func (r *aliasResolver) resolveKey(e *unstable.Node, table resolvedPath) resolvedPath {
	names := table
	for it := e.Key(); it.Next(); {
		key := it.Node()
		part := string(key.Data)
		path := joinPath(names.new, part)
		names.old = joinPath(names.old, part)
		name, isOld := r.aliases[path]
		if !isOld {
			names.new = path
			continue
		}
		names.new = joinPath(names.new, name)
		shape := r.parser.Shape(key.Raw)
		r.edits = append(r.edits, edit{start: shape.Start.Offset, end: shape.End.Offset, name: name})
		if !r.seen[path] {
			r.seen[path] = true
			r.deprecated = append(r.deprecated, Deprecation{Line: shape.Start.Line, Old: names.old, New: names.new})
		}
	}
	return names
}

// apply returns a copy of the text with all edits made.
func (r *aliasResolver) apply(text []byte) []byte {
	text = slices.Clone(text)
	for _, e := range slices.Backward(r.edits) {
		text = slices.Replace(text, e.start, e.end, []byte(e.name)...)
	}
	return text
}
