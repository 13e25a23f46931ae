package replica

import (
	"net/netip"
	"slices"

	datagrams "mintspring/internal/cluster/datagram"
	"mintspring/internal/cluster/idempotency"
)

// readBufferBytes is the size of the socket's receive buffer.
const readBufferBytes = 4 << 20

// datagram is a received datagram and the member that sent it.
type datagram struct {
	from    idempotency.MemberID
	payload []byte
}

// readLoop reads datagrams until the socket is closed. It drops datagrams from unknown addresses, and all datagrams while the receive queue
// is full.
func (r *Replica) readLoop() {
	reportError := func(err error) { r.log.WithError(err).Error("receiving idempotency datagrams fails") }
	datagrams.Receive(r.conn, r.stopping, reportError, func(payload []byte, addr netip.AddrPort) {
		from, known := r.memberByAddr[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		if !known {
			return
		}
		select {
		case r.received <- datagram{from, slices.Clone(payload)}:
		default:
		}
	})
}

func (r *Replica) handleDatagram(d datagram) {
	if snapshot, ok := decodeSnapshotDatagram(d.payload); ok {
		r.handleSnapshotDatagram(d.from, snapshot)
		return
	}
	m, err := idempotency.ParseMessage(d.payload)
	switch {
	case err != nil:
		r.core.CountCorruptDatagram()
	case m.From == d.from: // members send only their own messages
		r.core.Receive(r.clock.Now(), m)
	}
}

// send sends messages to other members and delivers those that this member addressed to itself. It reports whether there were any of the
// latter.
func (r *Replica) send(messages []*idempotency.Message) (toSelf bool) {
	now := r.clock.Now()
	for _, m := range messages {
		switch {
		case m.To == r.config.Core.Self:
			r.core.Receive(now, m)
			toSelf = true
		case int(m.To) < len(r.memberAddrs):
			if b := m.Append(nil); len(b) <= idempotency.MaxMessageSize {
				r.sendDatagram(b, m.To)
			}
		}
	}
	return toSelf
}

// sendDatagram sends a datagram to a member. The protocol retries requests whose datagrams are lost.
func (r *Replica) sendDatagram(b []byte, to idempotency.MemberID) {
	_, _ = r.conn.WriteToUDPAddrPort(b, r.memberAddrs[to]) // a send error counts as a lost datagram
}
