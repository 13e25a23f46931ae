package exclusion

import (
	"encoding/json"
	"reflect"
	"testing"

	"mintspring/internal/testbed/goldentest"
)

// goldenSet returns a set with an excluded server, a readmitted one, and one that was never excluded.
func goldenSet(t *testing.T) *Set {
	t.Helper()
	set := New()
	for _, id := range []string{"box-0", "box-1", "box-2"} {
		set.MarkListed(id)
	}
	for id, at := range map[string]float64{"box-0": 1764650000123.5, "box-1": 1000} {
		if _, err := set.Exclude(id, at); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := set.Readmit("box-1", 2500.25); err != nil {
		t.Fatal(err)
	}
	return set
}

// TestGolden compares the JSON of fixed sets, as stored and as handed over, with files that an earlier build wrote, and imports those
// files.
func TestGolden(t *testing.T) {
	excluded, readmitted := map[string]float64{"box-0": 1764650000123.5}, map[string]Interval{"box-1": {From: 1000, To: 2500.25}}
	for file, c := range map[string]struct{ state, want State }{
		"empty.json":  {New().Export(true), State{Excluded: map[string]float64{}}},
		"stored.json": {goldenSet(t).Export(false), State{Excluded: excluded, Readmitted: readmitted}},
		"handed.json": {goldenSet(t).Export(true), State{Excluded: excluded, Readmitted: readmitted, Seen: []IDHash{hashID("box-0"), hashID("box-1"), hashID("box-2")}}},
	} {
		golden := goldentest.Read(t, file)
		if got, err := json.Marshal(c.state); err != nil || string(got) != string(golden) {
			t.Errorf("%s: written as %s, want %s, %v", file, got, golden, err)
		}
		var got State
		if err := json.Unmarshal(golden, &got); err != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: read as %+v, want %+v, %v", file, got, c.want, err)
		}
		set := New()
		set.Import(got)
		if again, err := json.Marshal(set.Export(true)); err != nil || string(again) != string(golden) {
			t.Errorf("%s: imported and written again as %s, %v", file, again, err)
		}
	}
}
