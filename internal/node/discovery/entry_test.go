package discovery

import (
	"encoding/json"
	"testing"
)

// TestMerge: fields that are missing in an update keep their values.
func TestMerge(t *testing.T) {
	known := Entry{ID: "s1", HostPort: "a:1", Flavor: "m2", Phase: "in_service", Size: 1.5, UpSince: 7}
	e, err := Merge(known, json.RawMessage(`{"id":"s1","phase":"terminated","new":{}}`))
	want := known
	want.Phase = "terminated"
	if err != nil || e != want {
		t.Errorf("%+v, %v", e, err)
	}
}
