// Package stream holds the state of one xDS stream of a proxy, in either variant of the transport protocol.
//
// It does no I/O: callers pass it requests and new snapshots, and it returns the responses to send. A stream holds the subscribed names
// and the versions last sent, bounded by Limits. It has no queue: a slow proxy gets the newest snapshot once it has acknowledged the
// previous response.
package stream

import (
	"fmt"
	"slices"
	"strconv"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"mintspring/internal/controlplane/snapshot"
	"mintspring/internal/controlplane/wire"
)

// heartbeatsPerTTL is the number of heartbeats per TTL: resources outlive the loss of two in a row.
const heartbeatsPerTTL = 3

// maxListAgeMs caps the age of the endpoint list in a lease, which is a uint32.
const maxListAgeMs = 1 << 31

// Limits bound the state of a stream, and the durations that it grants. docs/operators/control.md lists the defaults.
type Limits struct {
	MaxNames     int     // subscribed names, over all types
	MaxNameBytes int     // length limit of each name
	LeaseMs      float64 // duration of a lease, from when the proxy sent the request; 0 disables leases
	TTLMs        float64 // TTL of the endpoint assignment, for proxies that route by weights; 0 means unlimited
}

// Source provides the age of the endpoint list.
type Source interface {
	ListAgeMs() float64 // time since the last successful contact with discovery
}

// Stream is the state of one stream. It is not safe for concurrent use. Times are in milliseconds; callers must use the same clock for
// all of them.
type Stream struct {
	variant       Variant
	limits        Limits
	source        Source
	snapshot      *snapshot.Snapshot // nil before the first one
	subscriptions map[snapshot.TypeURL]*subscription
	lastNonce     uint64
	leaseName     string // name in the last lease request
	leasePending  bool   // the last lease request has not been granted yet
}

// New returns a new stream. If the snapshot is nil, the stream sends nothing until SetSnapshot is called.
func New(variant Variant, limits Limits, source Source, current *snapshot.Snapshot) *Stream {
	return &Stream{
		variant:       variant,
		limits:        limits,
		source:        source,
		snapshot:      current,
		subscriptions: map[snapshot.TypeURL]*subscription{},
	}
}

// SetSnapshot sets the snapshot from which the next responses are built.
func (s *Stream) SetSnapshot(newest *snapshot.Snapshot) { s.snapshot = newest }

// HandleRequest applies a request. After an error the caller must end the stream.
func (s *Stream) HandleRequest(r *Request) error {
	if r.TypeURL == snapshot.LeaseType {
		return s.handleLeaseRequest(r)
	}
	if !slices.Contains(snapshot.TypeOrder, r.TypeURL) {
		return fmt.Errorf("%w: %.100q", ErrUnknownType, r.TypeURL)
	}
	sub := s.subscriptions[r.TypeURL]
	switch {
	case sub == nil, r.ResponseNonce == "" && s.variant == StateOfTheWorld:
		sub = newSubscription(s.variant, r)
		s.subscriptions[r.TypeURL] = sub
		if err := sub.setInitialVersions(r.InitialVersions, s.limits); err != nil {
			return err
		}
	case r.ResponseNonce == "":
		// An incremental request without a nonce changes the subscription and acknowledges nothing.
	case r.ResponseNonce == sub.lastNonce:
		sub.handleAck(r)
	case s.variant == StateOfTheWorld:
		return nil // stale nonce: a newer response was sent, and the request that answers that one is still to come
	}
	return s.updateSubscription(sub, r)
}

// updateSubscription applies the names in a request to a subscription. It returns ErrNameLimit if they exceed the limits.
func (s *Stream) updateSubscription(sub *subscription, r *Request) error {
	sub.upToDateWith = nil
	names := r.ResourceNames
	if s.variant == Incremental {
		names = r.Subscribe
	}
	if err := s.limits.checkNameLengths(names); err != nil {
		return err
	}
	if s.variant == Incremental {
		sub.changeNames(r)
	} else {
		sub.replaceNames(r.ResourceNames)
	}
	total := 0
	for _, existing := range s.subscriptions {
		total += len(existing.names)
	}
	if total > s.limits.MaxNames {
		return ErrNameLimit
	}
	return nil
}

// checkNameLengths returns ErrNameLimit if a name is too long.
func (l *Limits) checkNameLengths(names []string) error {
	for _, name := range names {
		if len(name) > l.MaxNameBytes {
			return ErrNameLimit
		}
	}
	return nil
}

