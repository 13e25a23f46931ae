package faultrounds

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

// Loopback addresses of rounds: 127.a.b.c, where a is the network of the process, and b and c tell seeds apart.
const (
	firstNet   = 64 // a begins here, beyond addresses that other programs use
	netCount   = 128
	seedsInNet = 256
	hostCount  = 250
	claimHost  = 254 // c of the address that claims a network; beyond hostCount
	firstPort  = 7001
)

// ownNet returns the network that this process has claimed. It keeps it until it ends.
var ownNet = sync.OnceValues(func() (int, error) {
	for i := range netCount {
		net := firstNet + (os.Getpid()+i)%netCount
		switch err := claimNet(net); {
		case err == nil:
			return net, nil
		case !errors.Is(err, syscall.EADDRINUSE):
			return 0, fmt.Errorf("claim network 127.%d: %w", net, err)
		}
	}
	return 0, fmt.Errorf("all of the %d loopback networks of fault rounds are in use", netCount)
})

// claimNet binds a socket that claims a network for as long as this process runs. The error is EADDRINUSE if another process has claimed it.
func claimNet(net int) error {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, byte(net), 0, claimHost}, Port: firstPort})
	if err != nil {
		return errors.Join(err, syscall.Close(fd))
	}
	return nil // the kernel closes the socket when the process ends
}

// LoopbackAddr returns the address of the nth socket of a round. Rounds of different processes and seeds have different IP addresses: a port of a
// shared one might be given to another socket while the process that listens on it is down.
func LoopbackAddr(seed uint64, n int) (string, error) {
	net, err := ownNet()
	return addrInNet(net, seed, n), err
}

func addrInNet(net int, seed uint64, n int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", net, seed%seedsInNet, 1+seed/seedsInNet%hostCount, firstPort+n)
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
