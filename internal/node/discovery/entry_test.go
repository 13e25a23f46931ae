package discovery

import (
	"encoding/json"
	"reflect"
	"testing"
)

// TestMissingFieldsKeepTheirValues: fields that are missing or null in an update keep their values, also where they are empty.
func TestMissingFieldsKeepTheirValues(t *testing.T) {
	known := Entry{ID: "s1", HostPort: "a:1", Locality: "z", Flavor: "m2", Cell: 3, Phase: "in_service", Size: 1.5, UpSince: 7}
	for _, tt := range []struct {
		text   string
		change func(*Entry)
	}{
		{`{"id":"s1","phase":"terminated","new":{}}`, func(e *Entry) { e.Phase = "terminated" }},
		{`{"id":"s1","host_port":null,"cell":null,"size":null}`, func(*Entry) {}},
		{
			`{"id":"s1","host_port":"","locality":"","flavor":"","cell":0,"phase":"","size":0,"up_since_ms":0}`,
			func(e *Entry) { *e = Entry{ID: "s1"} },
		},
		{`{"ID":"s1","Host_Port":"b:2"}`, func(e *Entry) { e.HostPort = "b:2" }},
	} {
		update, err := ParseEntry(json.RawMessage(tt.text))
		want := known
		tt.change(&want)
		if got := update.ApplyTo(known); err != nil || got != want {
			t.Errorf("%s: %+v, %v; want %+v", tt.text, got, err, want)
		}
	}
}

// Entries of a stored list that cannot be parsed are left out.
func TestParseEntries(t *testing.T) {
	texts := []json.RawMessage{json.RawMessage(`{"id":"a"}`), json.RawMessage(`{"id":""}`), json.RawMessage(`{"id":7}`), json.RawMessage(`[1]`), json.RawMessage(`{"id":"b"}`)}
	entries, errs := ParseEntries(texts)
	if want := []EntryUpdate{{ID: "a"}, {ID: "b"}}; !reflect.DeepEqual(entries, want) || len(errs) != 3 {
		t.Errorf("%+v, %v", entries, errs)
	}
}
