package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"syscall"
	"time"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/idempotency"
	"mintspring/internal/cluster/idempotency/replica"
	"mintspring/internal/node/exchange"
)

// bindRetryInterval is the time between two looks at whether the predecessor has released the address of the replica. Claims that are
// made meanwhile wait for it, as long as they may.
const bindRetryInterval = 10 * time.Millisecond

// errNoReplica is a reply on the admin port. Operators' scripts know the text, so that it keeps the words of the port's calls.
var errNoReplica = errors.New("this node takes part in no book: its operator's file has no [book], or the process before has its place")

// startIdempotency makes the node a replica of its cluster's idempotency records, if the operator's file says so.
func (n *Node) startIdempotency(config *Config) error {
	if config.Operator == nil || config.Operator.Idempotency == nil {
		return nil
	}
	section := config.Operator.Idempotency
	number := config.Deployment.NodeIndex + 1
	if section.MemberNumber > 0 {
		number = section.MemberNumber
	}
	if number < 1 || number > len(section.Members) {
		return fmt.Errorf("idempotency: this node's number, %d, is not among %d members", number, len(section.Members))
	}
	n.idempotency = &claimGate{
		node:       n,
		settings:   section,
		claims:     map[uint64]*claim{},
		byExchange: map[*exchange.Exchange]*claim{},
	}
	replicaConfig := section.ReplicaConfig(idempotency.MemberID(number - 1))
	replicaConfig.Core.Seed = n.seed
	replicaConfig.Core.Incarnation = cluster.NewIncarnation(n.clock.Now(), n.random())
	replicaConfig.Snapshot = n.snapshotForPeer
	err := n.startReplica(&replicaConfig)
	if !errors.Is(err, syscall.EADDRINUSE) {
		return err
	}
	n.log.WithError(err).Info("idempotency replica address in use, waiting for the predecessor to release it")
	go n.retryReplica(&replicaConfig)
	return nil
}

// replicaChangeTimeout is how long the claims of a replica that is replaced may take to end.
const replicaChangeTimeout = 100 * time.Millisecond

func (n *Node) startReplica(config *replica.Config) error {
	r, err := replica.Start(*config, n.clock, n.log.Logger, func(result idempotency.Result) { n.inbox.post(recordResult{result}) })
	if err != nil {
		return err
	}
	n.inbox.post(replicaStarted{r})
	if isSystemError(r.DataDirError()) {
		go n.reopenDataDir(config, r)
	}
	return nil
}

// reopenDataDir starts the replica anew once its data directory can be opened: a disk may be full for a moment. Until then the replica asks
// the others only. It ends with the node.
func (n *Node) reopenDataDir(config *replica.Config, asking *replica.Replica) {
	for pause := minReplicaRestart; ; pause = min(2*pause, maxReplicaRestart) {
		select {
		case <-n.quit:
			return
		case <-time.After(pause):
		}
		if config.CheckDataDir() == nil {
			break
		}
	}
	if stopped, err := onLoop(n, func(float64) (bool, error) { return n.idempotency.closed, nil }); err != nil || stopped {
		return
	}
	asking.Stop(replicaChangeTimeout)
	if err := n.startReplica(config); err != nil {
		n.log.WithError(err).Error("continuing without idempotency records")
		return
	}
	n.log.Info("the data directory of the idempotency records works now")
}

// retryReplica starts the replica once the predecessor has released its address. It ends with the node.
func (n *Node) retryReplica(config *replica.Config) {
	err := n.retryWhileAddressInUse(bindRetryInterval, func() error { return n.startReplica(config) })
	if err != nil {
		n.log.WithError(err).Error("continuing without idempotency records")
	}
}

// replicaStarted: this node has become a replica of the idempotency records.
type replicaStarted struct{ replica *replica.Replica }

func (e replicaStarted) handle(n *Node, _ float64) {
	g := n.idempotency
	g.replica = e.replica
	for _, id := range g.claimIDs() { // requests that have arrived meanwhile
		if c := g.claims[id]; c.phase == claiming {
			g.replica.Claim(c.id, c.key, c.options, c.giveUpAt)
		}
	}
	if s := n.snapshots; s != nil && s.startEmpty && n.restoredAt == 0 {
		go s.fetch(e.replica) // it ends after fetchTimeout
	}
}

// recordResult: the replica has the result of a claim or of a settlement.
type recordResult struct{ result idempotency.Result }

func (e recordResult) handle(n *Node, now float64) { n.idempotency.resultArrived(now, &e.result) }

// stopIdempotency stops the replica once all is answered and replicated, at the deadline at the latest. It does not wait for the
// connections of clients: until it returns the successor has no replica, and rejects what needs a claim.
func (n *Node) stopIdempotency(deadline time.Time) {
	if n.idempotency == nil {
		return
	}
	r, err := onLoop(n, func(float64) (*replica.Replica, error) {
		n.idempotency.closed = true
		return n.idempotency.replica, nil
	})
	if err != nil {
		n.log.WithError(err).Warn("cannot stop the idempotency replica")
	}
	if r != nil {
		r.Stop(time.Until(deadline))
	}
}

// IdempotencyStatus returns what this replica of the idempotency records holds, as JSON.
func (n *Node) IdempotencyStatus() (string, error) {
	r, err := onLoop(n, func(float64) (*replica.Replica, error) {
		if n.idempotency == nil || n.idempotency.replica == nil {
			return nil, errNoReplica
		}
		return n.idempotency.replica, nil
	})
	if err != nil {
		return "", err
	}
	status, err := r.Status()
	if err != nil {
		return "", err
	}
	text, err := json.Marshal(status)
	return string(text), err
}
