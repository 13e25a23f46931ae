package quota

// Allowance is the part of a budget that a node may spend. It stays valid without updates, because its leases expire by themselves.
type Allowance struct {
	MaxNodes   int    // maximum number of nodes in the fleet
	OwnUnits   uint32 // spendable units of this node's own; a lease to another node takes effect with the next Allowance
	LentUnits  uint32 // only if the quota follows from traffic: units that are or may be lent. The node subtracts them from its latest quota.
	Leases     [maxAllowanceLeases]Lease
	LeaseCount int // number of Leases in use
}

// Lease is a number of units that a node has borrowed.
type Lease struct {
	Units     uint32
	ExpiresAt float64 // ms
}

// ShareAt returns the share of the whole budget that may be spent at a time. Expired leases do not count, so a process that resumes after a
// suspension does not spend them.
func (a *Allowance) ShareAt(now float64) float64 {
	return float64(a.OwnUnits)/TotalUnits + a.borrowedShare(now)
}

// borrowedShare returns the share of the whole budget that may be spent from leases at a time.
func (a *Allowance) borrowedShare(now float64) float64 {
	units := uint32(0)
	for _, lease := range a.Leases[:a.LeaseCount] {
		if now < lease.ExpiresAt {
			units += lease.Units
		}
	}
	return float64(units) / TotalUnits
}

// addLease adds a lease. If there is no room, the smallest lease is dropped, which may be the new one.
func (a *Allowance) addLease(lease Lease) {
	if a.LeaseCount < len(a.Leases) {
		a.Leases[a.LeaseCount] = lease
		a.LeaseCount++
		return
	}
	smallest := 0
	for i := range a.Leases {
		if a.Leases[i].Units < a.Leases[smallest].Units {
			smallest = i
		}
	}
	if a.Leases[smallest].Units < lease.Units {
		a.Leases[smallest] = lease
	}
}