// handleLeaseRequest records a lease request. Only the last request is granted; a repeated name acknowledges the lease.
func (s *Stream) handleLeaseRequest(r *Request) error {
	names := r.ResourceNames
	if s.variant == Incremental {
		names = r.Subscribe
	}
	if err := s.limits.checkNameLengths(names); err != nil {
		return err
	}
	if len(names) == 0 || s.limits.LeaseMs <= 0 {
		return nil
	}
	if name := names[len(names)-1]; name != s.leaseName {
		s.leaseName, s.leasePending = name, true
	}
	return nil
}

// Next returns the response to send now, if one is due. Each type has at most one unacknowledged response; the next one is built
// from the snapshot that is current after the acknowledgement.
func (s *Stream) Next(now float64) (response Response, due bool) {
	if s.snapshot == nil {
		return Response{}, false
	}
	for _, typeURL := range snapshot.TypeOrder {
		sub := s.subscriptions[typeURL]
		if sub == nil || sub.state == awaitingAck {
			continue
		}
		if response, due = s.nextOfType(now, typeURL, sub); due {
			return response, true
		}
	}
	if s.leasePending {
		return s.grantLease()
	}
	return Response{}, false
}

// nextOfType returns the response of one type to send now, if one is due: changed resources, or else a heartbeat.
func (s *Stream) nextOfType(now float64, typeURL snapshot.TypeURL, sub *subscription) (response Response, due bool) {
	set := s.snapshot.Resources(typeURL)
	hasTTL := typeURL == snapshot.EndpointType && s.limits.TTLMs > 0
	if !sub.nothingToSend(set) {
		response, due = sub.nextResponse(s.variant, set)
		if !due {
			sub.upToDateWith = set
		}
	}
	if !due {
		if !hasTTL || now < sub.heartbeatAtMs || len(sub.sentVersions) == 0 {
			return Response{}, false
		}
		response = sub.heartbeatResponse()
	}
	response.TypeURL = typeURL
	response.Nonce = s.nextNonce()
	if hasTTL {
		response.TTLMs = s.limits.TTLMs
		sub.heartbeatAtMs = now + s.limits.TTLMs/heartbeatsPerTTL
	}
	sub.recordSent(now, &response)
	return response, true
}

func (s *Stream) nextNonce() string {
	s.lastNonce++
	return strconv.FormatUint(s.lastNonce, 10)
}

// WaitMs returns the time until the next heartbeat, when Next must be called even without a request or a new snapshot. It is negative
// if no heartbeat is scheduled.
func (s *Stream) WaitMs(now float64) float64 {
	if sub := s.subscriptions[snapshot.EndpointType]; sub != nil && s.limits.TTLMs > 0 && len(sub.sentVersions) > 0 {
		return max(0, sub.heartbeatAtMs-now)
	}
	return -1
}

// OldestUnacknowledged returns when the oldest unacknowledged response was sent, if there is one.
func (s *Stream) OldestUnacknowledged() (sentAtMs float64, ok bool) {
	for _, sub := range s.subscriptions {
		if sub.state == awaitingAck && (!ok || sub.sentAtMs < sentAtMs) {
			sentAtMs, ok = sub.sentAtMs, true
		}
	}
	return sentAtMs, ok
}

// grantLease returns the response to the last lease request. The lease names the oldest usable snapshot. This is read at the time of the
// grant, so that the lease accounts for every drain known by then.
func (s *Stream) grantLease() (response Response, due bool) {
	s.leasePending = false
	body, err := proto.Marshal(&wire.Lease{
		Asked:     s.leaseName,
		Epoch:     s.snapshot.Version.Epoch,
		Out:       s.snapshot.MinSequence,
		LengthMs:  uint32(s.limits.LeaseMs),
		ListAgeMs: uint32(min(s.source.ListAgeMs(), maxListAgeMs)),
	})
	if err != nil {
		return Response{}, false // only a name that is not UTF-8 fails, and decoding rejects such a request
	}
	lease := snapshot.Resource{
		Name:    s.leaseName,
		Version: s.leaseName,
		Body:    &anypb.Any{TypeUrl: string(snapshot.LeaseType), Value: body},
	}
	return Response{
		TypeURL:   snapshot.LeaseType,
		Version:   s.leaseName,
		Nonce:     s.nextNonce(),
		Resources: []snapshot.Resource{lease},
	}, true
}
