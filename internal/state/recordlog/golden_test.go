package recordlog

import (
	"bytes"
	"encoding/binary"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"mintspring/internal/testbed/goldentest"
)

// The encoding of records and of sync marks does not change between versions: testdata/golden contains files from an earlier version.
func TestGoldenBytes(t *testing.T) {
	type stored struct {
		Kind    byte
		Payload string
	}
	want := []stored{{'E', "first"}, {'P', ""}, {0xff, "\x00\x01\xfe\xff"}}
	records := goldentest.Read(t, "records.bin")
	var written []byte
	for _, r := range want {
		written = Append(written, r.Kind, []byte(r.Payload))
	}
	if !bytes.Equal(written, records) {
		t.Errorf("records are written as %x, want %x", written, records)
	}
	var read []stored
	n, err := Replay("records.bin", records, int64(len(records)), func(kind byte, p []byte) error {
		read = append(read, stored{kind, string(p)})
		return nil
	})
	if err != nil || n != len(records) || !reflect.DeepEqual(read, want) {
		t.Errorf("%d bytes are read as %v, %v; want %v", n, read, err, want)
	}

	numbers := []uint64{3, 1 << 40, 12345}
	mark := goldentest.Read(t, "mark.bin")
	f, err := os.Create(filepath.Join(t.TempDir(), "mark"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
	if err := WriteSyncMark(f, numbers...); err != nil {
		t.Fatal(err)
	}
	if got, err := os.ReadFile(f.Name()); err != nil || !bytes.Equal(got, mark) {
		t.Errorf("numbers are written as %x, %v; want %x", got, err, mark)
	}
	if got, err := ParseSyncMark("mark.bin", mark, len(numbers)); err != nil || !reflect.DeepEqual(got, numbers) {
		t.Errorf("numbers are read as %v, %v; want %v", got, err, numbers)
	}
	if size := binary.BigEndian.Uint32(records); int(size) != len(want[0].Payload) {
		t.Errorf("the first record's length is %d", size)
	}
}
