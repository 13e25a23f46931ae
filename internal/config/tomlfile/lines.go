package tomlfile

import (
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

// fieldLines returns the line number of each field and table by its path. The result omits everything after a syntax
// error; the decoder reports the error.
func fieldLines(text []byte) map[string]int {
	lines := map[string]int{}
	arrayLengths := map[string]int{} // elements of each array table so far
	table := ""
	var p unstable.Parser
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		path, line := keyPath(&p, e, arrayLengths)
		switch e.Kind {
		case unstable.ArrayTable:
			n := arrayLengths[path]
			arrayLengths[path]++
			table = path + "[" + strconv.Itoa(n) + "]"
			lines[table] = line
		case unstable.Table:
			table = path
			lines[table] = line
		case unstable.KeyValue:
			lines[joinPath(table, path)] = line
		}
	}
	return lines
}

// keyPath returns the path of an expression's key, which includes the current index of each array table on the path, and the
// key's line.
func keyPath(p *unstable.Parser, e *unstable.Node, arrayLengths map[string]int) (path string, line int) {
	isTable := e.Kind == unstable.ArrayTable || e.Kind == unstable.Table
	for it := e.Key(); it.Next(); {
		key := it.Node()
		if line == 0 {
			line = p.Shape(key.Raw).Start.Line
		}
		path = joinPath(path, string(key.Data))
		opensElement := e.Kind == unstable.ArrayTable && it.IsLast()
		if n := arrayLengths[path]; isTable && n > 0 && !opensElement {
			path += "[" + strconv.Itoa(n-1) + "]"
		}
	}
	return path, line
}

func joinPath(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}
