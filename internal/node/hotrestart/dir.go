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

// saveTimeout is how long saving the exclusions is retried. The admin call that changed them must be answered within a second.
const saveTimeout = 400 * time.Millisecond

// maxSocketPath is the longest path in bytes that is used directly as the address of a Unix socket. The kernel accepts at most 107.
const maxSocketPath = 99

// Dir is the directory in which the processes of a node find each other and in which the exclusions are stored. Each node has its own
// directory. The methods of Dir are safe for concurrent use.
type Dir struct {
	dir string

	mu          sync.Mutex        // guards the fields below, and the exclusions file against concurrent writes of this process
	lastWritten uint64            // number of the last stored state of the exclusions
	listener    *net.UnixListener // nil until Listen
}

// Open creates the directory if it does not exist. Open keeps the files that an ended process has left: the left socket refuses
// connections, and the stored exclusions are still in effect.
func Open(dir string) (*Dir, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("opening the hot restart directory: %w", err)
	}
	return &Dir{dir: dir}, nil
}

// LoadExclusions reads the stored exclusions. Without a file the result is empty.
func (d *Dir) LoadExclusions() (state exclusion.State, err error) {
	var text []byte
	err = transient.Retry(busyRetryTimeout, func() (err error) {
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

// SaveExclusions stores the exclusions atomically. The caller increases number with each change; a state with a number not above the last
// stored one is not written.
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
	// During a hot restart both processes write here, so each has its own temporary file.
	name := filepath.Join(d.dir, exclusionsFile)
	temp := name + "." + strconv.Itoa(os.Getpid())
	err = transient.Retry(saveTimeout, func() error {
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

// socketPath returns a path for a socket in the directory and a function that releases the path after use. If the directory's name is too
// long for a socket address, the path goes through an open descriptor of the directory in /proc/self/fd.
func (d *Dir) socketPath(name string) (path string, release func()) {
	path = filepath.Join(d.dir, name)
	if len(path) <= maxSocketPath {
		return path, func() {}
	}
	f, err := os.Open(d.dir)
	if err != nil {
		return path, func() {}
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", f.Fd(), name), func() { _ = f.Close() } // nothing was written to it
}
