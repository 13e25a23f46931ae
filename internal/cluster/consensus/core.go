// Package consensus replicates the lease state among the few replicas of a consensus group with Raft.
//
// It wraps the core of go.etcd.io/raft/v3, which does no I/O. The driver of a [Core] passes ticks, received messages and commands to it, then
// repeats two steps until Ready returns nothing:
//
//  1. It takes an update from [Core.Ready] and makes it durable.
//  2. It calls [Core.Advance], and sends the messages and responses that Advance returns.
//
// Only Advance returns messages, so no message can be sent before the update that it depends on is durable.
//
// Times are float64 milliseconds of a monotonic clock. The Raft library draws election timeouts from its own random source, so two simulations
// with the same seed may elect different leaders.
package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mintspring/internal/cluster/consensus/storage"
	"mintspring/internal/cluster/lease"
)

var errLeaderOnly = errors.New("only the leader itself issues expire and skip-waiter commands")

// Response is the result of a command that was proposed through this replica.
type Response struct {
	RequestID uint64 // the request ID that the caller passed to Propose
	Result    lease.Result
}

// logEntry is the stored form of a command in the Raft log.
type logEntry struct {
	Proposer uint64        `json:"from"` // ID of the replica that proposed the command for a client; 0: the leader issued it itself
	Sequence uint64        `json:"no"`   // distinguishes the commands of one proposer
	Command  lease.Command `json:"command"`
}

// Core is the part of a replica that does no I/O. It is not safe for concurrent use: one goroutine owns it.
type Core struct {
	config      Config
	rawNode     *raft.RawNode
	raftStorage *raft.MemoryStorage
	ready       *raft.Ready // returned by Ready, not yet confirmed by Advance; nil: none
	leader      bool        // whether this replica led at its last tick
	nextTick    float64

	leases            *lease.State
	expiry            *lease.ExpiryTracker
	confState         *pb.ConfState // voters and learners after the last applied change
	membershipChanged bool          // whether confState changed since the last snapshot
	appliedIndex      uint64
	snapshotIndex     uint64
	initialSnapshot   *pb.Snapshot // first state of a new group; nil: this replica is not an initial voter, or its data directory was not empty

	pendingRequests map[uint64]uint64 // request IDs of proposed commands that have no result yet, by sequence number
	lastSequence    uint64
}

// New restores a replica from the contents of its data directory. It numbers its commands upwards from firstSequence, which must exceed every
// number that an earlier process of this replica has used.
func New(now float64, config Config, stored storage.State, firstSequence uint64) (*Core, error) {
	c := &Core{
		config:          config,
		raftStorage:     raft.NewMemoryStorage(),
		nextTick:        now + config.TickMillis,
		leases:          lease.NewState(),
		expiry:          lease.NewExpiryTracker(),
		confState:       &pb.ConfState{},
		pendingRequests: map[uint64]uint64{},
		lastSequence:    firstSequence,
	}
	if stored.Snapshot == nil && slices.Contains(config.InitialVoters, config.Self) {
		c.initialSnapshot = newInitialSnapshot(config.InitialVoters)
		stored.Snapshot = c.initialSnapshot
	}
	if err := c.restore(stored.Snapshot, stored.HardState, stored.Entries); err != nil {
		return nil, err
	}
	var err error
	if c.rawNode, err = raft.NewRawNode(config.raftConfig(c.raftStorage, c.appliedIndex)); err != nil {
		return nil, fmt.Errorf("start raft: %w", err)
	}
	c.expiry.Observe(now, c.leases)
	return c, nil
}

// InitialUpdate returns the initial snapshot, which names the voters. An initial voter must make it durable before it sends anything. From then on
// the voters come from the data directory and not from the configured list, because replicas with different lists would count different majorities.
// InitialUpdate returns false if the replica is not an initial voter or its data directory was not empty.
func (c *Core) InitialUpdate() (storage.Update, bool) {
	return storage.Update{Snapshot: c.initialSnapshot}, c.initialSnapshot != nil
}

// IsLeader reports whether this replica considered itself the leader at its last tick.
func (c *Core) IsLeader() bool { return c.leader }

// Tick advances the time to now. After a pause of the process it counts a single tick: the ticks missed in the pause say nothing about whether the
// other replicas are alive, and counting them could trigger a needless election.
func (c *Core) Tick(now float64) {
	if now < c.nextTick {
		return
	}
	c.nextTick += c.config.TickMillis
	if c.nextTick < now {
		c.nextTick = now + c.config.TickMillis
	}
	c.rawNode.Tick()
	c.leader = c.rawNode.BasicStatus().RaftState == raft.StateLeader
	if !c.leader {
		return
	}
	for _, cmd := range c.expiry.DueCommands(now, c.leases) {
		_ = c.proposeEntry(logEntry{Command: cmd}) // after an error the command is still due at the next tick
	}
	c.promoteLearners()
}

