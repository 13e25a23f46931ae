package faultrelay

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	"mintspring/internal/testbed/loopback"
)

var payload = []byte("twenty bytes of text")

// transmitMany returns the deliveries of 200 datagrams over a link with faults, and checks that the reverse link has no faults.
func transmitMany(t *testing.T, faults Link) (deliveries []Delivery) {
	t.Helper()
	links := NewLinks(5)
	links.Set([]int{0}, []int{0, 1}, func(link *Link) { *link = faults })
	if back := links.Transmit(1000, 1, 0, payload); len(back) != 1 || back[0].AtMs != 1000 || !bytes.Equal(back[0].Data, payload) {
		t.Errorf("%+v: the reverse link delivers %+v", faults, back)
	}
	for range 200 {
		deliveries = append(deliveries, links.Transmit(1000, 0, 1, payload)...)
	}
	return deliveries
}

// Each fault has its effect in one direction only, and the same effect for the same seed.
func TestLinkFaults(t *testing.T) {
	for name, c := range map[string]struct {
		faults Link
		check  func(all []Delivery) bool
	}{
		"cut":       {Link{Cut: true}, func(all []Delivery) bool { return len(all) == 0 }},
		"loss":      {Link{LossRate: 0.5}, func(all []Delivery) bool { return len(all) > 70 && len(all) < 130 }},
		"delay":     {Link{DelayMs: 50}, func(all []Delivery) bool { return all[9].AtMs == 1050 }},
		"jitter":    {Link{JitterMs: 50}, func(all []Delivery) bool { return all[0].AtMs != all[1].AtMs && all[5].AtMs < 1050 }},
		"duplicate": {Link{Duplicates: 3, DuplicateDelayMs: 5000}, func(all []Delivery) bool { return len(all) == 800 && all[3].AtMs == 16000 }},
		"corrupt": {Link{CorruptRate: 1}, func(all []Delivery) bool {
			return !bytes.Equal(all[0].Data, payload) && len(all[0].Data) == len(payload)
		}},
		"truncate":  {Link{TruncateRate: 1}, func(all []Delivery) bool { return len(all[0].Data) < len(payload) }},
		"bandwidth": {Link{BytesPerSecond: 1000}, func(all []Delivery) bool { return all[0].AtMs == 1020 && all[199].AtMs == 5000 }},
	} {
		t.Run(name, func(t *testing.T) {
			all := transmitMany(t, c.faults)
			if !c.check(all) {
				t.Errorf("%d deliveries, %+v ...", len(all), all[:min(2, len(all))])
			}
			if again := transmitMany(t, c.faults); fmt.Sprint(all) != fmt.Sprint(again) {
				t.Error("two runs with one seed differ")
			}
		})
	}
}

// relayTest is a relay with the sockets of its nodes.
type relayTest struct {
	*Relay
	t       *testing.T
	sockets []*net.UDPConn // by node
}

func newRelayTest(t *testing.T, nodes int) *relayTest {
	t.Helper()
	relay, err := Start(nodes, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relay.Close)
	r := &relayTest{Relay: relay, t: t}
	for i := range nodes {
		packets, err := loopback.ListenPacket()
		if err != nil {
			t.Fatal(err)
		}
		conn := packets.(*net.UDPConn)
		t.Cleanup(func() {
			if err := conn.Close(); err != nil {
				t.Error(err)
			}
		})
		r.sockets = append(r.sockets, conn)
		if err := relay.SetDestination(i, conn.LocalAddr().String()); err != nil {
			t.Fatal(err)
		}
	}
	return r
}

func (r *relayTest) send(from, to int, text string) {
	r.t.Helper()
	addr, err := net.ResolveUDPAddr("udp4", r.Addr(from, to))
	if err != nil {
		r.t.Fatal(err)
	}
	if _, err := r.sockets[from].WriteToUDP([]byte(text), addr); err != nil {
		r.t.Fatal(err)
	}
}

// receive returns the next datagram at a node and its sender's address.
func (r *relayTest) receive(at int) (text, from string) {
	r.t.Helper()
	if err := r.sockets[at].SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		r.t.Fatal(err)
	}
	b := make([]byte, 100)
	n, addr, err := r.sockets[at].ReadFromUDP(b)
	if err != nil {
		r.t.Fatal(err)
	}
	return string(b[:n]), addr.String()
}

// Datagrams arrive from the address that the receiver uses for the sender, unless the link is cut.
func TestRelayedAddresses(t *testing.T) {
	r := newRelayTest(t, 3)
	r.send(0, 2, "one")
	if text, from := r.receive(2); text != "one" || from != r.Addr(2, 0) {
		t.Errorf("%q from %s, want it from %s", text, from, r.Addr(2, 0))
	}
	r.UpdateLinks(func(l *Links) { l.Set([]int{0}, []int{2}, func(link *Link) { link.Cut = true }) })
	r.send(0, 2, "lost")
	r.send(2, 0, "back")
	if text, _ := r.receive(0); text != "back" {
		t.Errorf("the reverse link delivers %q", text)
	}
	for n := 0; n < 2; n, _ = r.Sent(0) { // a datagram that the relay reads only after the link heals would be delivered
		time.Sleep(time.Millisecond)
	}
	r.UpdateLinks(func(l *Links) { l.Heal() })
	r.send(0, 2, "after")
	if text, _ := r.receive(2); text != "after" {
		t.Errorf("after the cut %q is delivered", text)
	}
	if n, _ := r.Sent(0); n != 3 {
		t.Errorf("node 0 has sent %d datagrams", n)
	}
}
