package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"mintspring/internal/node/exclusion"
	"mintspring/internal/transient"
)

// Names of the files in the directory.
const (
	socketFile     = "process.sock"
	exclusionsFile = "maintenance.json"
)

// savePatience is how long exclusions are tried to be saved: the call that changed them is to be answered within a second.
const savePatience = 400 * time.Millisecond

// maxSocketPath is a safe length for the address of a Unix socket; the kernel takes 107 bytes.
const maxSocketPath = 99

// Dir is the directory in which the processes of one node find one another, and in which the exclusions are stored. It
// belongs to the node alone. Its methods may be called from several goroutines.
type Dir struct {
	dir string

	mu          sync.Mutex        // guards the fields below, and the stored exclusions within this process
	lastWritten uint64            // number of the exclusions stored last
	listener    *net.UnixListener // nil until Listen
}

// Open makes the directory if it does not exist. What a dead process has left in it does no harm: its socket refuses
// connections, and its exclusions are still in force.
func Open(dir string) (*Dir, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("opening the hot restart directory: %w", err)
	}
	return &Dir{dir: dir}, nil
}

// LoadExclusions reads the stored exclusions; without a file they are empty.
func (d *Dir) LoadExclusions() (state exclusion.State, err error) {
	var text []byte
	err = transient.Retry(busyPatience, func() (err error) {
		text, err = os.ReadFile(filepath.Join(d.dir, exclusionsFile))
		return err
	})
	if errors.Is(err, os.ErrNotExist) {
		return exclusion.State{}, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &state)
	}
	if err != nil {
		return exclusion.State{}, fmt.Errorf("loading the exclusions: %w", err)
	}
	return state, nil
}

// SaveExclusions stores the exclusions atomically. number grows with each change; a state that is older than the one
// stored last is not written.
func (d *Dir) SaveExclusions(state exclusion.State, number uint64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if number <= d.lastWritten {
		return nil
	}
	text, err := json.Marshal(state)
	if err != nil {
		return fmt.Errorf("storing the exclusions: %w", err)
	}
	// Both processes of an overlap write here, so each has a temporary file of its own.
	name := filepath.Join(d.dir, exclusionsFile)
	temp := name + "." + strconv.Itoa(os.Getpid())
	err = transient.Retry(savePatience, func() error {
		if err := os.WriteFile(temp, text, 0o600); err != nil {
			return err
		}
		return os.Rename(temp, name)
	})
	if err != nil {
		return fmt.Errorf("storing the exclusions: %w", err)
	}
	d.lastWritten = number
	return nil
}

// socketPath returns a path for a socket in the directory, and a function to call after its use. If the name of the
// directory is too long for the address of a socket, the path leads through an open descriptor.
func (d *Dir) socketPath(name string) (path string, release func()) {
	path = filepath.Join(d.dir, name)
	if len(path) <= maxSocketPath {
		return path, func() {}
	}
	f, err := os.Open(d.dir)
	if err != nil {
		return path, func() {}
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", f.Fd(), name), func() { _ = f.Close() } // it was not read
}
