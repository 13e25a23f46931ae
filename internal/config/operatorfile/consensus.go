package operatorfile

import (
	"time"

	"mintspring/internal/config/tomlfile"
)

// Consensus configures the consensus group, in which a few nodes agree on tasks of the whole fleet. docs/operators/consensus.md
// describes each field.
type Consensus struct {
	Name           string            `toml:"name"`
	Members        []string          `toml:"members"`         // addresses, by number from 1
	InitialMembers int               `toml:"initial_members"` // the group was formed by this many members, the first in the list; default: all
	MemberNumber   int               `toml:"member"`          // this node's number, from 1; 0: not a member
	Generation     int               `toml:"generation"`      // how often this member has rejoined with an empty directory
	Listen         string            `toml:"listen"`          // default: the member's address
	DataDir        string            `toml:"data_dir"`        // required for a member
	Lease          tomlfile.Duration `toml:"lease"`
	PollInterval   tomlfile.Duration `toml:"poll_interval"`
}

const (
	// maxConsensusMembers limits the members in the list, which includes members that have been removed from the group.
	maxConsensusMembers = 15
	maxGeneration       = 1 << 20
)

// check validates the section, if it is present, and fills in the defaults.
func (c *Consensus) check(source *tomlfile.File) error {
	if c == nil {
		return nil
	}
	if c.Name == "" {
		return source.FieldErrorf("consensus.name", "missing")
	}
	if err := c.checkMembers(source); err != nil {
		return err
	}
	switch {
	case c.MemberNumber < 0 || c.MemberNumber > len(c.Members):
		return source.FieldErrorf("consensus.member", "%d is not the number of a member", c.MemberNumber)
	case c.Generation < 0 || c.Generation > maxGeneration:
		return source.FieldErrorf("consensus.generation", "%d is not between 0 and %d", c.Generation, maxGeneration)
	case c.MemberNumber > 0 && c.DataDir == "":
		return source.FieldErrorf("consensus.data_dir", "missing for a member")
	}
	if c.Listen == "" && c.MemberNumber > 0 {
		c.Listen = c.Members[c.MemberNumber-1]
	}
	if c.Listen != "" && !isHostPort(c.Listen) {
		return source.FieldErrorf("consensus.listen", "%q is not host:port", c.Listen)
	}
	return applyDurations(source, "consensus", []durationLimit{
		{&c.Lease, "lease", 2 * time.Second, 200 * time.Millisecond, time.Minute},
		{&c.PollInterval, "poll_interval", time.Second, 50 * time.Millisecond, time.Minute},
	})
}

func (c *Consensus) checkMembers(source *tomlfile.File) error {
	n := len(c.Members)
	switch {
	case c.InitialMembers == 0 && n != 1 && n != 3 && n != 5 && n != 7:
		return source.FieldErrorf("consensus.members", "there are %d; without initial_members there must be 1, 3, 5 or 7", n)
	case n > maxConsensusMembers:
		return source.FieldErrorf("consensus.members", "there are %d, at most %d are allowed", n, maxConsensusMembers)
	}
	if initial := c.InitialMembers; initial < 0 || initial > n || initial > 0 && initial%2 == 0 {
		return source.FieldErrorf("consensus.initial_members", "%d is not an odd number up to the number of members", initial)
	}
	for i, member := range c.Members {
		if !isAddrPort(member) {
			return source.FieldErrorf("consensus.members", "member %d: %q is not address:port", i+1, member)
		}
	}
	return nil
}
