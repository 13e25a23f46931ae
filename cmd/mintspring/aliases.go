package main

import "mintspring/internal/commandalias"

// aliases are the deprecated names of commands and flags that are still accepted.
var aliases = commandalias.Table{
	Commands: commandalias.Renames{
		"book":    "idempotency",
		"council": "consensus",
		"roll":    "rolling-restart",
		"state":   "snapshot",
	},
	Subcommands: map[string]commandalias.Renames{
		"consensus":       {"drop": "remove", "found": "init", "take-in": "rejoin"},
		"idempotency":     {"found": "init"},
		"rolling-restart": {"go-on": "resume"},
	},
	Flags: map[string]commandalias.Renames{
		"rolling-restart": {"--most": "--max-unavailable"},
	},
}
