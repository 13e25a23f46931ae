package main

import (
	"errors"
	"fmt"
	"strings"

	"mintspring/internal/node/admin"
)

type rollingRestartCmd struct {
	Action         string   `arg:"" enum:"show,start,pause,resume,stop" help:"show, start, pause, resume or stop."`
	Address        string   `arg:"" help:"Address of a node's admin port (admin in its configuration)."`
	Servers        []string `help:"Of start: ids of cache servers, in the order of their restarts."`
	MaxUnavailable int      `help:"Of start: how many servers may be excluded or warming up at once." default:"1"`
}

// rollingRestartActions maps the actions of the command line to those of the admin port.
var rollingRestartActions = map[string]string{
	"show":   admin.ActionShow,
	"start":  admin.ActionStart,
	"pause":  admin.ActionPause,
	"resume": admin.ActionResume,
	"stop":   admin.ActionStop,
}

// Run calls a node's admin port.
func (c *rollingRestartCmd) Run() error {
	action := rollingRestartActions[c.Action]
	line := admin.CallRollingRestart + " " + action
	if action == admin.ActionStart {
		if len(c.Servers) == 0 {
			return errors.New("--servers: missing")
		}
		line += fmt.Sprintf(" %d %s", c.MaxUnavailable, strings.Join(c.Servers, ","))
	}
	return callAndPrint(c.Address, line)
}
