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
	"mintspring/internal/testbed/servermodel"
)

// idempotencyAddrEnvPrefix begins the names of the environment variables MINTSPRING_REPLICA_1, MINTSPRING_REPLICA_2 and so on, which hold
// the addresses of the idempotency replicas: the node's own address for itself, a relay's for the others.
const idempotencyAddrEnvPrefix = "MINTSPRING_REPLICA_"

// nodeSet is the nodes of a run.
type nodeSet struct {
	runners          []*nodeRunner // by node
	fleet            *fakes.Fleet
	gossipRelay      *faultrelay.Relay         // between the nodes; nil if they do not gossip
	idempotency      *operatorfile.Idempotency // nil without idempotency records
	idempotencyRelay *faultrelay.Relay         // between the idempotency replicas; nil without idempotency records
}

// startNodeSet starts the nodes and waits until all are serving. Even on error it returns the set, which the caller must close.
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
			coreShare: x.Nodes.CoreShare, killTimeout: min(x.LongestTimeout(), maxRequestDeadline) + killGrace,
		}
		set.runners = append(set.runners, n)
		if err := set.prepareNode(n, x, seed); err != nil {
			return set, err
		}
	}
	for _, n := range set.runners {
		if err := n.start(); err != nil {
			return set, err
		}
	}
	for _, n := range set.runners {
		if err := n.waitReady(startTimeout); err != nil {
			return set, err
		}
	}
	return set, nil
}

// startRelays starts the gossip relay and the idempotency relay if the operator's file requires them.
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

// startIdempotencyRelay starts the relay between the idempotency replicas, if the operator's file has any.
func (s *nodeSet) startIdempotencyRelay(x *experiment.Experiment, seed uint64) error {
	file, err := operatorfile.Read(x.OperatorFile())
	if err != nil || file.Idempotency == nil {
		return err
	}
	s.idempotency = file.Idempotency
	s.idempotencyRelay, err = faultrelay.Start(x.Nodes.Count, seed+1)
	return err
}

// prepareNode sets up a node's addresses, configuration, empty data directory and log.
func (s *nodeSet) prepareNode(n *nodeRunner, x *experiment.Experiment, seed uint64) error {
	var err error
	if n.addr, err = n.reserveAddress(); err != nil {
		return err
	}
	if err := n.clearDataDir(); err != nil { // an earlier run may have used the same folder
		return err
	}
	if n.config, err = newNodeConfig(x, n.index, n.addr, s.fleet.Discovery.Addr(n.index), seed); err != nil {
		return err
	}
	if x.Nodes.KnownList {
		n.config.Known = s.fleet.Discovery.List(servermodel.NodeID(n.index))
	}
	if s.gossipRelay != nil {
		if err := s.configurePeers(n, x.Nodes.Count); err != nil {
			return err
		}
	}
	if err := s.configureIdempotency(n, x.Nodes.Count); err != nil {
		return err
	}
	if needsAdminAccess(x) && n.program.InProcess == nil {
		if err := n.openListenSocket(); err != nil {
			return err
		}
	}
	return n.createLog()
}

// reserveUDP reserves an address for a node's datagrams and sets it as the relay's destination for the node.
func (n *nodeRunner) reserveUDP(relay *faultrelay.Relay) (addr string, err error) {
	port, err := reservedport.ReserveUDP()
	if err != nil {
		return "", err
	}
	n.ports = append(n.ports, port)
	return port.Addr(), relay.SetDestination(n.index, port.Addr())
}

// configurePeers sets a node's own gossip address, and relay addresses for its peers.
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

// configureIdempotency sets the addresses of the idempotency replicas in the node's environment. If the node is a replica, it also creates
// empty storage, as for a new idempotency group.
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
		n.env = append(n.env, fmt.Sprint(idempotencyAddrEnvPrefix, i+1, "=", addr))
	}
	if !s.idempotency.IsReplica(n.index + 1) {
		return nil
	}
	dir := os.Expand(s.idempotency.DataDir, func(string) string { return n.dataDir() })
	owner := storage.Owner{Group: s.idempotency.Name, Member: idempotency.MemberID(n.index)}
	return storage.Create(dir, owner, cluster.NewIncarnation(float64(time.Now().UnixMilli()), 0))
}

// relays returns the relays that are running.
func (s *nodeSet) relays() (relays []*faultrelay.Relay) {
	for _, r := range []*faultrelay.Relay{s.gossipRelay, s.idempotencyRelay} {
		if r != nil {
			relays = append(relays, r)
		}
	}
	return relays
}

// errNoPeers reports a change of the links between nodes when neither relay is running.
var errNoPeers = errors.New("the nodes have no links to change: no gossip or idempotency relay is running")

// updateLinks applies a change to the links of every relay.
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

// cpuSeconds returns the processor time of the processes of each node that have ended.
func (s *nodeSet) cpuSeconds() (seconds []float64) {
	for _, n := range s.runners {
		n.mu.Lock()
		seconds = append(seconds, n.endedCPU.Seconds())
		n.mu.Unlock()
	}
	return seconds
}

// close kills all nodes in parallel and closes the relays. It may be called more than once.
func (s *nodeSet) close() {
	var closing sync.WaitGroup
	for _, n := range s.runners {
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
