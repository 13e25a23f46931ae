package stream

import (
	"maps"
	"slices"

	"mintspring/internal/controlplane/snapshot"
)

// responseState says whether a subscription is due a response or awaits an acknowledgement.
type responseState uint8

const (
	idle        responseState = iota // a response is sent when a subscribed resource changes
	responseDue                      // a response is sent even without a change
	awaitingAck                      // the last response is neither acknowledged nor rejected yet
)

// unknownVersion marks a resource of which the proxy may hold any version or none. It differs from the version of every resource in a
// snapshot, so that the next response contains the resource or its removal.
const unknownVersion = ""

// replacedVersion is the version of a resource that the proxy held before the last response, if it held one.
type replacedVersion struct {
	version string
	wasHeld bool
}

// subscription is the state of one resource type on a stream.
type subscription struct {
	wildcard        bool // includes all resources
	names           map[string]bool
	sentVersions    map[string]string // by name: last sent, initially reported by the proxy, or unknownVersion
	reportedMissing map[string]bool   // incremental: subscribed names that were reported to the proxy as nonexistent

	state         responseState
	lastVersion   string // of the last response
	lastNonce     string // of the last response
	sentAtMs      float64
	heartbeatAtMs float64 // when the next heartbeat is due

	replacedVersions map[string]replacedVersion // by name: versions that the last response replaced
	rejectedVersion  string                     // version of the set that the proxy rejected; it is not sent again
	upToDateWith     *snapshot.ResourceSet      // set that was compared and has nothing to send
}

// newSubscription returns the subscription for the first request of a type.
func newSubscription(variant Variant, r *Request) *subscription {
	sub := &subscription{
		names:           map[string]bool{},
		sentVersions:    map[string]string{},
		reportedMissing: map[string]bool{},
		state:           responseDue,
	}
	names := r.ResourceNames
	if variant == Incremental {
		names = r.Subscribe
	}
	// A first request without names subscribes to all resources, except for endpoints, which have no wildcard (xDS, "How the client
	// specifies what resources to return").
	sub.wildcard = len(names) == 0 && r.TypeURL != snapshot.EndpointType
	return sub
}

// setInitialVersions records the versions that the proxy holds at the start of the stream.
func (s *subscription) setInitialVersions(versions map[string]string, limits Limits) error {
	for name, version := range versions {
		if len(s.sentVersions) >= limits.MaxNames || len(name) > limits.MaxNameBytes {
			return ErrNameLimit
		}
		s.sentVersions[name] = version
	}
	return nil
}

// includes reports whether the subscription includes a resource.
func (s *subscription) includes(name string) bool { return s.wildcard || s.names[name] }

// dropUnsubscribed deletes the versions of resources that are no longer subscribed to.
func (s *subscription) dropUnsubscribed() {
	maps.DeleteFunc(s.sentVersions, func(name, _ string) bool { return !s.includes(name) })
}

// replaceNames sets the names of a state-of-the-world subscription. A request without names keeps a wildcard subscription.
func (s *subscription) replaceNames(resourceNames []string) {
	if len(resourceNames) == 0 && s.wildcard {
		return
	}
	names := map[string]bool{}
	s.wildcard = false
	for _, name := range resourceNames {
		if name == wildcard {
			s.wildcard = true
			continue
		}
		names[name] = true
		if !s.names[name] {
			s.state = responseDue
		}
	}
	s.names = names
	s.dropUnsubscribed()
}

// changeNames adds names to and removes names from an incremental subscription.
func (s *subscription) changeNames(r *Request) {
	for _, name := range r.Unsubscribe {
		if name == wildcard {
			s.wildcard = false
		} else {
			delete(s.names, name)
		}
		delete(s.reportedMissing, name)
	}
	if len(r.Unsubscribe) > 0 {
		s.dropUnsubscribed()
	}
	for _, name := range r.Subscribe {
		if name == wildcard {
			s.wildcard = true
			continue
		}
		s.names[name] = true
		// A resource that the proxy subscribes to again is sent again, since the proxy may have dropped it, unless the request lists the
		// version that the proxy holds. The entry is kept rather than deleted: with a wildcard, a proxy that kept the resource must
		// still be told about its removal after it unsubscribes from the name.
		_, sent := s.sentVersions[name]
		if _, stated := r.InitialVersions[name]; sent && !stated {
			s.sentVersions[name] = unknownVersion
		}
		delete(s.reportedMissing, name)
	}
}

// handleAck handles the acknowledgement or rejection of the last response. A rejection restores the versions from before the response.
// The rejected set is not sent again, but its changes are sent with the next set: without them the proxy's ring would stay incomplete.
func (s *subscription) handleAck(r *Request) {
	if s.state == awaitingAck {
		s.state = idle
	}
	if r.ErrorDetail != "" {
		s.rejectedVersion = s.lastVersion
		for name, replaced := range s.replacedVersions {
			s.restoreVersion(name, replaced)
		}
	}
	s.replacedVersions = nil
}

