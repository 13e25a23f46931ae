package quota

import (
	"testing"

	"mintspring/internal/cluster"
	"mintspring/internal/cluster/wire"
)

// mustGrant requests units for node 1 from a ledger and requires that all of them are granted.
func mustGrant(t *testing.T, ledger *Ledger, now float64, incarnation cluster.Incarnation, seq, units uint32) {
	t.Helper()
	request := wire.QuotaRequest{Budget: budget, Seq: seq, Units: units}
	if grant := ledger.HandleRequest(now, 1, incarnation, false, request); grant.Units != units {
		t.Fatalf("granted %d units, want %d", grant.Units, units)
	}
}

// lentUnits returns the units of its only budget that a ledger considers leased out.
func lentUnits(ledger *Ledger, now float64) uint32 { return ledger.Status(now)[0].LentUnits }

// Of two leases to one process, the larger counts until it expires. Leases to two incarnations add up.
func TestLentUnitsOfOverlappingLeases(t *testing.T) {
	const start = 2.0 * leaseMs
	ledger := New(0, Config{Self: 0, QuotaOwners: 2, MaxNodes: 2, LeaseMs: leaseMs}, 1)
	mustGrant(t, ledger, start, 5, 1, 100_000)
	mustGrant(t, ledger, start+0.5*leaseMs, 5, 2, 10_000)
	mustGrant(t, ledger, start+0.5*leaseMs, 7, 1, 1000)
	for _, c := range []struct {
		now  float64
		want uint32
	}{
		{start + 0.6*leaseMs, 100_000 + 1000},
		{start + 1.04*leaseMs, 100_000 + 1000}, // the borrower's clock may be slow
		{start + 1.06*leaseMs, 10_000 + 1000},
		{start + 1.56*leaseMs, 0},
	} {
		if got := lentUnits(ledger, c.now); got != c.want {
			t.Errorf("after %.2f lease durations %d units are leased out, want %d", (c.now-start)/leaseMs, got, c.want)
		}
	}
}

// A duplicate request, or one that arrives after a later request, is not granted again.
func TestDuplicateLeaseRequestIsNotGranted(t *testing.T) {
	const start = 2.0 * leaseMs
	ledger := New(0, Config{Self: 0, QuotaOwners: 2, MaxNodes: 2, LeaseMs: leaseMs}, 1)
	mustGrant(t, ledger, start, 5, 2, 1000)
	mustGrant(t, ledger, start+0.9*leaseMs, 5, 2, 1000)
	if got := lentUnits(ledger, start+1.1*leaseMs); got != 0 {
		t.Errorf("a duplicate request extends the lease: %d units", got)
	}
	earlier := wire.QuotaRequest{Budget: budget, Seq: 1, Units: 1000}
	if grant := ledger.HandleRequest(start+0.9*leaseMs, 1, 5, false, earlier); grant.Units > 0 {
		t.Errorf("a request older than the last one is granted %d units", grant.Units)
	}
}

// Units leased out of a quota that follows from traffic are subtracted from it, even if the quota has shrunk since.
func TestShrinkingTrafficQuota(t *testing.T) {
	const now, leasedUnits = 2.0 * leaseMs, 3000
	ledger := New(0, Config{Self: 0, QuotaOwners: 1, MaxNodes: 2, LeaseMs: leaseMs}, 1)
	ledger.SetTrafficQuota(now, budget, 0.01, 0)
	request := wire.QuotaRequest{Budget: budget, Seq: 1, Units: leasedUnits}
	if grant := ledger.HandleRequest(now, 1, 5, true, request); grant.Units != leasedUnits {
		t.Fatalf("granted %d units, want %d", grant.Units, leasedUnits)
	}
	for quota, own := range map[float64]uint32{0.01: 10_485 - leasedUnits, 0.001: 0} {
		ledger.SetTrafficQuota(now, budget, quota, 0)
		if a := ledger.Allowance(now, budget); a.OwnUnits != own || a.LentUnits != leasedUnits {
			t.Errorf("quota %v: %d units may be spent and %d are lent, want %d and %d", quota, a.OwnUnits, a.LentUnits, own, leasedUnits)
		}
	}
}
