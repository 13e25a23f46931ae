package wire

import "hash/fnv"

// HashFleet returns the form of a fleet's name on the wire.
func HashFleet(name string) uint32 { return HashName(name) }

// HashName returns the form of the name of a server, budget, tenant or key on the wire.
func HashName(name string) uint32 {
	h := fnv.New64a()
	h.Write([]byte(name)) //nolint:errcheck // a hash never fails
	sum := h.Sum64()
	return uint32(sum ^ sum>>32)
}
