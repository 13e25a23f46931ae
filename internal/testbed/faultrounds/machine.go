package faultrounds

import (
	"fmt"
	"time"

	"mintspring/internal/testbed/loopback"
)

// Loopback addresses of rounds: 127.a.b.c, where a is the network of the process, and b and c distinguish seeds.
const (
	seedsPerNetwork = 256
	firstPort       = 7001
)

// LoopbackAddr returns the address of the nth socket of a round. Rounds of different processes and seeds have different IP addresses: on a
// shared address, a port might be assigned to another socket while the process that listens on it is down.
func LoopbackAddr(seed uint64, n int) (string, error) {
	network, err := loopback.Network()
	return networkAddr(network, seed, n), err
}

func networkAddr(network byte, seed uint64, n int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", network, seed%seedsPerNetwork, 1+seed/seedsPerNetwork%loopback.MaxComposedHost, firstPort+n)
}

// schedulingCheckInterval is how often MeasureSchedulingDelay reads the clock.
const schedulingCheckInterval = 2 * time.Millisecond

// MeasureSchedulingDelay starts to measure scheduling delays of this process, which tell a program that is late from a busy machine. The caller has to
// call stop once, which ends the measurement and returns the longest delay in milliseconds.
func MeasureSchedulingDelay() (stop func() (millis float64)) {
	stopping, result := make(chan struct{}), make(chan time.Duration)
	go func() { // ends when stop is called
		longest := time.Duration(0)
		for last := time.Now(); ; {
			select {
			case <-stopping:
				result <- longest
				return
			case <-time.After(schedulingCheckInterval):
			}
			now := time.Now()
			longest = max(longest, now.Sub(last)-schedulingCheckInterval)
			last = now
		}
	}()
	return func() float64 {
		close(stopping)
		return float64(<-result) / float64(time.Millisecond)
	}
}
