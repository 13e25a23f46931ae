package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"mintspring/internal/cluster/idempotency"
	"mintspring/internal/state/recordlog"
)

// Kinds of records in a segment.
const (
	entryRecord        = 'E' // an entry of the member's state
	previousSizeRecord = 'P' // the size of the previous segment; the first record of each segment
)

// previousSizeLength is the length of the payload of previousSizeRecord.
const previousSizeLength = 8

// segment is a closed segment file.
type segment struct {
	number   uint64
	size     int64
	closedAt time.Time // by Store.Now; for segments of an earlier process, when this one opened the directory
}

func segmentName(number uint64) string { return fmt.Sprintf("%016d%s", number, segmentSuffix) }

// segmentNames returns the names of all segments, ordered by number.
func segmentNames(dir string) ([]string, error) {
	files, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, f := range files {
		if strings.HasSuffix(f.Name(), segmentSuffix) {
			names = append(names, f.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// parseSegmentName returns the number of the segment with this file name.
func parseSegmentName(name string) (uint64, error) {
	var number uint64
	if _, err := fmt.Sscanf(name, "%d", &number); err != nil || name != segmentName(number) {
		return 0, fmt.Errorf("%q is not the name of a segment", name)
	}
	return number, nil
}

// syncMark is the content of the mark file: the range of segments that must exist, and the synced size of the last one.
type syncMark struct {
	firstSegment uint64 // 0: no segment was recorded
	lastSegment  uint64
	syncedSize   uint64
}

// syncMarkNumbers is the count of numbers in the mark file.
const syncMarkNumbers = 3

// readMark reads the mark file, which must exist if there are segments.
func readMark(dir string, segments []string) (syncMark, error) {
	name := filepath.Join(dir, markFileName)
	contents, err := os.ReadFile(name)
	switch {
	case errors.Is(err, fs.ErrNotExist) && len(segments) > 0:
		return syncMark{}, fmt.Errorf("%s has %s and no %s: %w", dir, segments[0], markFileName, recordlog.ErrCorrupt)
	case err != nil && !errors.Is(err, fs.ErrNotExist):
		return syncMark{}, err
	}
	numbers, err := recordlog.ParseSyncMark(name, contents, syncMarkNumbers)
	if err != nil {
		return syncMark{}, err
	}
	return syncMark{firstSegment: numbers[0], lastSegment: numbers[1], syncedSize: numbers[2]}, nil
}

// segmentReader reads the segments of a data directory in order.
type segmentReader struct {
	dir       string
	mark      syncMark
	state     *idempotency.StoredState
	segments  []segment
	expired   []string // names of segments that a process has left that died before it deleted them
	validSize int64    // the size of the last segment, without a truncated record at its end
}

// readSegments reads all segments of a data directory into state.
func readSegments(dir string, state *idempotency.StoredState) (*segmentReader, error) {
	names, err := segmentNames(dir)
	if err != nil {
		return nil, err
	}
	mark, err := readMark(dir, names)
	if err != nil {
		return nil, err
	}
	r := &segmentReader{dir: dir, mark: mark, state: state}
	previous := max(mark.firstSegment, 1) - 1
	for i, name := range names {
		number, err := parseSegmentName(name)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", dir, err)
		}
		if number <= previous {
			r.expired = append(r.expired, name)
			continue
		}
		if firstUnknown := mark.firstSegment == 0 && previous == 0; !firstUnknown && number != previous+1 {
			return nil, r.missingSegmentError(previous + 1)
		}
		if err := r.readSegment(number, i == len(names)-1); err != nil {
			return nil, err
		}
		previous = number
	}
	if previous < mark.lastSegment {
		return nil, r.missingSegmentError(mark.lastSegment)
	}
	return r, nil
}

func (r *segmentReader) missingSegmentError(number uint64) error {
	return fmt.Errorf("%s: segment %d is missing: %w", r.dir, number, recordlog.ErrCorrupt)
}

// readSegment reads one segment. All segments but the last are synced completely; the mark has the synced size of the last one.
func (r *segmentReader) readSegment(number uint64, last bool) error {
	name := filepath.Join(r.dir, segmentName(number))
	contents, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	synced := int64(len(contents))
	if last {
		synced = 0
		if r.mark.lastSegment == number {
			synced = int64(r.mark.syncedSize)
		}
	}
	valid, err := recordlog.Replay(name, contents, synced, r.applyRecord)
	if err != nil {
		return err
	}
	r.segments = append(r.segments, segment{number: number, size: int64(len(contents))})
	r.validSize = int64(valid)
	return nil
}

func (r *segmentReader) applyRecord(kind byte, payload []byte) error {
	switch {
	case kind == entryRecord:
		return r.state.Apply(payload)
	case kind != previousSizeRecord || len(payload) != previousSizeLength:
		return fmt.Errorf("record of unknown kind %q with %d bytes", kind, len(payload))
	}
	if size := binary.BigEndian.Uint64(payload); len(r.segments) > 0 && size != uint64(r.segments[len(r.segments)-1].size) {
		return fmt.Errorf("the previous segment had %d bytes when this one was created", size)
	}
	return nil
}
