package node

import (
	"mintspring/internal/clock"
	"mintspring/internal/config/operatorfile"
	"mintspring/internal/config/settings"
	"mintspring/internal/fleet"
	"mintspring/internal/node/connpool"
	"mintspring/internal/node/discovery"
	"mintspring/internal/node/inflight"
	"mintspring/internal/state/snapshotfile"
)

// Policy is the interface of the decision module to the loop.
type Policy = inflight.Policy

// Config is the configuration of a node.
type Config struct {
	Name           string
	Discovery      string           // address of the discovery service
	CachedList     discovery.Update // endpoint list known at the start
	Deployment     settings.Deployment
	Clock          *clock.Clock       // nil: a new clock that begins at the wall-clock time; a successor's clock continues its predecessor's
	MemoryMB       int                // memory limit of the process; 0: none
	MaxDescriptors int                // limit on file descriptors; 0: none
	AdminEnabled   bool               // the admin port is open
	Operator       *operatorfile.File // nil: every optional part is off

	// UnattendedListener is set if the listener is older than this process and no other process accepts clients from it.
	UnattendedListener bool

	// PeerListen is the address on which datagrams of peers are received, and Peers the addresses of all nodes by their number. The
	// operator's file has precedence over both.
	PeerListen string
	Peers      []string

	// NewPolicy makes the decision module; nil: decide.New.
	NewPolicy func(now float64, limits fleet.Limits, slab *fleet.Slab) Policy
	// SnapshotFileSystem returns the file system of the snapshot directory; nil: the operating system's.
	SnapshotFileSystem func(dir string) snapshotfile.FileSystem
}

const (
	// firstRequestTimeout is how long a client may take to complete its first request, in ms. The operators' page of daily operation
	// allows 2,000 for the head of a command, and the page of bad clients requires that a connection whose command is never completed is
	// closed within 3,000. Ordinary clients send soon after connecting; clients that never send come by the hundred and would otherwise
	// use up the descriptors that ordinary clients need.
	firstRequestTimeout = 2500

	// minIdleBeforeEviction is how long a client connection without a request in flight is kept before it may be closed to free a
	// descriptor, in ms (the operators' page of the service, "The long day").
	minIdleBeforeEviction = 2000

	// minStreamStall is how long a server may pause within a large value at least, in ms: what it still gives must not be cut off (the operators'
	// page of daily operation, "Less room"), and the deadlines of requests do not apply once the first bytes have come.
	minStreamStall = 10_000

	// duplicateWindow is how long after a response a duplicate of it may arrive, in ms. The operators' page of the standing test has second
	// answers that "come some milliseconds late", which the network may delay by some milliseconds more than the response.
	duplicateWindow = 20
	// maxHoldUp is how long a node may be held up between two steps, in ms (the operators' page of the standing test).
	maxHoldUp = 150
	// compareWindow is how long after a response those on its connection are compared with it, in ms: the next request may be sent at the end
	// of the duplicateWindow, and the duplicate that crosses it be read after a hold-up.
	compareWindow = 2*duplicateWindow + maxHoldUp

	// memoryDivisor gives 1/memoryDivisor of the memory limit to each of these: buffered commands and responses, commands that have not arrived
	// completely, large values of the origin whose length is not known in advance, and large values that clients write.
	memoryDivisor = 8
	// replyMemoryDivisor gives 1/replyMemoryDivisor of the memory limit to the replies of clients that send many requests at once.
	replyMemoryDivisor = 4
)

// ConnectTimeout returns how long a connection to a server may take to be established, in ms.
func ConnectTimeout(deployment *settings.Deployment) float64 {
	if deployment.ConnectTimeout > 0 {
		return deployment.ConnectTimeout
	}
	_, longestTimeout := deployment.TimeBounds()
	return longestTimeout / 4
}

// SlotRetention returns how long a removed server that comes back gets its slot in the server table again, in ms.
func SlotRetention(deployment *settings.Deployment) float64 {
	_, longestTimeout := deployment.TimeBounds()
	return longestTimeout + deployment.Limits.StopSendingWithin
}

// PoolConfigs returns the configuration of the connection pools to a cache server and to the origin. Without operator.Connections the
// pools have no limits beyond those of the servers.
func PoolConfigs(deployment *settings.Deployment, operator *operatorfile.File) (cache, origin connpool.Config) {
	quantum := deployment.Limits.Quantum
	base := connpool.Config{
		Nodes:           deployment.Limits.Nodes,
		NodeIndex:       deployment.NodeIndex,
		Cooldown:        quantum / 2,
		DuplicateWindow: duplicateWindow,
		CompareWindow:   compareWindow,
		DialAfterWait:   10 * quantum,
		IdleTimeout:     0.75 * deployment.ConnIdleTimeout,
		StartupWindow:   deployment.Limits.WarmUpTime,
	}
	cache, origin = base, base
	if operator != nil && operator.Connections != nil {
		cache, origin = operator.Connections.PoolConfigs(base)
	}
	cache.Fences = deployment.ProbesAllowed // elsewhere a PING may be answered before the requests ahead of it
	return cache, origin
}