// restoreVersion restores a version that a rejected response replaced.
func (s *subscription) restoreVersion(name string, replaced replacedVersion) {
	if !replaced.wasHeld || !s.includes(name) {
		delete(s.sentVersions, name)
		return
	}
	if version, sent := s.sentVersions[name]; sent && version == unknownVersion {
		return // the proxy subscribed to it again after that response
	}
	s.sentVersions[name] = replaced.version
}

// nothingToSend reports whether a set is known to hold nothing to send: it is unchanged, or the proxy rejected it.
func (s *subscription) nothingToSend(set *snapshot.ResourceSet) bool {
	return s.upToDateWith == set || s.rejectedVersion == set.Version && s.state != responseDue
}

// recordSent records that a response is sent now and awaits an acknowledgement.
func (s *subscription) recordSent(now float64, response *Response) {
	s.state, s.sentAtMs = awaitingAck, now
	s.lastNonce, s.lastVersion = response.Nonce, response.Version
}

// nextResponse returns the response for a set, if one is due, and records the versions in it as sent.
func (s *subscription) nextResponse(variant Variant, set *snapshot.ResourceSet) (response Response, due bool) {
	if variant == Incremental {
		return s.deltaResponse(set)
	}
	return s.fullResponse(set)
}

// fullResponse returns all subscribed resources, if a response is due or any of them has changed.
func (s *subscription) fullResponse(set *snapshot.ResourceSet) (response Response, due bool) {
	response.Version = set.Version
	due = s.state == responseDue
	for i := range set.Items {
		resource := &set.Items[i]
		if s.includes(resource.Name) {
			response.Resources = append(response.Resources, *resource)
			due = due || s.sentVersions[resource.Name] != resource.Version
		}
	}
	if !due && len(response.Resources) == len(s.sentVersions) {
		return Response{}, false
	}
	s.replacedVersions = make(map[string]replacedVersion, len(s.sentVersions))
	for name := range s.sentVersions {
		s.recordReplaced(name)
	}
	clear(s.sentVersions)
	for i := range response.Resources {
		resource := &response.Resources[i]
		if _, replaced := s.replacedVersions[resource.Name]; !replaced {
			s.recordReplaced(resource.Name)
		}
		s.sentVersions[resource.Name] = resource.Version
	}
	return response, true
}

// recordReplaced records the held version of a resource before the response being built replaces or removes it.
func (s *subscription) recordReplaced(name string) {
	version, wasHeld := s.sentVersions[name]
	s.replacedVersions[name] = replacedVersion{version, wasHeld}
}

// deltaResponse returns the subscribed resources that have changed, and the names of those that do not exist.
func (s *subscription) deltaResponse(set *snapshot.ResourceSet) (response Response, due bool) {
	response.Version = set.Version
	for i := range set.Items {
		resource := &set.Items[i]
		if s.includes(resource.Name) && s.sentVersions[resource.Name] != resource.Version {
			response.Resources = append(response.Resources, *resource)
		}
	}
	response.Removed = s.missingNames(set)
	if len(response.Resources) == 0 && len(response.Removed) == 0 && s.state != responseDue {
		return Response{}, false
	}
	s.replacedVersions = map[string]replacedVersion{}
	for i := range response.Resources {
		resource := &response.Resources[i]
		s.recordReplaced(resource.Name)
		s.sentVersions[resource.Name] = resource.Version
		delete(s.reportedMissing, resource.Name)
	}
	for _, name := range response.Removed {
		s.recordReplaced(name)
		delete(s.sentVersions, name)
		s.reportedMissing[name] = s.names[name]
	}
	return response, true
}

// missingNames returns the names to report to the proxy as nonexistent: resources that were removed, and subscribed names that no
// resource has.
func (s *subscription) missingNames(set *snapshot.ResourceSet) []string {
	var names []string
	for name := range s.sentVersions {
		if _, ok := set.Find(name); !ok {
			names = append(names, name)
		}
	}
	for name := range s.names {
		if _, sent := s.sentVersions[name]; sent || s.reportedMissing[name] {
			continue
		}
		if _, ok := set.Find(name); !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// heartbeatResponse returns a response that renews the TTL of the resources that the proxy holds.
func (s *subscription) heartbeatResponse() Response {
	response := Response{Version: s.lastVersion, Heartbeat: true}
	for _, name := range slices.Sorted(maps.Keys(s.sentVersions)) {
		if s.sentVersions[name] == unknownVersion {
			continue
		}
		response.Resources = append(response.Resources, snapshot.Resource{Name: name, Version: s.sentVersions[name]})
	}
	return response
}
