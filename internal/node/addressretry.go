package node

import (
	"errors"
	"syscall"
	"time"
)

// retryWhileAddressInUse calls start every interval for as long as it fails because its address is in use: during a hot restart the
// predecessor holds its addresses until it ends. It returns any other error of start, and nil once start has succeeded or the node stops.
func (n *Node) retryWhileAddressInUse(interval time.Duration, start func() error) error {
	for {
		select {
		case <-n.quit:
			return nil
		case <-time.After(interval):
		}
		if err := start(); !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
	}
}
