package decide

import (
	"testing"

	"mintspring/internal/fleet"
)

// startUpload sends an idempotent write whose value is still arriving.
func (h *harness) startUpload(key fleet.Key) *requestTrace {
	const uploadTime = 20_000
	req := h.slab.Alloc()
	req.Class, req.Key, req.HasKey, req.Write, req.Uploading = idempotentClass, key, true, true, true
	req.ArrivedAt, req.Deadline = h.now, h.now+uploadTime
	trace := &requestTrace{req: req, ref: req.Ref, deadline: req.Deadline}
	h.open = append(h.open, trace)
	h.apply(trace, h.node.Route(h.now, req))
	return trace
}

// An attempt whose value is still arriving, or whose value has been read, is neither cancelled nor hedged because its server answers others
// meanwhile. It was once taken for one on a lost connection, and no other attempt could have had the value.
func TestUploadIsNotReplaced(t *testing.T) {
	for _, hedging := range []bool{false, true} {
		for _, complete := range []bool{false, true} {
			limits := testLimits()
			limits.Hedging = hedging
			h := newHarness(limits)
			h.listServers(4)
			h.node.hedgeBudget = 10
			upload := h.startUpload(5)
			if complete {
				upload.req.ValueConsumed = true
				h.node.UploadDone(h.now, upload.req)
			}
			for key := fleet.Key(100); h.now < harnessStart+2000; key++ {
				other := h.request(idempotentClass, key, true, clientTimeout)
				h.advance(5)
				h.hit(other, 0)
			}
			if attempts := upload.attempts; len(attempts) != 1 || attempts[0].result != fleet.Pending {
				t.Errorf("hedging %v, complete %v: attempts %+v", hedging, complete, attempts)
			}
			h.expectNoViolation(t)
		}
	}
}

// A write is hedged at the origin or not at all, also while the origin is busy. It was once hedged at a cache, which only stores.
func TestWriteIsNotHedgedAtCache(t *testing.T) {
	const origin fleet.ServerID = 4
	h := newHarness(testLimits())
	h.listServers(int(origin))
	h.node.hedgeBudget = 10
	write := h.request(idempotentClass, 5, true, 2000)
	for key := fleet.Key(100); h.now < harnessStart+1500; key++ {
		other := h.request(idempotentClass, key, true, clientTimeout)
		h.advance(5)
		h.hit(other, 0)
	}
	for _, a := range write.attempts {
		if a.server != origin {
			t.Errorf("attempts %+v", write.attempts)
		}
	}
	h.expectNoViolation(t)
}
