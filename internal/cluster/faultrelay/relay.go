package faultrelay

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// readBufferSize is the size of the read buffers in bytes, enough for any datagram.
const readBufferSize = 64 << 10

// Relay has a UDP socket on loopback for each ordered pair of nodes. A datagram that node a sends to Addr(a, b) arrives at node b's own
// socket from Addr(b, a), the address that b uses for a. Methods may be called from any goroutine.
type Relay struct {
	sockets [][]*net.UDPConn // by sender and receiver; not changed after Start
	readers sync.WaitGroup   // the goroutines in readLoop, which Close ends

	mu           sync.Mutex // guards the fields below
	links        *Links
	destinations []*net.UDPAddr // the nodes' own sockets
	closed       bool
	sent         []int // datagrams by sender
	sentBytes    []int // bytes by sender
}

// Start opens the sockets for a number of nodes.
func Start(nodes int, seed uint64) (*Relay, error) {
	r := &Relay{
		sockets:      make([][]*net.UDPConn, nodes),
		links:        NewLinks(seed),
		destinations: make([]*net.UDPAddr, nodes),
		sent:         make([]int, nodes),
		sentBytes:    make([]int, nodes),
	}
	for from := range nodes {
		r.sockets[from] = make([]*net.UDPConn, nodes)
		for to := range nodes {
			if from == to {
				continue
			}
			conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				r.Close()
				return nil, fmt.Errorf("open relay from node %d to node %d: %w", from, to, err)
			}
			r.sockets[from][to] = conn
		}
	}
	for from, row := range r.sockets {
		for to, conn := range row {
			if conn != nil {
				r.readers.Add(1)
				go r.readLoop(from, to)
			}
		}
	}
	return r, nil
}

// Addr returns the address that node from has to use for node to.
func (r *Relay) Addr(from, to int) string { return r.sockets[from][to].LocalAddr().String() }

// SetDestination sets the address of a node's own socket.
func (r *Relay) SetDestination(node int, addr string) error {
	resolved, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return fmt.Errorf("resolve address of node %d: %w", node, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.destinations[node] = resolved
	return nil
}

// UpdateLinks calls update with exclusive access to the links.
func (r *Relay) UpdateLinks(update func(l *Links)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(r.links)
}

// Sent returns the number of datagrams that a node has sent, and their bytes.
func (r *Relay) Sent(node int) (datagrams, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent[node], r.sentBytes[node]
}

// readLoop relays the datagrams from one node to another until the relay is closed.
func (r *Relay) readLoop(from, to int) {
	defer r.readers.Done()
	b := make([]byte, readBufferSize)
	for {
		n, _, err := r.sockets[from][to].ReadFromUDP(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error after the destination process has ended
		}
		r.relay(from, to, b[:n])
	}
}

// relay delivers a datagram according to its link. Delayed deliveries run on timers, which do nothing once the relay is closed.
func (r *Relay) relay(from, to int, b []byte) {
	receivedAt := unixMs(time.Now())
	r.mu.Lock()
	r.sent[from]++
	r.sentBytes[from] += len(b)
	deliveries, destination := r.links.Transmit(receivedAt, from, to, b), r.destinations[to]
	r.mu.Unlock()
	for _, d := range deliveries {
		wait := time.Duration((d.AtMs - receivedAt) * float64(time.Millisecond))
		if wait > 0 {
			time.AfterFunc(wait, func() { r.deliver(from, to, d.Data, destination) })
		} else {
			r.deliver(from, to, d.Data, destination)
		}
	}
}

func unixMs(t time.Time) float64 { return float64(t.UnixNano()) / 1e6 }

// deliver sends a datagram to a node from the address that this node uses for the sender.
func (r *Relay) deliver(from, to int, b []byte, destination *net.UDPAddr) {
	r.mu.Lock()
	closed := r.closed
	r.mu.Unlock()
	if closed || destination == nil {
		return
	}
	_, _ = r.sockets[to][from].WriteToUDP(b, destination) // if the receiver does not run, the datagram is lost
}

// Close closes all sockets and waits for the goroutines that read them.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	for _, row := range r.sockets {
		for _, conn := range row {
			if conn != nil {
				_ = conn.Close() // an error loses nothing: the socket is no longer used
			}
		}
	}
	r.readers.Wait()
}
