package faultrounds

import (
	"fmt"
	"time"

	"mintspring/internal/testbed/loopback"
)

// Loopback addresses of rounds: 127.a.b.c, where a is the network of the process, and b and c tell seeds apart.
const (
	seedsInNet = 256
	firstPort  = 7001
)

// LoopbackAddr returns the address of the nth socket of a round. Rounds of different processes and seeds have different IP addresses: a port of a
// shared one might be given to another socket while the process that listens on it is down.
func LoopbackAddr(seed uint64, n int) (string, error) {
	network, err := loopback.Network()
	return addrInNet(network, seed, n), err
}

func addrInNet(network byte, seed uint64, n int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", network, seed%seedsInNet, 1+seed/seedsInNet%loopback.MaxComposedHost, firstPort+n)
}

// schedulingCheck is how often MeasureSchedulingDelay looks at the clock.
const schedulingCheck = 2 * time.Millisecond

// MeasureSchedulingDelay measures how long the machine keeps this process waiting. The function that it returns ends the measurement and returns the
// longest delay in milliseconds. It has to be called once. What a process does late on a busy machine is no fault of its program.
func MeasureSchedulingDelay() (stop func() (millis float64)) {
	stopping, result := make(chan struct{}), make(chan time.Duration)
	go func() { // ends when stop is called
		longest := time.Duration(0)
		for last := time.Now(); ; {
			select {
			case <-stopping:
				result <- longest
				return
			case <-time.After(schedulingCheck):
			}
			now := time.Now()
			longest = max(longest, now.Sub(last)-schedulingCheck)
			last = now
		}
	}()
	return func() float64 {
		close(stopping)
		return float64(<-result) / float64(time.Millisecond)
	}
}
