package main

import (
	"fmt"
	"os"
	"strconv"

	"mintspring/internal/cluster/consensus/storage"
	"mintspring/internal/node/admin"
)

type consensusCmd struct {
	Init   consensusInitCmd `cmd:"" help:"Make a member's data directory, when its group is formed or for a new generation."`
	Rejoin rejoinReplicaCmd `cmd:"" help:"Let a member that has lost its data directory join again."`
	Add    addReplicaCmd    `cmd:"" help:"Add a member."`
	Remove removeReplicaCmd `cmd:"" help:"Remove a member."`
}

type consensusInitCmd struct {
	Operator string `help:"The operator's file with the section [consensus]." required:"" placeholder:"FILE"`
}

// Run makes the directory. A member that has lost its directory must not be initialized again in the same generation: it would have
// forgotten its votes and could vote twice in one term.
func (c *consensusInitCmd) Run() error {
	operator, err := readOperatorFile(c.Operator, os.Stderr)
	if err != nil {
		return err
	}
	section := operator.Consensus
	if section == nil || section.MemberNumber == 0 {
		return fmt.Errorf("%s: consensus.member: this node is not a member", c.Operator)
	}
	identity := storage.Identity{Group: section.Name, ReplicaNumber: uint64(section.MemberNumber), Generation: section.Generation}
	if err := storage.Create(section.DataDir, identity); err != nil {
		return err
	}
	fmt.Printf("member %d of %s is initialized in %s\n", section.MemberNumber, section.Name, section.DataDir)
	return nil
}

type rejoinReplicaCmd struct {
	Address    string `arg:"" help:"Address of any node's admin port (admin in its configuration)."`
	Member     int    `arg:"" help:"The member's number."`
	Generation int    `arg:"" help:"Its new generation, as in its operator's file."`
}

// Run calls a node's admin port.
func (c *rejoinReplicaCmd) Run() error {
	return callMembershipChange(c.Address, admin.ChangeRejoin, c.Member, c.Generation)
}

type addReplicaCmd struct {
	Address    string `arg:"" help:"Address of any node's admin port (admin in its configuration)."`
	Member     int    `arg:"" help:"The member's number."`
	Generation int    `arg:"" optional:"" help:"Its generation, as in its operator's file."`
}

// Run calls a node's admin port.
func (c *addReplicaCmd) Run() error {
	return callMembershipChange(c.Address, admin.ChangeAdd, c.Member, c.Generation)
}

type removeReplicaCmd struct {
	Address string `arg:"" help:"Address of any node's admin port (admin in its configuration)."`
	Member  int    `arg:"" help:"The member's number."`
}

// Run calls a node's admin port.
func (c *removeReplicaCmd) Run() error {
	return callMembershipChange(c.Address, admin.ChangeRemove, c.Member)
}

// callMembershipChange requests a membership change on a node's admin port. The numbers are the member's number and, for some changes,
// its generation.
func callMembershipChange(addr, change string, numbers ...int) error {
	line := admin.MembershipPrefix + change
	for _, n := range numbers {
		line += " " + strconv.Itoa(n)
	}
	return callAndPrint(addr, line)
}
