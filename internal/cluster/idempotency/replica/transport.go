package replica

import (
	"net/netip"
	"slices"

	datagrams "mintspring/internal/cluster/datagram"
	"mintspring/internal/cluster/idempotency"
)

// readBufferBytes is the size of the socket's receive buffer.
const readBufferBytes = 4 << 20

// datagram is one that has arrived from a member.
type datagram struct {
	from    idempotency.MemberID
	payload []byte
}

// readLoop reads datagrams until the socket is closed. Those of unknown addresses, and those that the member's goroutine has no room for, are dropped.
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
	if transfer, ok := decodeSnapshotDatagram(d.payload); ok {
		r.handleSnapshotDatagram(d.from, transfer)
		return
	}
	m, err := idempotency.ParseMessage(d.payload)
	switch {
	case err != nil:
		r.core.CountCorruptDatagram()
	case m.From == d.from: // no member sends messages of another one
		r.core.Receive(r.clock.Now(), m)
	}
}

// send sends messages, and hands over those of this member to itself, of which it returns whether there were any.
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

// sendDatagram sends a datagram to a member. One that is lost is sent again by whoever needs its answer.
func (r *Replica) sendDatagram(b []byte, to idempotency.MemberID) {
	_, _ = r.conn.WriteToUDPAddrPort(b, r.memberAddrs[to]) // an error is one way of being lost
}
