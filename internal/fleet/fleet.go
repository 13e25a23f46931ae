// Package fleet defines the plain types that the decision module and its callers exchange: identifiers, request classes and limits,
// endpoints and load reports, requests with their attempts, decisions, and the slab and timers that hold them.
//
// Times of type float64 are ms on the caller's clock, durations ms, unless a comment says otherwise. The package does no I/O and reads no
// clock. Its types are not safe for concurrent use.
package fleet

// ServerID is a server's slot in the node's own server table.
type ServerID int32

// NoServer is the ServerID of no server.
const NoServer ServerID = -1

// RequestID numbers the requests of a node.
type RequestID uint32

// Key is the hash of a request's key.
type Key uint64

// ClassID identifies a request class by its index in Limits.Classes.
type ClassID int32

// TenantID identifies a tenant by its index in the settings.
type TenantID int32

// ZoneID identifies a zone by its index in the settings.
type ZoneID int32

// KindID identifies a kind of server by its index in the settings.
type KindID int32

// CellID identifies a group of servers within a zone.
type CellID int32
