// Package idempotency replicates records of operations that must not take effect twice. A record says whether an operation is in flight and
// how it ended, and survives the loss of a machine with its disk. Each operation, identified by its idempotency key, is a separate register
// that a few members of the fleet store (the key's replicas). Each change of a register is agreed on by single-decree Paxos with its own
// ballot, as in CASPaxos. There is no leader and no log: if a quorum of a key's replicas is reachable, a change succeeds at once; otherwise
// nothing is granted.
//
// Core is one member. As a proposer it drives claims, settlements and repairs; as an acceptor it stores records and votes. It does no I/O
// and reads no clock: the caller passes in times as float64 milliseconds of a monotonic clock, and ages are in milliseconds. The caller
// sends the messages and syncs the entries of Core.Ready, and calls Core.Advance once they are synced. A Core is not safe for concurrent
// use.
//
// Guarantees:
//
//   - Only one claim of a key is granted at a time. The next claim can be granted once the owner of the granted claim has recorded
//     that the operation was not executed, or that the owner sends no more attempts.
//   - Each later claim gets the settled outcome, for Config.RetentionMs from the record's last change.
//   - A claim that reaches no quorum gets DecisionNoQuorum by its deadline.
//
// The guarantees hold through lost, late, duplicated and reordered messages, through processes that crash or pause at any moment, and
// through the loss of any minority of a key's replicas with their disks. docs/notes/idempotency.md has the argument and its assumptions.
package idempotency
