package quota

// Allowance is what a node may spend of a budget. It stays valid without updates: leases in it expire by themselves.
type Allowance struct {
	MaxNodes   int    // nodes that the fleet may have
	OwnUnits   uint32 // units, until some of them are leased out, which yields a new Allowance
	LentUnits  uint32 // units missing of a quota that follows from this node's traffic, which the node knows better by then
	Leases     [maxAllowanceLeases]Lease
	LeaseCount int // of Leases that are in use
}

// Lease is a number of units that a node has borrowed.
type Lease struct {
	Units     uint32
	ExpiresAt float64 // ms
}

// ShareAt returns what may be spent at a time, as a share of the whole budget. A process that was suspended gets only what has not expired.
func (a *Allowance) ShareAt(now float64) float64 {
	return float64(a.OwnUnits)/TotalUnits + a.borrowed(now)
}

// borrowed returns the borrowed part of what may be spent at a time, as a share of the whole budget.
func (a *Allowance) borrowed(now float64) float64 {
	units := uint32(0)
	for _, lease := range a.Leases[:a.LeaseCount] {
		if now < lease.ExpiresAt {
			units += lease.Units
		}
	}
	return float64(units) / TotalUnits
}

// addLease adds a lease. If there is no room for it, it replaces the smallest one or is not used.
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
