package operatorfile

import (
	"os"
	"slices"
	"time"

	"mintspring/internal/cluster/idempotency"
	"mintspring/internal/cluster/idempotency/replica"
	"mintspring/internal/config/tomlfile"
)

// Idempotency configures the replication of idempotency records, which keep requests from being executed twice.
// docs/operators/idempotency.md describes each field.
type Idempotency struct {
	Name                string            `toml:"name"`
	Members             []string          `toml:"members"`  // addresses of all nodes, by number from 1; environment variables are expanded
	MemberNumber        int               `toml:"member"`   // this node's number; default: the settings' SelfIndex plus 1
	Listen              string            `toml:"listen"`   // default: the member's address
	DataDir             string            `toml:"data_dir"` // required for a replica; environment variables are expanded
	Replicas            []int             `toml:"replicas"` // numbers of the members that hold records; default: all
	PreviousReplicas    []int             `toml:"previous_replicas"`
	Zones               []string          `toml:"zones"` // of all members, by number
	PreviousZones       []string          `toml:"previous_zones"`
	ReplicationFactor   int               `toml:"replication_factor"`
	RequestClasses      []string          `toml:"request_classes"` // default: all classes whose requests must not be executed twice
	NoQuorum            map[string]string `toml:"no_quorum"`       // by request class: noQuorumRefuse or noQuorumOrigin
	Retention           tomlfile.Duration `toml:"retention"`
	ClaimTimeout        tomlfile.Duration `toml:"claim_timeout"`
	CommitTimeout       tomlfile.Duration `toml:"commit_timeout"`
	RetryInterval       tomlfile.Duration `toml:"retry_interval"`
	AntiEntropyInterval tomlfile.Duration `toml:"anti_entropy_interval"`
	MaxRepairsPerSecond int               `toml:"max_repairs_per_second"`
	MaxRecords          int               `toml:"max_records"`
	MaxReceiptBytes     int               `toml:"max_receipt_bytes"`
	MaxDiskMB           int               `toml:"max_disk_mb"`
}

// Values of the field no_quorum: what happens to requests of a class while no quorum of replicas can be reached.
const (
	noQuorumRefuse = "refuse" // they are rejected
	noQuorumOrigin = "origin" // they are executed without a record
)

const (
	maxMembers               = 4096
	defaultReplicationFactor = 3
)

// check validates the section, if it is present, and fills in the defaults.
func (c *Idempotency) check(source *tomlfile.File) error {
	if c == nil {
		return nil
	}
	if c.ReplicationFactor == 0 {
		c.ReplicationFactor = defaultReplicationFactor
	}
	for _, check := range []func(*tomlfile.File) error{c.checkMembers, c.checkReplicas, c.checkPolicy, c.checkLimits} {
		if err := check(source); err != nil {
			return err
		}
	}
	mayBeReplica := len(c.Replicas) == 0 || c.MemberNumber > 0 && c.IsReplica(c.MemberNumber)
	if c.DataDir == "" && mayBeReplica {
		return source.FieldErrorf("idempotency.data_dir", "missing for a replica")
	}
	return nil
}

func (c *Idempotency) checkMembers(source *tomlfile.File) error {
	if c.Name == "" {
		return source.FieldErrorf("idempotency.name", "missing")
	}
	if n := len(c.Members); n < 1 || n > maxMembers {
		return source.FieldErrorf("idempotency.members", "there are %d, not between 1 and %d", n, maxMembers)
	}
	for i, member := range c.Members {
		if !hasVariable(member) && !isAddrPort(member) {
			return source.FieldErrorf("idempotency.members", "member %d: %q is not address:port", i+1, member)
		}
	}
	if c.MemberNumber < 0 || c.MemberNumber > len(c.Members) {
		return source.FieldErrorf("idempotency.member", "%d is not the number of a member", c.MemberNumber)
	}
	if c.Listen != "" && !hasVariable(c.Listen) && !isAddrPort(c.Listen) {
		return source.FieldErrorf("idempotency.listen", "%q is not address:port", c.Listen)
	}
	return nil
}

func (c *Idempotency) checkReplicas(source *tomlfile.File) error {
	for _, f := range []struct {
		name     string
		replicas []int
	}{{"replicas", c.Replicas}, {"previous_replicas", c.PreviousReplicas}} {
		seen := map[int]bool{}
		for _, number := range f.replicas {
			if number < 1 || number > len(c.Members) || seen[number] {
				return source.FieldErrorf("idempotency."+f.name, "%d is not the number of a member, or is listed twice", number)
			}
			seen[number] = true
		}
	}
	for _, f := range []struct {
		name  string
		zones []string
	}{{"zones", c.Zones}, {"previous_zones", c.PreviousZones}} {
		if n := len(f.zones); n > 0 && n != len(c.Members) {
			return source.FieldErrorf("idempotency."+f.name, "there are %d for %d members", n, len(c.Members))
		}
	}
	if n := c.ReplicationFactor; n != 1 && n != 3 && n != 5 {
		return source.FieldErrorf("idempotency.replication_factor", "%d is not 1, 3 or 5", n)
	}
	return nil
}

