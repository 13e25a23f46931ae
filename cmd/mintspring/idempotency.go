package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"mintspring/internal/cli"
	"mintspring/internal/cluster"
	"mintspring/internal/cluster/idempotency"
	"mintspring/internal/cluster/idempotency/replica"
	"mintspring/internal/cluster/idempotency/storage"
	"mintspring/internal/node/admin"
)

type idempotencyCmd struct {
	Show    idempotencyShowCmd    `cmd:"" help:"Show the state of a running node."`
	Init    idempotencyInitCmd    `cmd:"" help:"Make a member's data directory, once, when the group is formed."`
	Verify  idempotencyVerifyCmd  `cmd:"" help:"Verify a data directory that no process uses."`
	Backup  idempotencyBackupCmd  `cmd:"" help:"Copy a data directory that no process uses, and verify the copy."`
	Restore idempotencyRestoreCmd `cmd:"" help:"Make a data directory from a backup."`
}

type idempotencyShowCmd struct {
	Address string `arg:"" help:"Address of the node's admin port (admin in its configuration)."`
	JSON    bool   `name:"json" help:"Print JSON."`
}

// Run shows the state of a running node.
func (c *idempotencyShowCmd) Run() error {
	return callAndShow(c.Address, admin.CallIdempotency, c.JSON, func(s *replica.Status) error { return printIdempotency(s, os.Stdout) })
}

// recordStates has the keys of the record states in a status, and their printed names.
var recordStates = []struct{ key, name string }{
	{"out", "in flight"}, {"open", "indeterminate"}, {"done", "completed"}, {"free", "unclaimed"},
}

func printIdempotency(s *replica.Status, out io.Writer) error {
	p := cli.NewPrinter(out)
	p.Printf("member %d of %s: %s; %d records", s.Self+1, s.Group, s.State, s.Records)
	for _, state := range recordStates {
		p.Printf(", %d %s", s.ByState[state.key], state.name)
	}
	p.Printf("\n  in %s: %d syncs for %d entries, at most %d in one\n", s.DataDir, s.Syncs, s.SyncedEntries, s.LargestSync)
	c := &s.Counts
	p.Printf("  claims: %d granted, %d delayed, %d replayed, %d with unknown outcome, %d without a quorum; %d settled, %d of them without one\n",
		c.Claims[idempotency.DecisionGranted], c.Claims[idempotency.DecisionWait], c.Claims[idempotency.DecisionReplay],
		c.Claims[idempotency.DecisionUnknown], c.Claims[idempotency.DecisionNoQuorum], c.Settlements, c.FailedSettlements)
	p.Printf("  now %d granted claims, %d open proposals, %d pending repairs; repaired %d; received %d messages, %d corrupt, %d of other replica sets\n",
		s.GrantedClaims, s.OpenProposals, s.PendingRepairs, c.RepairedRecords, c.ReceivedMessages, c.CorruptDatagrams, c.ForeignReplicaSets)
	p.Printf("  %s", describeConsistency(s))
	separator := "; not reached at the last comparison:"
	for _, member := range s.UnresponsivePeers {
		p.Printf("%s %d", separator, member+1)
		separator = ","
	}
	p.Printf("\n")
	for _, m := range s.Members {
		p.Printf("  member %d has data directory %d\n", m.Member+1, m.StorageIncarnation)
	}
	return p.Err()
}

// describeConsistency says for how long a replica has been consistent with the other replicas of its records.
func describeConsistency(s *replica.Status) string {
	if s.ConsistentMs < 0 {
		return "not compared with the other replicas yet, or not consistent at the last comparison"
	}
	return fmt.Sprintf("consistent with the other replicas for %.0f s", s.ConsistentMs/1000)
}

type idempotencyInitCmd struct {
	Operator string `help:"The operator's file with the section [idempotency]." required:"" placeholder:"FILE"`
	Member   int    `help:"This node's number from 1, if the file leaves it out."`
}

// Run makes the directory.
func (c *idempotencyInitCmd) Run() error {
	operator, err := readOperatorFile(c.Operator, os.Stderr)
	if err != nil {
		return err
	}
	section := operator.Idempotency
	if section == nil {
		return fmt.Errorf("%s: idempotency: missing", c.Operator)
	}
	number := section.MemberNumber
	if number == 0 {
		number = c.Member
	}
	if number < 1 || number > len(section.Members) || !section.IsReplica(number) {
		return fmt.Errorf("%s: idempotency.member: this node is not a replica, or neither the file nor --member gives its number", c.Operator)
	}
	owner := storage.Owner{Group: section.Name, Member: idempotency.MemberID(number - 1)}
	if err := storage.Create(section.DataDir, owner, newStorageIncarnation()); err != nil {
		return err
	}
	fmt.Printf("member %d of %s is initialized in %s\n", number, section.Name, section.DataDir)
	return nil
}

// newStorageIncarnation returns an incarnation for a data directory that is created now. If the clock is behind, the replica detects that
// later and takes a greater incarnation.
func newStorageIncarnation() idempotency.StorageIncarnation {
	return cluster.NewIncarnation(float64(time.Now().UnixMilli()), 0.5) //nolint:forbidigo // a clock that is behind is detected later
}

type idempotencyVerifyCmd struct {
	Dir string `arg:"" help:"The data directory."`
}

// Run verifies the directory.
func (c *idempotencyVerifyCmd) Run() error {
	summary, err := storage.Inspect(c.Dir)
	if err != nil {
		return err
	}
	return printSummary(c.Dir, summary, os.Stdout)
}

type idempotencyBackupCmd struct {
	Dir string `arg:"" help:"The data directory."`
	To  string `arg:"" help:"The directory to copy to."`
}

// Run copies the directory.
func (c *idempotencyBackupCmd) Run() error {
	summary, err := storage.Backup(c.Dir, c.To)
	if err != nil {
		return err
	}
	return printSummary(c.To, summary, os.Stdout)
}

type idempotencyRestoreCmd struct {
	From    string `arg:"" help:"A backup."`
	Dir     string `arg:"" help:"The data directory to make."`
	AllLost bool   `help:"All members have lost their data directories: the backups hold all there is."`
}

// Run makes the directory.
func (c *idempotencyRestoreCmd) Run() error {
	summary, err := storage.Restore(c.From, c.Dir, newStorageIncarnation(), c.AllLost)
	if err != nil {
		return err
	}
	return printSummary(c.Dir, summary, os.Stdout)
}

func printSummary(dir string, s *storage.Summary, out io.Writer) error {
	p := cli.NewPrinter(out)
	byState := map[idempotency.State]int{}
	for _, r := range s.State.Records {
		byState[r.Record.State]++
	}
	completeness := "complete"
	if s.State.CaughtUpStorage != s.Incarnation {
		completeness = "not caught up"
	}
	p.Printf("%s: member %d of %s, data directory %d, %s; %d records (%d in flight, %d indeterminate, %d completed, %d unclaimed) in %d files of %d bytes",
		dir, s.Member+1, s.Group, s.Incarnation, completeness, len(s.State.Records), byState[idempotency.StateInFlight],
		byState[idempotency.StateIndeterminate], byState[idempotency.StateCompleted], byState[idempotency.StateUnclaimed], s.Segments, s.Bytes)
	if s.TruncatedBytes > 0 {
		p.Printf(", %d bytes truncated at the end", s.TruncatedBytes)
	}
	p.Printf("\n")
	return p.Err()
}
