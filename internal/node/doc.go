// Package node runs one node: the event loop that owns all decisions, and the sockets around it.
//
// The node decides nothing itself. The loop passes each event to the decision module through the table of requests in flight
// (package inflight) and carries out what the module returns.
//
// # Goroutines
//
// One goroutine, [Node.loop], owns the decision module and every field below "Owned by the loop" in [Node]. It also owns the
// node's clusterMember, maintenanceTask and claimManager, and the fields of its snapshotStore below the same words. The loop never
// blocks on a socket, a disk or another process.
//
// All other goroutines reach that state only by posting an event to the inbox, which never blocks, or by calling onLoop,
// onLoopWithin or [Node.runOnLoop], which wait for the loop. They are:
//
//   - the connections of clients (package clients) and of servers (package upstream), the client of the discovery service and the
//     socket to the peers, each owned by its package and ended by [Node.Stop];
//   - the writer of snapshots, ended by snapshotStore.writeFinal;
//   - during a hot restart the reader of the channel to the other process, which calls the methods of hotrestart.Handler, and
//     reportDescriptors and becomeReady, which end with the channel or the node;
//   - the retries of an address that the predecessor still holds, which end when the address is free or the node stops.
//
// The mutex in handover guards the phase of a hot restart; nothing is sent while it is held.
//
// # Units
//
// A time of type float64 is in Unix milliseconds of the node's clock, a duration of type float64 in milliseconds. "now" is the
// time at the start of the current iteration of the loop.
package node