func (c *Idempotency) checkPolicy(source *tomlfile.File) error {
	for class, policy := range c.NoQuorum {
		if policy != noQuorumRefuse && policy != noQuorumOrigin {
			return source.FieldErrorf("idempotency.no_quorum."+class, "%q is neither %s nor %s", policy, noQuorumRefuse, noQuorumOrigin)
		}
	}
	return nil
}

func (c *Idempotency) checkLimits(source *tomlfile.File) error {
	err := applyDurations(source, "idempotency", []durationLimit{
		{&c.Retention, "retention", 10 * time.Minute, time.Second, 24 * time.Hour},
		{&c.ClaimTimeout, "claim_timeout", 200 * time.Millisecond, time.Millisecond, 10 * time.Second},
		{&c.CommitTimeout, "commit_timeout", 200 * time.Millisecond, time.Millisecond, 10 * time.Second},
		{&c.RetryInterval, "retry_interval", 20 * time.Millisecond, time.Millisecond, time.Second},
		{&c.AntiEntropyInterval, "anti_entropy_interval", 30 * time.Second, 100 * time.Millisecond, time.Hour},
	})
	if err != nil {
		return err
	}
	return applyCounts(source, "idempotency", []countLimit{
		{&c.MaxRepairsPerSecond, "max_repairs_per_second", 2000, 1, 1 << 20},
		{&c.MaxRecords, "max_records", 100_000, 1, 1 << 26},
		{&c.MaxReceiptBytes, "max_receipt_bytes", 1024, 1, 16 << 10},
		{&c.MaxDiskMB, "max_disk_mb", 1024, 1, 1 << 20},
	})
}

// IsReplica reports whether the member with this number, from 1, holds records or held them before the current change of the
// replicas.
func (c *Idempotency) IsReplica(number int) bool {
	return len(c.Replicas) == 0 || slices.Contains(c.Replicas, number) || slices.Contains(c.PreviousReplicas, number)
}

// ForwardsWithoutQuorum reports whether requests of a class are executed while no quorum can be reached.
func (c *Idempotency) ForwardsWithoutQuorum(class string) bool {
	return c.NoQuorum[class] == noQuorumOrigin
}

// replicaSet returns the set of the replicas with the given numbers, or of all members if there are no numbers.
func (c *Idempotency) replicaSet(numbers []int, zones []string) idempotency.ReplicaSet {
	set := idempotency.ReplicaSet{Zones: zones}
	for _, number := range numbers {
		set.Members = append(set.Members, idempotency.MemberID(number-1))
	}
	if len(numbers) == 0 {
		for i := range c.Members {
			set.Members = append(set.Members, idempotency.MemberID(i))
		}
	}
	return set
}

// replicaSets returns the current replica set and, while the replicas or their zones are being changed, the previous one after
// it.
func (c *Idempotency) replicaSets() []idempotency.ReplicaSet {
	sets := []idempotency.ReplicaSet{c.replicaSet(c.Replicas, c.Zones)}
	if len(c.PreviousReplicas) == 0 && len(c.PreviousZones) == 0 {
		return sets
	}
	zones := c.PreviousZones
	if len(zones) == 0 {
		zones = c.Zones
	}
	return append(sets, c.replicaSet(c.PreviousReplicas, zones))
}

// ReplicaConfig returns the configuration of a member. The id self is the member's number minus 1.
func (c *Idempotency) ReplicaConfig(self idempotency.MemberID) replica.Config {
	config := replica.Config{
		Group:      c.Name,
		ListenAddr: os.ExpandEnv(c.Listen),
		MaxBytes:   int64(c.MaxDiskMB) << 20,
		Core: idempotency.Config{
			Self:                  self,
			ReplicaSets:           c.replicaSets(),
			ReplicationFactor:     c.ReplicationFactor,
			RetentionMs:           c.Retention.Milliseconds(),
			RetryIntervalMs:       c.RetryInterval.Milliseconds(),
			MaxRecords:            c.MaxRecords,
			MaxReceiptBytes:       c.MaxReceiptBytes,
			RepairsPerSecond:      float64(c.MaxRepairsPerSecond),
			AntiEntropyIntervalMs: c.AntiEntropyInterval.Milliseconds(),
		},
	}
	for _, member := range c.Members {
		config.MemberAddrs = append(config.MemberAddrs, os.ExpandEnv(member))
	}
	if config.ListenAddr == "" {
		config.ListenAddr = config.MemberAddrs[self]
	}
	if c.IsReplica(int(self) + 1) {
		config.DataDir = os.ExpandEnv(c.DataDir)
	}
	return config
}
