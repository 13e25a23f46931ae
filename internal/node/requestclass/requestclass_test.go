package requestclass

import (
	"testing"

	"pgregory.net/rapid"

	"mintspring/internal/fleet"
)

var classNames = []string{"a", "b", "c", "d"}

// tableModel is a table together with its expected state. It is a rapid state machine.
type tableModel struct {
	table    Table
	now      float64
	inFlight []request
	current  map[string]fleet.Class // classes of the latest settings
}

type request struct {
	id    fleet.ClassID
	class fleet.Class // class under which the request arrived
}

func (m *tableModel) Update(t *rapid.T) {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom(classNames), 1, 4, rapid.ID[string]).Draw(t, "names")
	var classes []fleet.Class
	m.current = map[string]fleet.Class{}
	for _, name := range names {
		class := fleet.Class{
			ClientTimeout: float64(rapid.IntRange(1, 3).Draw(t, "timeout")), Effect: fleet.Effect(rapid.IntRange(0, 2).Draw(t, "effect")),
			MaxAttempts: rapid.IntRange(1, 2).Draw(t, "attempts"),
		}
		classes, m.current[name] = append(classes, class), class
	}
	if err := m.table.Update(m.now, names, classes); err != nil {
		t.Fatal(err)
	}
}

func (m *tableModel) Acquire(*rapid.T) {
	for _, name := range classNames {
		if id, found := m.table.ID(name); found {
			m.table.Acquire(id)
			m.inFlight = append(m.inFlight, request{id, m.current[name]})
		}
	}
}

func (m *tableModel) Release(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "request")
	m.table.Release(m.now, m.inFlight[i].id)
	m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
}

func (m *tableModel) Wait(t *rapid.T) { m.now += rapid.Float64Range(0, 2*reuseDelay).Draw(t, "ms") }

func (m *tableModel) Check(t *rapid.T) {
	classes := m.table.Classes()
	for _, r := range m.inFlight {
		if classes[r.id] != r.class {
			t.Fatalf("a request that arrived under %+v is now under %+v", r.class, classes[r.id])
		}
	}
	for _, name := range classNames {
		id, found := m.table.ID(name)
		if class, want := m.current[name]; found != want || found && classes[id] != class {
			t.Fatalf("%q is found: %v, want %v", name, found, want)
		}
	}
}

// While the settings change, the id of each request in flight keeps the class under which the request arrived, and names refer to the
// classes of the latest settings.
func TestTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(rapid.StateMachineActions(&tableModel{})) })
}

func TestIDsAreReused(t *testing.T) {
	var table Table
	for day := range 1000 {
		now := float64(day) * 86400e3
		if err := table.Update(now, []string{"read", "put"}, []fleet.Class{{LatencyObjective: 7}, {LatencyObjective: float64(day)}}); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(table.Classes()); n > 4 {
		t.Errorf("%d ids for two classes", n)
	}
	if err := table.Update(0, []string{"a", "b", "a"}, make([]fleet.Class, 3)); err == nil {
		t.Error("a duplicate name is accepted")
	}
	if _, found := table.ID("a"); found {
		t.Error("rejected settings are partly applied")
	}
}
