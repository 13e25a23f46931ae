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
	Members  []json.RawMessage `json:"members"`  // entries, to be parsed by ParseEntries

	// Entries are the parsed Members of an update that a Client delivers.
	Entries []EntryUpdate `json:"-"`
	// ConfirmedAgo is the time between the last earlier confirmation that the list was complete and the arrival of this update; negative:
	// there was no earlier confirmation.
	ConfirmedAgo time.Duration `json:"-"`
	// Source says which list the receiver has after this update.
	Source Source `json:"-"`
}

// errNoID is returned for an entry without an id.
var errNoID = errors.New("an entry without an id")

// EntryUpdate is an entry as the discovery service has sent it. Missing fields are nil.
type EntryUpdate struct {
	ID       string   `json:"id"`
	HostPort *string  `json:"host_port"`
	Locality *string  `json:"locality"`
	Flavor   *string  `json:"flavor"`
	Cell     *int32   `json:"cell"`
	Phase    *string  `json:"phase"`
	Size     *float64 `json:"size"`
	UpSince  *float64 `json:"up_since_ms"`
}

// ParseEntry parses an entry.
func ParseEntry(text json.RawMessage) (EntryUpdate, error) {
	var u EntryUpdate
	err := json.Unmarshal(text, &u)
	if err == nil && u.ID == "" {
		err = errNoID
	}
	return u, err
}

// ParseEntries parses the entries of a stored list. It leaves out those that cannot be parsed, and returns an error for each.
func ParseEntries(texts []json.RawMessage) (entries []EntryUpdate, errs []error) {
	entries = make([]EntryUpdate, 0, len(texts))
	for _, text := range texts {
		entry, err := ParseEntry(text)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		entries = append(entries, entry)
	}
	return entries, errs
}

// ApplyTo returns the known entry of the endpoint with the fields of the update. Missing fields keep their values.
func (u *EntryUpdate) ApplyTo(known Entry) Entry {
	known.ID = u.ID
	replaceIfPresent(&known.HostPort, u.HostPort)
	replaceIfPresent(&known.Locality, u.Locality)
	replaceIfPresent(&known.Flavor, u.Flavor)
	replaceIfPresent(&known.Cell, u.Cell)
	replaceIfPresent(&known.Phase, u.Phase)
	replaceIfPresent(&known.Size, u.Size)
	replaceIfPresent(&known.UpSince, u.UpSince)
	return known
}

func replaceIfPresent[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

// parseMembers sets Entries. It returns an error if an entry cannot be parsed.
func (u *Update) parseMembers() error {
	entries, errs := ParseEntries(u.Members)
	if len(errs) > 0 {
		return errs[0]
	}
	u.Entries = entries
	return nil
}
