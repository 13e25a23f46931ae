package lease

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"mintspring/internal/testbed/goldentest"
)

func goldenState() *State {
	a, b, c := Process{Node: 1, Incarnation: 0x18bcfe56800abcd}, Process{Node: 2, Incarnation: 7}, Process{Node: 65535, Incarnation: 1<<64 - 1}
	return &State{LastToken: 9, Leases: map[string]*Lease{
		"roll":  {TTLMillis: 15000, Held: true, Holder: a, Token: 9, Renewals: 31, Waiters: []Process{b, c}, Revision: 4, ExpiredHolders: []Process{b}, Progress: []byte(`{"servers":["cache-1"]}`)},
		"empty": {TTLMillis: 0.5},
	}}
}

// The encodings of commands, results and the state are in the logs, snapshots and datagrams of running fleets: these bytes must not change.
func TestGoldenEncodings(t *testing.T) {
	a, b := Process{Node: 1, Incarnation: 0x18bcfe56800abcd}, Process{Node: 2, Incarnation: 7}
	for _, test := range []struct {
		file  string
		value any
	}{
		{"command-ask.json", Command{Kind: KindAcquire, Name: "roll", Process: a, TTLMillis: 15000}},
		{"command-renew.json", Command{Kind: KindRenew, Name: "roll", Process: a, Token: 9}},
		{"command-give-up.json", Command{Kind: KindRelease, Name: "roll", Process: a, Token: 9}},
		{"command-step.json", Command{Kind: KindUpdateProgress, Name: "roll", Process: a, Token: 9, Revision: 3, Progress: []byte{0, 1, 0xff}}},
		{"command-free.json", Command{Kind: KindExpire, Name: "roll", Token: 9, Renewals: 31}},
		{"command-pass.json", Command{Kind: KindSkipWaiter, Name: "roll", Process: b, Renewals: 31}},
		{"command-plan.json", Command{Kind: KindOverrideProgress, Name: "roll", TTLMillis: 15000, Revision: 4, Progress: []byte("{}")}},
		{"command-read.json", Command{Kind: KindRead, Name: "roll", Process: a}},
		{"result-held.json", Result{OK: true, Token: 9, Holder: a, Held: true, TTLMillis: 15000, Revision: 4, Progress: []byte("{}"), WaitersAhead: 2}},
		{"result-none.json", Result{}},
	} {
		want := goldentest.Read(t, test.file)
		got, err := json.Marshal(test.value)
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s: written as %s, %v; want %s", test.file, got, err, want)
		}
		decoded := reflect.New(reflect.TypeOf(test.value))
		if err := json.Unmarshal(want, decoded.Interface()); err != nil || !reflect.DeepEqual(decoded.Elem().Interface(), test.value) {
			t.Errorf("%s: read as %+v, %v; want %+v", test.file, decoded.Elem(), err, test.value)
		}
	}
}

func TestGoldenState(t *testing.T) {
	want := goldentest.Read(t, "state.json")
	if got := goldenState().Encode(); !bytes.Equal(got, want) {
		t.Errorf("written as %s, want %s", got, want)
	}
	if got, err := DecodeState(want); err != nil || !reflect.DeepEqual(got, goldenState()) {
		t.Errorf("read as %+v, %v", got, err)
	}
}
