package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/config/platform"
	"mintspring/internal/node/hotrestart"
	"mintspring/internal/transient"
)

// socketVariable names the descriptor of the clients' listening socket where the platform holds that for all processes of
// a node (the operators' page of daily operation, "Replacing the process").
const socketVariable = "LB_SOCKET_FD"

// firstInheritedFD is the first descriptor behind standard input, output and error.
const firstInheritedFD = 3

// clientListener returns the listening socket that the platform holds, or one of this process.
func clientListener(addr string) (net.Listener, error) {
	text := os.Getenv(socketVariable)
	if text == "" {
		return listen(addr, addressPatience)
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < firstInheritedFD {
		return nil, fmt.Errorf("%s: %q is no descriptor", socketVariable, text)
	}
	f := os.NewFile(uintptr(fd), "clients")
	defer f.Close() //nolint:errcheck // the listener has a duplicate
	var ln net.Listener
	err = transient.Retry(startPatience, func() (err error) {
		ln, err = net.FileListener(f)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("%s: descriptor %d: %w", socketVariable, fd, err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return nil, errors.Join(fmt.Errorf("%s: descriptor %d is a %T", socketVariable, fd, ln), ln.Close())
	}
	return sharedListener{tcp}, nil
}

// sharedListener is a listening socket that other processes have inherited too. Whether accept(2) blocks is a property of the open file,
// which they share (fcntl(2)): whoever holds the socket for them may set it to block at any time, as Go does where it passes a file to
// a process. No deadline would end an accept then, nor would a close, and it would take a connection that another process should have by
// then.
type sharedListener struct{ *net.TCPListener }

// Accept accepts the next connection, after it has set the socket not to block.
func (l sharedListener) Accept() (net.Conn, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) { setErr = syscall.SetNonblock(int(fd), true) })
	if err = errors.Join(err, setErr); err != nil {
		return nil, err
	}
	return l.TCPListener.Accept()
}

// listen listens on an address, and waits for so long while it is in use, or while the machine is short of what that takes.
func listen(addr string, patience time.Duration) (ln net.Listener, err error) {
	mayPass := func(err error) bool { return errors.Is(err, syscall.EADDRINUSE) || transient.Is(err) }
	err = transient.RetryIf(patience, mayPass, func() (err error) {
		ln, err = net.Listen("tcp", addr)
		return err
	})
	return ln, err
}

// joinPredecessor opens the directory in which the processes of one node meet, and joins the process that serves, if there is
// one. Both results are nil where there is neither an admin port nor a shared socket: no process can take over then.
func joinPredecessor(config *platform.Config, log *logrus.Logger) (*hotrestart.Dir, *hotrestart.Handover) {
	if config.Admin == "" && os.Getenv(socketVariable) == "" {
		return nil, nil
	}
	var dir *hotrestart.Dir
	err := transient.Retry(startPatience, func() (err error) {
		dir, err = hotrestart.Open(hotRestartPath(config))
		return err
	})
	if err != nil {
		log.WithError(err).Warn("hot restart is not available")
		return nil, nil
	}
	handover, err := dir.Join()
	if err != nil {
		log.WithError(err).Warn("cannot join the predecessor; starting without it")
	}
	return dir, handover
}

// hotRestartPath is the same for all processes of a node. Builds before this one have to find it too.
func hotRestartPath(config *platform.Config) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %s", config.Name, config.Listen) //nolint:errcheck // a hash never fails to write
	return filepath.Join(os.TempDir(), fmt.Sprintf("%s-%016x", programName, h.Sum64()))
}
