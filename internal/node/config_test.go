package node

import (
	"testing"

	"mintspring/internal/config/settings"
	"mintspring/internal/fleet"
	"mintspring/internal/node/connpool"
)

// Times of the operators' page of the standing test, in ms: a second answer may come some milliseconds late, and a node may be held up for
// 0.15 s.
const (
	lateDuplicate = 20
	holdUp        = 150
)

type (
	poolConn    struct{ connpool.Conn }
	poolAttempt struct{ connpool.Waiter }
)

// poolOwner is the owner of a pool whose connections are never opened or closed.
type poolOwner struct{}

func (poolOwner) Dial(string)                             {}
func (poolOwner) Assign(float64, *poolConn, *poolAttempt) {}
func (poolOwner) CloseConn(*poolConn)                     {}
func (poolOwner) TickAfter(float64)                       {}

// Guards against a duplicate that is taken for the response to the next request because the node is held up between sending that request
// and reading the duplicate.
func TestDuplicateIsRecognizedAfterHoldUp(t *testing.T) {
	deployment, err := settings.Parse([]byte(settingsText), 7)
	if err != nil {
		t.Fatal(err)
	}
	cache, origin := PoolConfigs(&deployment, nil)
	for name, test := range map[string]struct {
		config      connpool.Config
		result      fleet.Result
		recognition connpool.Recognition
	}{
		"value of a cache server":   {cache, fleet.Completed, connpool.ByFence},
		"miss of a cache server":    {cache, fleet.Missed, connpool.ByFence},
		"value of the origin":       {origin, fleet.Completed, connpool.ByValue},
		"rejection of the origin":   {origin, fleet.Declined, connpool.AsRepeat},
		"failure of the origin":     {origin, fleet.Failed, connpool.AsRepeat},
		"miss, server has no fence": {origin, fleet.Missed, connpool.AsRepeat},
	} {
		pool := connpool.New(connpool.NewPolicy(test.config, 1, 0), &connpool.Counters{}, connpool.Owner[*poolConn, *poolAttempt](poolOwner{}))
		pool.SetTarget(0, "", true)
		conn, report := &poolConn{}, fleet.NewLoadReport()
		digest := connpool.DigestOf(test.result, nil, 0, &report)
		pool.DialSucceeded(0, conn)
		key := func(k connpool.KeyHash) *poolAttempt { return &poolAttempt{connpool.Waiter{Key: k}} }
		pool.Acquire(0, key(1))
		pool.Responded(1000, conn, connpool.Response{Digest: digest, Recognition: test.recognition})
		pool.Acquire(1000+lateDuplicate-1, key(2))
		if pool.State().InUse != 1 {
			t.Fatalf("%s: the connection is not reused", name)
		}
		if got := pool.Compare(1000+lateDuplicate+holdUp, conn, digest); got == connpool.Original {
			t.Errorf("%s: a duplicate that is read %d ms after its request is taken for the response", name, holdUp)
		}
	}
}
