package main

import "mintspring/internal/commandalias"

// aliases maps the former names of commands, flags and values, which are still accepted, to their current names.
var aliases = commandalias.Table{
	Commands: commandalias.Renames{
		"ask":     "request",
		"copies":  "idempotency",
		"dynamic": "check-dynamic",
		"echoes":  "duplicates",
		"emulate": "simulate",
		"follow":  "proxies",
		"hunt":    "search",
		"knee":    "sweep",
		"mesh":    "gossip",
		"moves":   "adjustments",
		"names":   "figures",
		"node":    "baseline-node",
		"part":    "lease-process",
		"seller":  "idempotency-process",
		"traced":  "trace-syscalls",
	},
	Subcommands: map[string]commandalias.Renames{
		"trace-syscalls": {"refuse": "deny"}, // the mode argument
	},
	Flags: map[string]commandalias.Renames{
		"adjustments": {"--for": "--duration"},
		"duplicates":  {"--late": "--delays", "--length": "--duration"},
		"gossip":      {"--for": "--duration", "--lies": "--false-evidence"},
		"idempotency": {
			"--calm": "--no-faults", "--emulate": "--simulate", "--for": "--duration", "--members": "--replicas",
			"--off": "--no-records", "--slow": "--sync-delay",
		},
		"leases":   {"--blind": "--unchecked", "--deaths": "--kill-holders", "--for": "--duration", "--length": "--ttl"},
		"load":     {"--for": "--duration", "--workload": "--class"},
		"proxies":  {"--changes": "--incremental"},
		"request":  {"--mark": "--idempotency-key", "--workload": "--class"},
		"run":      {"--traced": "--trace-syscalls"},
		"search":   {"--tries": "--shrink-attempts"},
		"simulate": {"--boxes": "--servers"},
		"sweep":    {"--hold": "--step-duration"},
	},
	Values: map[string]map[string]commandalias.Renames{
		"run":      {"--trace-syscalls": {"refuse": "deny"}},
		"simulate": {"--against": {oldOracleName: oracleName}},
		"sweep":    {"--against": {oldOracleName: oracleName}},
	},
}
