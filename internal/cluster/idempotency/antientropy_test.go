package idempotency

import "testing"

// A late answer to an earlier scan does not end the current one. Otherwise the scan could report consistency without the peer's current
// records.
func TestLateAnswersToAnEarlierScan(t *testing.T) {
	c := newTestCore(0, nil, func(c *Config) { c.AntiEntropyIntervalMs = 100 })
	c.Tick(1)
	request := c.Ready().Messages[0]
	if request.Type != MsgCompare || request.To != 1 || request.Ballot.Claim.Number != 1 {
		t.Fatalf("%+v", request)
	}
	page := func(from MemberID, scan uint64) Message {
		return Message{Type: MsgComparePage, From: from, Ballot: Ballot{Claim: ClaimID{Number: scan}}}
	}
	answer := func(now float64, scan uint64) []*Message {
		deliver(c, now, page(1, scan))
		c.Tick(now + 0.1)
		return c.Ready().Messages
	}
	if sent := answer(2, 0); len(sent) > 0 {
		t.Errorf("after a late answer the scan continues with %+v", sent[0])
	}
	if sent := answer(3, 1); len(sent) != 1 || sent[0].To != 2 {
		t.Errorf("after its answer the scan continues with %+v", sent)
	}
	if s := c.Status(3); s.ConsistentMs != -1 {
		t.Errorf("before the scan is over: %+v", s)
	}
	deliver(c, 4, page(2, 1))
	if s := c.Status(5); s.ConsistentMs != 4 || len(s.UnresponsivePeers) > 0 {
		t.Errorf("after the scan: %+v", s)
	}
}
