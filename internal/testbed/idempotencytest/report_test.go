package idempotencytest

import "testing"

// Receipts that differ, belong to no execution or are lost are counted.
func TestReceipts(t *testing.T) {
	executed := []string{"a", "b"}
	for name, c := range map[string]struct {
		attempts      []attempt
		changed, lost int
	}{
		"completed and replayed":       {[]attempt{{0, 1, 2, answerCompleted, "a"}, {0, 3, 4, answerReplayed, "a"}}, 0, 0},
		"another receipt":              {[]attempt{{0, 1, 2, answerCompleted, "a"}, {0, 3, 4, answerReplayed, "b"}}, 1, 0},
		"receipt of no execution":      {[]attempt{{0, 1, 2, answerUnsettled, "c"}}, 1, 0},
		"lost after it was recorded":   {[]attempt{{0, 1, 2, answerCompleted, "a"}, {0, 3, 4, answerUnknown, ""}}, 0, 1},
		"no quorum is no loss":         {[]attempt{{0, 1, 2, answerCompleted, "a"}, {0, 3, 4, answerNoQuorum, ""}}, 0, 0},
		"requested before it recorded": {[]attempt{{0, 1, 5, answerCompleted, "a"}, {0, 3, 4, answerUnknown, ""}}, 0, 0},
		"not recorded":                 {[]attempt{{0, 1, 2, answerUnsettled, "a"}, {0, 3, 4, answerUnknown, ""}}, 0, 0},
		"no answer":                    {[]attempt{{0, 1, 2, answerCompleted, "a"}, {0, 3, 0, "", ""}}, 0, 0},
	} {
		if changed, lost := changedReceipts(c.attempts, executed), lostReceipts(c.attempts); changed != c.changed || lost != c.lost {
			t.Errorf("%s: %d changed, %d lost; want %d, %d", name, changed, lost, c.changed, c.lost)
		}
	}
}
