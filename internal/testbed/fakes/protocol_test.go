package fakes

import (
	"bytes"
	"testing"
)

// Only a read or a write with all of its words is a request to a cache server. The case of the command name does not matter.
func TestIsCacheRequest(t *testing.T) {
	for text, want := range map[string]bool{
		"KV.GET key id c=read":            true,
		"kv.get key id c=read":            true,
		"KV.SET key id c=put value":       true,
		"KV.GET key id":                   false,
		"KV.SET key id c=put":             false,
		"GET /catalog/members HTTP/1.1":   false,
		"Host: 127.0.0.1:38557":           false,
		"Accept: any thing else that has": false,
		"":                                false,
	} {
		if got := IsCacheRequest(bytes.Fields([]byte(text))); got != want {
			t.Errorf("%q: %v", text, got)
		}
	}
}
