package leasetest

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/cluster/consensus/replica"
	"mintspring/internal/cluster/consensus/storage"
)

const (
	leaseName = "task"
	groupName = "proof"
)

// ProcessConfig is the configuration of a process of a round. It is passed as JSON in the last argument.
type ProcessConfig struct {
	Voter          uint64        `json:"voter,omitempty"` // number of a replica, from 1; 0: a contender
	Node           int           `json:"node"`            // number of the process in its round, from 0
	ListenAddr     string        `json:"listen"`
	ReplicaAddrs   []string      `json:"members"` // addresses at which this process reaches the replicas, by replica
	InitialVoters  int           `json:"founders,omitempty"`
	DataDir        string        `json:"folder,omitempty"` // of a replica
	TickInterval   time.Duration `json:"tick,omitempty"`
	ResourceAddr   string        `json:"witness,omitempty"`
	TTLMillis      float64       `json:"length,omitempty"`
	Seed           uint64        `json:"seed"`
	SkipLeaseCheck bool          `json:"blind,omitempty"` // a contender begins steps without checking its lease, as a control
}

// RunProcess runs a process of a round until it is killed or fails.
func RunProcess(config string) error {
	var c ProcessConfig
	if err := json.Unmarshal([]byte(config), &c); err != nil {
		return fmt.Errorf("decode process configuration: %w", err)
	}
	if c.Voter > 0 {
		return runReplica(&c)
	}
	return runContender(&c)
}

// runReplica runs a replica of the consensus group. Its data directory is created at its first start.
func runReplica(c *ProcessConfig) error {
	if _, err := os.Stat(c.DataDir); errors.Is(err, fs.ErrNotExist) {
		if err := storage.Create(c.DataDir, storage.Identity{Group: groupName, ReplicaNumber: c.Voter}); err != nil {
			return err
		}
	}
	r, err := replica.Start(replica.Config{
		Group:             groupName,
		Number:            c.Voter,
		ListenAddr:        c.ListenAddr,
		ReplicaAddrs:      c.ReplicaAddrs,
		InitialVoterCount: c.InitialVoters,
		DataDir:           c.DataDir,
		TickInterval:      c.TickInterval,
	}, logrus.New())
	if err != nil {
		return err
	}
	<-r.Done()
	return r.Err()
}
