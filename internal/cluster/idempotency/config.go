package idempotency

import (
	"slices"

	"mintspring/internal/cluster"
)

// maxReplicaSets limits the replica sets that are in use at the same time.
const maxReplicaSets = 2

// Config configures a member.
type Config struct {
	Self                  MemberID            // number of this member
	Incarnation           cluster.Incarnation // of this process
	StorageIncarnation    StorageIncarnation  // of this member's data directory; 0: it stores nothing and only proposes
	ReplicaSets           []ReplicaSet        // the current one and, while it is being replaced, the previous one
	ReplicationFactor     int                 // replicas of a key
	RetentionMs           float64             // how long a record is kept after its last change
	RetryIntervalMs       float64             // initial delay before an unanswered request is sent again
	MaxRecords            int                 // stored records; at this limit promises for new keys are refused; 0: no limit
	MaxReceiptBytes       int                 // larger receipts are not stored
	RepairsPerSecond      float64             // limits the records that are copied during catch-up, and the repairs
	AntiEntropyIntervalMs float64             // between the starts of two scans of the other members' records; 0: no scans
	BallotCeilingStep     uint32              // rounds by which the ballot ceiling is raised at a time; 0: defaultBallotCeilingStep
	Seed                  uint64              // of the retry jitter

	replicaSetHashes [maxReplicaSets]uint32 // filled in by New
}

// withHashes returns the configuration with replicaSetHashes set.
func (c Config) withHashes() Config {
	for i := range c.ReplicaSets {
		c.replicaSetHashes[i] = c.ReplicaSets[i].hash()
	}
	return c
}

// replicaGroups returns the replicas of a key, one group for each replica set.
func (c *Config) replicaGroups(key Key) replicaGroups {
	var groups replicaGroups
	for i := range c.ReplicaSets {
		groups = append(groups, c.ReplicaSets[i].replicas(key, c.ReplicationFactor))
	}
	return groups
}

// replicates reports whether a member is a replica of a key in any replica set.
func (c *Config) replicates(key Key, m MemberID) bool { return c.replicaGroups(key).contains(m) }

// sharesReplicaSet reports whether this member uses a replica set with one of these hashes. Messages from members without a common replica
// set are ignored, because their quorums may not intersect with those of this member.
func (c *Config) sharesReplicaSet(hashes [maxReplicaSets]uint32) bool {
	for _, own := range c.replicaSetHashes {
		if own != 0 && (own == hashes[0] || own == hashes[1]) {
			return true
		}
	}
	return false
}

// peers returns all other members of the replica sets, sorted by number.
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

// newMessage returns a message from this member.
func (c *Config) newMessage(messageType MessageType, to MemberID) *Message {
	return &Message{Type: messageType, From: c.Self, To: to, StorageIncarnation: c.StorageIncarnation, ReplicaSetHashes: c.replicaSetHashes}
}

// maxBackoffFactor limits the backoff between two requests, in multiples of RetryIntervalMs.
const maxBackoffFactor = 16

// nextBackoff returns the backoff that follows backoffMs, both in ms. Before the first request backoffMs is 0.
func (c *Config) nextBackoff(backoffMs float64) float64 {
	return min(max(2*backoffMs, c.RetryIntervalMs), maxBackoffFactor*c.RetryIntervalMs)
}