// Step handles a message from another replica. An error means that the message was dropped and the state did not change. Corrupted messages must
// be dropped: a flipped bit could turn one into a commit beyond the end of the log, or into a message from the replica to itself.
func (c *Core) Step(encoded []byte) error {
	m, err := decodeMessage(encoded)
	if err != nil {
		return err
	}
	if m.GetTo() != uint64(c.config.Self) || m.GetFrom() == uint64(c.config.Self) {
		return ErrWrongReplica
	}
	return c.rawNode.Step(m)
}

// Propose proposes a command of a client. A later Advance returns the response with the same request ID. If the command is lost there is no
// response, and the client has to retry.
func (c *Core) Propose(requestID uint64, cmd lease.Command) error {
	if cmd.Kind == lease.KindExpire || cmd.Kind == lease.KindSkipWaiter {
		return errLeaderOnly
	}
	if len(c.pendingRequests) >= maxPendingCommands {
		clear(c.pendingRequests) // by now their clients have timed out and retried
	}
	c.lastSequence++
	c.pendingRequests[c.lastSequence] = requestID
	if err := c.proposeEntry(logEntry{Proposer: uint64(c.config.Self), Sequence: c.lastSequence, Command: cmd}); err != nil {
		delete(c.pendingRequests, c.lastSequence)
		return err
	}
	return nil
}

func (c *Core) proposeEntry(e logEntry) error {
	b, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("encode log entry: %w", err)
	}
	return c.rawNode.Propose(b)
}

// Ready returns the next update to make durable. It returns false if there is none, or if Advance was not called for the last one yet.
func (c *Core) Ready() (storage.Update, bool) {
	if c.ready != nil || !c.rawNode.HasReady() {
		return storage.Update{}, false
	}
	rd := c.rawNode.Ready()
	c.ready = &rd
	u := storage.Update{HardState: rd.HardState, Entries: rd.Entries}
	if !raft.IsEmptySnap(rd.Snapshot) {
		u.Snapshot = rd.Snapshot
	}
	return u, true
}

// Advance confirms that the last update from Ready is durable. It applies the committed entries, and returns the messages and responses to send.
func (c *Core) Advance(now float64) (messages []*pb.Message, responses []Response, err error) {
	rd := c.ready
	c.ready = nil
	snapshot := rd.Snapshot
	if raft.IsEmptySnap(snapshot) {
		snapshot = nil
	}
	if err := c.restore(snapshot, rd.HardState, rd.Entries); err != nil {
		return nil, nil, err
	}
	for _, e := range rd.CommittedEntries {
		if r, ok := c.applyEntry(e); ok {
			responses = append(responses, r)
		}
	}
	// The TTL of a lease starts when this replica applies the grant or renewal.
	c.expiry.Observe(now, c.leases)
	c.rawNode.Advance(*rd)
	c.reportSentSnapshots(rd.Messages)
	return rd.Messages, responses, nil
}

// reportSentSnapshots reports snapshots to the library as delivered as soon as they are sent, because receivers do not acknowledge them. The library
// resends a lost snapshot after the receiver rejects the entries that follow it. Without the report the library would wait for an acknowledgment,
// and the receiver would never catch up.
func (c *Core) reportSentSnapshots(messages []*pb.Message) {
	for _, m := range messages {
		if m.GetType() == pb.MessageType_MsgSnap {
			c.rawNode.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
		}
	}
}

// applyEntry applies a committed entry. It returns a response if this process proposed the entry and its client may still be waiting.
func (c *Core) applyEntry(e *pb.Entry) (Response, bool) {
	c.appliedIndex = e.GetIndex()
	switch {
	case e.GetType() == pb.EntryType_EntryConfChangeV2:
		c.applyConfChange(e)
		return Response{}, false
	case e.GetType() != pb.EntryType_EntryNormal || len(e.GetData()) == 0:
		return Response{}, false // the first entry of each new leader is empty
	}
	var entry logEntry
	if json.Unmarshal(e.GetData(), &entry) != nil {
		return Response{}, false // every replica ignores an entry that it cannot decode
	}
	result := c.leases.Apply(entry.Command)
	if entry.Proposer != uint64(c.config.Self) {
		return Response{}, false
	}
	requestID, waiting := c.pendingRequests[entry.Sequence]
	delete(c.pendingRequests, entry.Sequence)
	return Response{RequestID: requestID, Result: result}, waiting
}

func (c *Core) applyConfChange(e *pb.Entry) {
	change := &pb.ConfChangeV2{}
	if proto.Unmarshal(e.GetData(), change) != nil {
		return // every replica ignores a change that it cannot decode
	}
	c.confState = c.rawNode.ApplyConfChange(change)
	c.membershipChanged = true
}
