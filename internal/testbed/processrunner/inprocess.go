package processrunner

import (
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"mintspring/internal/config/platform"
	"mintspring/internal/node"
)

// ServeInProcess is a ServeFunc that runs the real node within this process, with logging disabled.
func ServeInProcess(file string, listener net.Listener) (stop func(), err error) {
	config, err := platform.Load(func(name string) string {
		if name == "LB_CONFIG" {
			return file
		}
		return os.Getenv(name)
	})
	if err != nil {
		return nil, fmt.Errorf("configuring a node in this process: %w", err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := node.New(config.NodeConfig(), log)
	served := make(chan struct{})
	go func() { // ends when stop is called
		defer close(served)
		_ = n.Serve(listener) // returns an error once the listener is closed
	}()
	return func() {
		_ = listener.Close() // the node stops even if closing fails
		n.Stop(0, time.Second)
		<-served
	}, nil
}
