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

// socketFDEnv is the environment variable with the descriptor of the clients' listening socket. It is set if the platform holds that
// socket for all processes of a node (the operators' page of daily operation, "Replacing the process").
const socketFDEnv = "LB_SOCKET_FD"

// firstInheritedFD is the first descriptor after standard input, output and error.
const firstInheritedFD = 3

// inheritedListener returns a listener on the socket that the platform holds for the clients, or nil if it holds none.
func inheritedListener() (net.Listener, error) {
	text := os.Getenv(socketFDEnv)
	if text == "" {
		return nil, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < firstInheritedFD {
		return nil, fmt.Errorf("%s: %q is not an inherited descriptor", socketFDEnv, text)
	}
	f := os.NewFile(uintptr(fd), "clients")
	defer f.Close() //nolint:errcheck // the listener has a duplicate
	var ln net.Listener
	err = transient.Retry(startRetryTimeout, func() (err error) {
		ln, err = net.FileListener(f)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("%s: descriptor %d: %w", socketFDEnv, fd, err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return nil, errors.Join(fmt.Errorf("%s: descriptor %d is a %T, not a TCP listener", socketFDEnv, fd, ln), ln.Close())
	}
	return sharedListener{tcp}, nil
}

// sharedListener is a listening socket that other processes have inherited too. They share the open file, and with it the flag O_NONBLOCK
// (fcntl(2)): the holder of the socket may clear the flag at any time, as Go does when it passes a file to a process. Neither a deadline
// nor a close would then end a pending accept(2), and the pending accept could take a connection that its successor should accept.
type sharedListener struct{ *net.TCPListener }

// Accept sets the socket to non-blocking mode and accepts the next connection.
func (l sharedListener) Accept() (net.Conn, error) {
	rawConn, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	var setErr error
	err = rawConn.Control(func(fd uintptr) { setErr = syscall.SetNonblock(int(fd), true) })
	if err = errors.Join(err, setErr); err != nil {
		return nil, err
	}
	return l.TCPListener.Accept()
}

// listen listens on a TCP address. Until the timeout it retries while the address is in use and after transient errors.
func listen(addr string, timeout time.Duration) (ln net.Listener, err error) {
	retryable := func(err error) bool { return errors.Is(err, syscall.EADDRINUSE) || transient.Is(err) }
	err = transient.RetryIf(timeout, retryable, func() (err error) {
		ln, err = net.Listen("tcp", addr)
		return err
	})
	return ln, err
}

// joinPredecessor opens the hot restart directory of the node and joins the process that serves, if there is one. Both results are nil if
// the directory cannot be opened, or without an admin port and a shared socket, because then no process can take over.
func joinPredecessor(config *platform.Config, log *logrus.Logger) (*hotrestart.Dir, *hotrestart.Handover) {
	if config.Admin == "" && os.Getenv(socketFDEnv) == "" {
		return nil, nil
	}
	var dir *hotrestart.Dir
	err := transient.Retry(startRetryTimeout, func() (err error) {
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

// hotRestartPath returns the path of the hot restart directory, which is the same for all processes of a node. It must not change between
// builds: a process has to find the predecessor that an earlier build runs.
func hotRestartPath(config *platform.Config) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %s", config.Name, config.Listen) //nolint:errcheck // a hash never fails to write
	return filepath.Join(os.TempDir(), fmt.Sprintf("%s-%016x", programName, h.Sum64()))
}
