package consensus

import (
	"io"

	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3"
)

// Raft timeouts in ticks.
const (
	heartbeatTicks = 1
	electionTicks  = 10
)

// Limits of messages, memory and the log.
const (
	maxEntryBytesPerMessage = 16 << 10 // log entries in one message, which has to fit into a datagram
	maxInflightMessages     = 64       // unacknowledged messages to one replica
	maxPendingCommands      = 4096     // commands proposed by this replica that have no result yet
	snapshotIntervalEntries = 4096     // applied entries between two snapshots
	retainedEntries         = 512      // entries before a snapshot that stay in memory for replicas that are slightly behind
	maxLearnerLagEntries    = 16       // entries that a learner may lack when it is promoted to a voter
)

// Config configures a replica.
type Config struct {
	Self ReplicaID
	// InitialVoters are the replicas that vote when the group is created. Any other replica receives the state from the leader once it has been
	// added.
	InitialVoters []ReplicaID
	TickMillis    float64
}

func (c Config) raftConfig(storage raft.Storage, applied uint64) *raft.Config {
	return &raft.Config{
		ID:                uint64(c.Self),
		ElectionTick:      electionTicks,
		HeartbeatTick:     heartbeatTicks,
		Storage:           storage,
		Applied:           applied,
		MaxSizePerMsg:     maxEntryBytesPerMessage,
		MaxInflightMsgs:   maxInflightMessages,
		CheckQuorum:       true,
		PreVote:           true,
		StepDownOnRemoval: true,
		Logger:            discardLogger(),
	}
}

// discardLogger returns a logger for the Raft library that discards its output. The driver of a Core logs the events that operators need.
func discardLogger() raft.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}
