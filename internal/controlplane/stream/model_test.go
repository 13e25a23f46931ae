package stream

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"mintspring/internal/controlplane/snapshot"
)

// resourceNames are names that a model proxy subscribes to; "none" never exists.
var resourceNames = []string{"boxes", "boxes/head", "boxes/servers/0000", "boxes/servers/0002", "boxes/whole/0000", "boxes/whole/0001", "none"}

// modelTypes are the types that a model proxy subscribes to.
var modelTypes = []snapshot.TypeURL{snapshot.ClusterType, snapshot.EndpointType, snapshot.RingPartType}

// modelSubscription is the state of one resource type at a model proxy: what it subscribes to and what it holds.
type modelSubscription struct {
	started  bool
	wildcard bool
	names    map[string]bool
	versions map[string]string // version by name
	nonce    string            // of the last response
	pending  *Response         // response that is not acknowledged yet
	rejected string            // version of the set rejected last
}

func (m *modelSubscription) includes(name string) bool { return m.wildcard || m.names[name] }

func (m *modelSubscription) dropUnsubscribed() {
	maps.DeleteFunc(m.versions, func(name, _ string) bool { return !m.includes(name) })
}

// modelProxy is a proxy that subscribes, acknowledges and rejects at random, and checks each response.
type modelProxy struct {
	t       *rapid.T
	variant Variant
	stream  *Stream
	types   map[snapshot.TypeURL]*modelSubscription
}

func newModelProxy(t *rapid.T, variant Variant, s *Stream) *modelProxy {
	p := &modelProxy{t: t, variant: variant, stream: s, types: map[snapshot.TypeURL]*modelSubscription{}}
	for _, typeURL := range modelTypes {
		p.types[typeURL] = &modelSubscription{names: map[string]bool{}, versions: map[string]string{}}
	}
	return p
}

// subscribe changes the names that the proxy subscribes to. An empty list subscribes to all resources, if the type has a wildcard.
func (p *modelProxy) subscribe(typeURL snapshot.TypeURL, names []string) {
	if p.variant == StateOfTheWorld {
		p.subscribeSotw(typeURL, names)
	} else {
		p.subscribeDelta(typeURL, names)
	}
}

func (p *modelProxy) subscribeSotw(typeURL snapshot.TypeURL, names []string) {
	sub := p.types[typeURL]
	r := &Request{TypeURL: typeURL, ResponseNonce: sub.nonce, ResourceNames: names}
	if len(names) == 0 {
		r.ResourceNames = []string{wildcard}
	}
	sub.wildcard = len(names) == 0
	sub.setNames(names)
	sub.dropUnsubscribed()
	mustHandle(p.t, p.stream, r)
	sub.pending = nil // the nonce in the request acknowledges the response
}

func (p *modelProxy) subscribeDelta(typeURL snapshot.TypeURL, names []string) {
	sub := p.types[typeURL]
	r := &Request{TypeURL: typeURL, Subscribe: names}
	for name := range sub.names {
		if !slices.Contains(names, name) {
			r.Unsubscribe = append(r.Unsubscribe, name)
		}
	}
	if !sub.started {
		sub.wildcard = len(names) == 0 && typeURL != snapshot.EndpointType
	}
	sub.setNames(names)
	sub.dropUnsubscribed()
	mustHandle(p.t, p.stream, r)
}

func (m *modelSubscription) setNames(names []string) {
	m.started = true
	m.names = map[string]bool{}
	for _, name := range names {
		m.names[name] = true
	}
}

// receive receives and checks all responses that are due.
func (p *modelProxy) receive() {
	for {
		r, due := p.stream.Next(0)
		if !due {
			return
		}
		sub := p.types[r.TypeURL]
		if sub.pending != nil {
			p.t.Fatalf("a second response of %s before the first was acknowledged", r.TypeURL)
		}
		for _, resource := range r.Resources {
			if !sub.includes(resource.Name) {
				p.t.Fatalf("%s %s was not subscribed to", r.TypeURL, resource.Name)
			}
		}
		sub.nonce, sub.pending = r.Nonce, &r
	}
}

// respond acknowledges or rejects the last response of a type.
func (p *modelProxy) respond(typeURL snapshot.TypeURL, reject bool) {
	sub := p.types[typeURL]
	response := sub.pending
	if response == nil {
		return
	}
	r := &Request{TypeURL: typeURL, Version: response.Version, ResponseNonce: response.Nonce}
	if p.variant == StateOfTheWorld {
		r.ResourceNames = slices.Sorted(maps.Keys(sub.names))
		if sub.wildcard {
			r.ResourceNames = []string{wildcard}
		}
	}
	if reject {
		r.ErrorDetail = "no"
		sub.rejected = response.Version
	} else {
		sub.apply(p.variant, response)
	}
	sub.pending = nil
	mustHandle(p.t, p.stream, r)
}

func (m *modelSubscription) apply(variant Variant, response *Response) {
	if variant == StateOfTheWorld {
		clear(m.versions)
	}
	for _, resource := range response.Resources {
		if m.includes(resource.Name) {
			m.versions[resource.Name] = resource.Version
		}
	}
	for _, name := range response.Removed {
		delete(m.versions, name)
	}
}

// checkHeld checks that the proxy holds the subscribed resources of a snapshot, except in sets that it rejected.
func (p *modelProxy) checkHeld(newest *snapshot.Snapshot) {
	for _, typeURL := range modelTypes {
		sub, set := p.types[typeURL], newest.Resources(typeURL)
		if !sub.started || sub.rejected == set.Version {
			continue
		}
		want := map[string]string{}
		for _, resource := range set.Items {
			if sub.includes(resource.Name) {
				want[resource.Name] = resource.Version
			}
		}
		if !maps.Equal(want, sub.versions) {
			p.t.Fatalf("%s: holds %v, wants %v", typeURL, sub.versions, want)
		}
	}
}

// TestProxyConverges checks, for random subscriptions, rejections and snapshots, that responses contain only subscribed resources, that
// no response is sent before the previous one of its type is acknowledged, and that the proxy finally holds the subscribed resources of
// the newest snapshot, unless it rejected that snapshot.
func TestProxyConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		variant := Variant(rapid.IntRange(0, 1).Draw(t, "variant"))
		maker := &snapshotMaker{}
		servers := rapid.IntRange(0, 200).Draw(t, "servers")
		s := New(variant, testLimits, testSource{}, maker.next(t, servers, 0.1))
		p := newModelProxy(t, variant, s)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			typeURL := rapid.SampledFrom(modelTypes).Draw(t, "type")
			sub := p.types[typeURL]
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				if variant == Incremental || sub.pending == nil { // a state-of-the-world request would acknowledge the pending response unapplied
					p.subscribe(typeURL, rapid.SliceOfNDistinct(rapid.SampledFrom(resourceNames), 0, 3, rapid.ID[string]).Draw(t, "names"))
				}
			case 1:
				servers = rapid.IntRange(0, 200).Draw(t, "servers")
				fallthrough
			case 2:
				s.SetSnapshot(maker.next(t, servers, rapid.Float64Range(0, 0.9).Draw(t, "adjusted")))
			case 3:
				p.respond(typeURL, rapid.Bool().Draw(t, "reject"))
			case 4:
				if sub.started {
					mustHandle(t, s, &Request{TypeURL: typeURL, ResponseNonce: "stale"})
				}
			}
			p.receive()
		}
		newest := maker.next(t, servers, 0.95)
		s.SetSnapshot(newest)
		for range 4 {
			p.receive()
			for _, typeURL := range modelTypes {
				p.respond(typeURL, false)
			}
		}
		p.checkHeld(newest)
	})
}
