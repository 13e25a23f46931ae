package discovery

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"mintspring/internal/config/settings"
	"mintspring/internal/fleet"
)

// OriginFlavor is the flavor under which the origin stands in the endpoint list.
const OriginFlavor = "origin"

// Phases of an endpoint that the node tells apart; it sends nothing new to an endpoint in any other.
const (
	PhaseInService  = "in_service"
	PhaseTerminated = "terminated"
)

// Entry is one endpoint as the discovery service describes it. Fields may be missing.
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

// Endpoint returns the entry as the decision module takes it. An endpoint without an address, or in a phase that is not
// known, is draining.
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

// Update is what one response, or one object of a watch, says.
type Update struct {
	Revision int64             `json:"revision"`
	Complete bool              `json:"complete"` // Members is the complete list, not only what has changed
	Members  []json.RawMessage `json:"members"`  // entries, to be read with Merge

	// ConfirmedAgo is how long before the update the list was last known to be complete without it; negative: it never was.
	ConfirmedAgo time.Duration `json:"-"`
}

// errNoID is returned for an entry that names no endpoint.
var errNoID = errors.New("an entry without an id")

// Merge reads an entry over what was known of the endpoint, so that fields which are missing stay as they were.
func Merge(known Entry, text json.RawMessage) (Entry, error) {
	err := json.Unmarshal(text, &known)
	if err == nil && known.ID == "" {
		err = errNoID
	}
	return known, err
}

// validate reports whether every entry can be read.
func (u *Update) validate() error {
	for _, text := range u.Members {
		if _, err := Merge(Entry{}, text); err != nil {
			return err
		}
	}
	return nil
}
