package recordlog

import (
	"errors"
	"testing"

	"mintspring/internal/testbed/goldentest"
)

// A record that cannot be decoded is dropped after the synced length, and reported as an error before it.
func TestReplayOfDamagedFiles(t *testing.T) {
	first := Append(nil, 'a', []byte("first"))
	both := Append(first, 'b', []byte("second"))
	damaged := append([]byte{}, both...)
	damaged[len(damaged)-1] ^= 1
	errApply := errors.New("not a known kind")
	for name, c := range map[string]struct {
		contents     []byte
		synced       int
		rejectedKind byte // apply refuses records of this kind
		size         int
		wantError    error
	}{
		"complete":                          {contents: both, synced: len(both), size: len(both)},
		"empty":                             {},
		"truncated after the synced bytes":  {contents: both[:len(both)-1], synced: len(first), size: len(first)},
		"truncated header":                  {contents: both[:len(first)+headerSize-1], synced: len(first), size: len(first)},
		"damaged after the synced bytes":    {contents: damaged, synced: len(first), size: len(first)},
		"refused after the synced bytes":    {contents: both, synced: len(first), rejectedKind: 'b', size: len(first)},
		"shorter than what was synced":      {contents: first, synced: len(both), wantError: ErrCorrupt},
		"truncated within the synced bytes": {contents: append(first[:len(first):len(first)], both[len(first):len(both)-1]...), synced: len(first) + 1, wantError: ErrTruncated},
		"damaged within the synced bytes":   {contents: damaged, synced: len(both), wantError: ErrChecksum},
		"refused within the synced bytes":   {contents: both, synced: len(both), rejectedKind: 'b', wantError: errApply},
	} {
		size, err := Replay("file", c.contents, int64(c.synced), func(kind byte, _ []byte) error {
			if kind == c.rejectedKind {
				return errApply
			}
			return nil
		})
		if size != c.size || !errors.Is(err, c.wantError) || c.wantError != nil && !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: %d, %v; want %d, %v", name, size, err, c.size, c.wantError)
		}
	}
}

func TestParseSyncMarkOfDamagedFiles(t *testing.T) {
	mark := goldentest.Read(t, "mark.bin")
	flipped := append([]byte{}, mark...)
	flipped[3] ^= 1
	for name, c := range map[string]struct {
		mark      []byte
		count     int
		wantError error
	}{
		"complete":       {mark, 3, nil},
		"not written":    {nil, 3, nil},
		"truncated":      {mark[:len(mark)-1], 3, ErrCorrupt},
		"another number": {flipped, 3, ErrCorrupt},
		"another count":  {mark, 2, ErrCorrupt},
	} {
		if _, err := ParseSyncMark("mark", c.mark, c.count); !errors.Is(err, c.wantError) {
			t.Errorf("%s: %v, want %v", name, err, c.wantError)
		}
	}
}
