// Package commandalias accepts deprecated names on a command line: it replaces renamed commands, subcommands, flags and flag values by
// their current names, and prints a warning for each.
package commandalias

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Renames maps old names to present ones.
type Renames map[string]string

// Table lists the renamed commands, subcommands, flags and flag values. The outer keys are current names; flags include their dashes.
type Table struct {
	Commands    Renames
	Subcommands map[string]Renames            // by command
	Flags       map[string]Renames            // by command
	Values      map[string]map[string]Renames // values of flags, which may be comma-separated lists, by command and flag
}

// Replacement is a deprecated name on a command line, and its current name.
type Replacement struct{ Old, New string }

// Resolve returns the arguments of a program with deprecated names replaced, and the replacements. The first argument is the command and
// the second one may be its subcommand. Arguments after "--" are not replaced.
func (t *Table) Resolve(args []string) (resolved []string, replaced []Replacement) {
	if len(args) == 0 {
		return args, nil
	}
	r := resolver{args: slices.Clone(args)}
	r.replace(0, t.Commands)
	command := r.args[0]
	if len(args) > 1 {
		r.replace(1, t.Subcommands[command])
	}
	for i := 1; i < len(r.args) && r.args[i] != "--"; i++ {
		flag := r.replaceFlag(i, t.Flags[command])
		r.replaceValue(i, t.Values[command][flag])
	}
	return r.args, r.replaced
}

// ResolveWithWarnings resolves arguments like Resolve and writes a line for each replacement.
func (t *Table) ResolveWithWarnings(program string, args []string, warnings io.Writer) []string {
	resolved, replaced := t.Resolve(args)
	for _, r := range replaced {
		_, _ = fmt.Fprintf(warnings, "%s: %q is deprecated, use %q\n", program, r.Old, r.New) // the command goes on without its warning
	}
	return resolved
}

// resolver replaces names in arguments.
type resolver struct {
	args     []string
	replaced []Replacement
}

// replace replaces argument i if it is a deprecated name.
func (r *resolver) replace(i int, renames Renames) {
	if name, ok := renames[r.args[i]]; ok {
		r.replaced = append(r.replaced, Replacement{Old: r.args[i], New: name})
		r.args[i] = name
	}
}

// replaceFlag replaces the flag of argument i, which may be followed by "=" and a value, and returns its current name.
func (r *resolver) replaceFlag(i int, renames Renames) string {
	flag, value, hasValue := strings.Cut(r.args[i], "=")
	name, ok := renames[flag]
	if !ok {
		return flag
	}
	r.replaced = append(r.replaced, Replacement{Old: flag, New: name})
	r.args[i] = name
	if hasValue {
		r.args[i] += "=" + value
	}
	return name
}

// replaceValue replaces deprecated values of the flag of argument i. The value follows "=" or is the next argument.
func (r *resolver) replaceValue(i int, renames Renames) {
	flag, value, hasValue := strings.Cut(r.args[i], "=")
	switch {
	case len(renames) == 0:
	case hasValue:
		r.args[i] = flag + "=" + r.replaceList(value, renames)
	case i+1 < len(r.args):
		r.args[i+1] = r.replaceList(r.args[i+1], renames)
	}
}

// replaceList replaces the deprecated names in a comma-separated list.
func (r *resolver) replaceList(list string, renames Renames) string {
	elements := strings.Split(list, ",")
	for i, old := range elements {
		if name, ok := renames[old]; ok {
			r.replaced = append(r.replaced, Replacement{Old: old, New: name})
			elements[i] = name
		}
	}
	return strings.Join(elements, ",")
}
