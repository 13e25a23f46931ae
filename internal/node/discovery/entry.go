package discovery

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"mintspring/internal/config/settings"
	"mintspring/internal/fleet"
)

// OriginFlavor is the flavor of the origin in the endpoint list.
const OriginFlavor = "origin"

// Phases of an endpoint that the node distinguishes. The node sends no new attempts to an endpoint in any other phase.
const (
	PhaseInService  = "in_service"
	PhaseTerminated = "terminated"
)

// Entry is the discovery service's description of an endpoint. Fields may be missing.
type Entry struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"` // zone
	Flavor   string  `json:"flavor"`   // kind
	Cell     int32   `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  float64 `json:"up_since_ms"` // Unix ms
}

// Endpoint converts the entry for the decision module. An endpoint without an address or in an unknown phase is draining.
func (e *Entry) Endpoint(id fleet.ServerID, deployment *settings.Deployment) fleet.Endpoint {
	m := fleet.Endpoint{
		ID:              id,
		Name:            e.ID,
		Kind:            fleet.KindID(slices.Index(deployment.Kinds, e.Flavor)),
		Zone:            fleet.ZoneID(slices.Index(deployment.Zones, e.Locality)),
		Cell:            fleet.CellID(e.Cell),
		NominalCapacity: e.Size,
		StartedAt:       e.UpSince,
		State:           fleet.Draining,
	}
	if e.Flavor == OriginFlavor {
		m.Kind = deployment.Limits.OriginKind
	}
	switch {
	case e.Phase == PhaseTerminated:
		m.State = fleet.Gone
	case e.Phase == PhaseInService && e.HostPort != "":
		m.State = fleet.Ready
	}
	return m
}

// Source says where an endpoint list is from.
type Source struct {
	Addr     string // of the discovery service
	Revision int64  // at that service
}

// Update is the content of the full list or of one object of a watch.
type Update struct {
	Revision int64             `json:"revision"`
	Complete bool              `json:"complete"` // Members is the complete list, not only the changed entries
	Members  []json.RawMessage `json:"members"`  // entries, parsed by Merge

	// ConfirmedAgo is the time between the last earlier confirmation that the list was complete and the arrival of this update; negative:
	// there was no earlier confirmation.
	ConfirmedAgo time.Duration `json:"-"`
	// Source says which list the receiver has after this update.
	Source Source `json:"-"`
}

// errNoID is returned for an entry without an id.
var errNoID = errors.New("an entry without an id")

// Merge parses an entry into the known entry of the endpoint, so that missing fields keep their values.
func Merge(known Entry, text json.RawMessage) (Entry, error) {
	err := json.Unmarshal(text, &known)
	if err == nil && known.ID == "" {
		err = errNoID
	}
	return known, err
}

// validate returns an error if an entry cannot be parsed.
func (u *Update) validate() error {
	for _, text := range u.Members {
		if _, err := Merge(Entry{}, text); err != nil {
			return err
		}
	}
	return nil
}
