package idempotency

import (
	"slices"

	"mintspring/internal/cluster"
)

// maxReplicaSets is how many replica sets may be in use at a time.
const maxReplicaSets = 2

// Config is what a member is started with.
type Config struct {
	Self                  MemberID
	Incarnation           cluster.Incarnation // of this process
	StorageIncarnation    StorageIncarnation  // 0: it stores nothing and only proposes
	ReplicaSets           []ReplicaSet        // the one in use and, while it changes, the one before
	ReplicationFactor     int                 // replicas of a key
	RetentionMs           float64             // for which a record is kept from its last change on
	RetryIntervalMs       float64             // after which a request that was not answered is sent again
	MaxRecords            int                 // that it stores; beyond them it takes no new ones; 0: any number
	MaxReceiptBytes       int                 // of a receipt that is kept
	RepairsPerSecond      float64             // records a second that are copied or written again
	AntiEntropyIntervalMs float64             // between two scans of the other members' records; 0: none
	BallotCeilingStep     uint32              // rounds by which the ballot ceiling is raised at a time; 0: defaultBallotBlock
	Seed                  uint64              // of the jitter of retries

	replicaSetHashes [maxReplicaSets]uint32 // filled in by New
}

// withHashes returns the configuration with the hashes of its replica sets.
func (c Config) withHashes() Config {
	for i := range c.ReplicaSets {
		c.replicaSetHashes[i] = c.ReplicaSets[i].hash()
	}
	return c
}

// replicaGroups returns the replicas of a key, by the replica set in use and, while it changes, by the one before.
func (c *Config) replicaGroups(key Key) replicaGroups {
	var groups replicaGroups
	for i := range c.ReplicaSets {
		groups = append(groups, c.ReplicaSets[i].replicas(key, c.ReplicationFactor))
	}
	return groups
}

// replicates reports whether a member is a replica of a key in any replica set.
func (c *Config) replicates(key Key, m MemberID) bool { return c.replicaGroups(key).contains(m) }

// sharesReplicaSet reports whether messages of a member that uses these replica sets may be taken in: without a common one quorums need not
// intersect.
func (c *Config) sharesReplicaSet(hashes [maxReplicaSets]uint32) bool {
	for _, own := range c.replicaSetHashes {
		if own != 0 && (own == hashes[0] || own == hashes[1]) {
			return true
		}
	}
	return false
}

// peers returns all other members of the replica sets, in the order of their numbers.
func (c *Config) peers() []MemberID {
	var peers []MemberID
	for _, set := range c.ReplicaSets {
		for _, m := range set.Members {
			if m != c.Self && !slices.Contains(peers, m) {
				peers = append(peers, m)
			}
		}
	}
	slices.Sort(peers)
	return peers
}

// newMessage returns a message of this member.
func (c *Config) newMessage(kind MessageType, to MemberID) *Message {
	return &Message{Type: kind, From: c.Self, To: to, StorageIncarnation: c.StorageIncarnation, ReplicaSets: c.replicaSetHashes}
}

// maxBackoffFactor is the longest time between two requests, in multiples of RetryIntervalMs.
const maxBackoffFactor = 16

// nextBackoff returns the time in ms until the next retry after one of backoffMs, or 0 for the first.
func (c *Config) nextBackoff(backoffMs float64) float64 {
	return min(max(2*backoffMs, c.RetryIntervalMs), maxBackoffFactor*c.RetryIntervalMs)
}
