package processrunner

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/faultrelay"
	"mintspring/internal/cluster/idempotency"
	"mintspring/internal/cluster/idempotency/storage"
	"mintspring/internal/config/operatorfile"
	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/fakes"
	"mintspring/internal/testbed/reservedport"
)

// idempotencyAddrVariable names the replicas of idempotency records in the environment of a node: MINTSPRING_REPLICA_1 and so on are their
// addresses, the node's own one or a relay's.
const idempotencyAddrVariable = "MINTSPRING_REPLICA_"

// nodeSet is the nodes of a run.
type nodeSet struct {
	all              []*nodeRunner // by number
	fleet            *fakes.Fleet
	gossipRelay      *faultrelay.Relay         // between the nodes; nil: they do not send messages to one another
	idempotency      *operatorfile.Idempotency // nil: there are no idempotency records
	idempotencyRelay *faultrelay.Relay         // between the replicas of idempotency records
}

// startNodeSet starts the nodes and waits until each serves. What was started is returned also with an error, to be closed.
func startNodeSet(x *experiment.Experiment, fleet *fakes.Fleet, program nodeProgram, dir string, seed uint64) (*nodeSet, error) {
	set := &nodeSet{fleet: fleet}
	if !program.NoOperatorFile {
		if err := set.startRelays(x, seed); err != nil {
			return set, err
		}
	}
	for i := range x.Nodes.Count {
		n := &nodeRunner{
			index: i, dir: dir, program: program, operatorFile: x.OperatorFile(),
			killAfter: min(x.LongestTimeout(), maxKillDeadline) + killMargin,
		}
		set.all = append(set.all, n)
		if err := set.prepare(n, x, seed); err != nil {
			return set, err
		}
	}
	for _, n := range set.all {
		if err := n.start(); err != nil {
			return set, err
		}
	}
	for _, n := range set.all {
		if err := n.waitReady(startTimeout); err != nil {
			return set, err
		}
	}
	return set, nil
}

// startRelays starts the relays between nodes that the operator's file requires.
func (s *nodeSet) startRelays(x *experiment.Experiment, seed uint64) error {
	hasPeers, err := x.HasPeers()
	if err != nil {
		return err
	}
	if hasPeers {
		if s.gossipRelay, err = faultrelay.Start(x.Nodes.Count, seed); err != nil {
			return err
		}
	}
	return s.startIdempotencyRelay(x, seed)
}

// startIdempotencyRelay starts the relay between the replicas of idempotency records, if the operator's file has any.
func (s *nodeSet) startIdempotencyRelay(x *experiment.Experiment, seed uint64) error {
	file, err := operatorfile.Read(x.OperatorFile())
	if err != nil || file.Idempotency == nil {
		return err
	}
	s.idempotency = file.Idempotency
	s.idempotencyRelay, err = faultrelay.Start(x.Nodes.Count, seed+1)
	return err
}

// prepare gives a node its addresses, its configuration and an empty data directory.
func (s *nodeSet) prepare(n *nodeRunner, x *experiment.Experiment, seed uint64) error {
	var err error
	if n.addr, err = n.reserveAddress(); err != nil {
		return err
	}
	if err := n.clearDataDir(); err != nil { // an earlier run in this folder must not matter
		return err
	}
	if n.config, err = newNodeConfig(x, n.index, n.addr, s.fleet.Discovery.Addr(n.index), seed); err != nil {
		return err
	}
	if s.gossipRelay != nil {
		if err := s.configurePeers(n, x.Nodes.Count); err != nil {
			return err
		}
	}
	if err := s.configureIdempotency(n, x.Nodes.Count); err != nil {
		return err
	}
	if usesHotRestart(x) && n.program.InProcess == nil {
		if err := n.holdListenSocket(); err != nil {
			return err
		}
	}
	return n.createLog()
}

// reserveUDP reserves an address for a node's datagrams and has a relay deliver there.
func (n *nodeRunner) reserveUDP(relay *faultrelay.Relay) (addr string, err error) {
	port, err := reservedport.ReserveUDP()
	if err != nil {
		return "", err
	}
	n.ports = append(n.ports, port)
	return port.Addr(), relay.SetDestination(n.index, port.Addr())
}

// configurePeers sets a node's own address for gossip, and the relay's addresses as those of the others.
func (s *nodeSet) configurePeers(n *nodeRunner, count int) error {
	own, err := n.reserveUDP(s.gossipRelay)
	if err != nil {
		return err
	}
	peers := make([]string, count)
	for i := range peers {
		if peers[i] = own; i != n.index {
			peers[i] = s.gossipRelay.Addr(n.index, i)
		}
	}
	n.config.PeerListen, n.config.Peers = own, peers
	return nil
}

// configureIdempotency sets the addresses of the replicas of idempotency records, and creates its own storage: the records begin
// with this run.
func (s *nodeSet) configureIdempotency(n *nodeRunner, count int) error {
	if s.idempotency == nil {
		return nil
	}
	own, err := n.reserveUDP(s.idempotencyRelay)
	if err != nil {
		return err
	}
	for i := range count {
		addr := own
		if i != n.index {
			addr = s.idempotencyRelay.Addr(n.index, i)
		}
		n.env = append(n.env, fmt.Sprint(idempotencyAddrVariable, i+1, "=", addr))
	}
	if !s.idempotency.IsReplica(n.index + 1) {
		return nil
	}
	dir := os.Expand(s.idempotency.DataDir, func(string) string { return n.dataDir() })
	owner := storage.Owner{Group: s.idempotency.Name, Member: idempotency.MemberID(n.index)}
	return storage.Create(dir, owner, cluster.NewIncarnation(float64(time.Now().UnixMilli()), 0))
}

// relays returns the relays that there are.
func (s *nodeSet) relays() (relays []*faultrelay.Relay) {
	for _, r := range []*faultrelay.Relay{s.gossipRelay, s.idempotencyRelay} {
		if r != nil {
			relays = append(relays, r)
		}
	}
	return relays
}

// errNoPeers says that there are no links between nodes that could be changed.
var errNoPeers = errors.New("the nodes do not send messages to one another")

// updateLinks changes the links between nodes.
func (s *nodeSet) updateLinks(change func(*faultrelay.Links)) error {
	relays := s.relays()
	if len(relays) == 0 {
		return errNoPeers
	}
	for _, r := range relays {
		r.UpdateLinks(change)
	}
	return nil
}

// close kills all nodes, side by side, and ends the relays. Closing a set twice is fine.
func (s *nodeSet) close() {
	var closing sync.WaitGroup
	for _, n := range s.all {
		closing.Go(func() {
			n.terminate(syscall.SIGKILL)
			n.release()
		})
	}
	closing.Wait()
	for _, r := range s.relays() {
		r.Close()
	}
}
