package node

import (
	"slices"

	"mintspring/internal/fleet"
)

// addressIndex finds the servers whose entries in the endpoint list have a given address, also those that are not in service. The zero value
// is empty and ready to use.
type addressIndex struct {
	slots map[string][]fleet.ServerID // in ascending order
}

// at returns the servers with an address, in ascending order. The result must not be changed, and is valid until the next call of move.
func (x *addressIndex) at(address string) []fleet.ServerID { return x.slots[address] }

// move records that the entry of a server has another address. An empty address stands for none.
func (x *addressIndex) move(id fleet.ServerID, from, to string) {
	if from == to {
		return
	}
	x.remove(id, from)
	if to == "" {
		return
	}
	if x.slots == nil {
		x.slots = map[string][]fleet.ServerID{}
	}
	slots := x.slots[to]
	i, _ := slices.BinarySearch(slots, id)
	x.slots[to] = slices.Insert(slots, i, id)
}

func (x *addressIndex) remove(id fleet.ServerID, address string) {
	slots := x.slots[address]
	i, found := slices.BinarySearch(slots, id)
	switch {
	case !found:
	case len(slots) == 1:
		delete(x.slots, address)
	default:
		x.slots[address] = slices.Delete(slots, i, i+1)
	}
}
