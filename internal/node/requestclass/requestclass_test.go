package requestclass

import (
	"testing"

	"pgregory.net/rapid"

	"mintspring/internal/fleet"
)

var classNames = []string{"a", "b", "c", "d"}

// tableModel is a table, with what its users expect of it. It is a state machine of rapid.
type tableModel struct {
	table    Table
	now      float64
	inFlight []request
	current  map[string]fleet.Class // of the last settings
}

type request struct {
	id    fleet.ClassID
	class fleet.Class // under which it arrived
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
		if id, known := m.table.ID(name); known {
			m.table.Acquire(id)
			m.inFlight = append(m.inFlight, request{id, m.current[name]})
		}
	}
}

func (m *tableModel) Release(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "which")
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
		id, known := m.table.ID(name)
		if class, want := m.current[name]; known != want || known && classes[id] != class {
			t.Fatalf("%q is known: %v, want %v", name, known, want)
		}
	}
}

// Settings follow one another while requests are in flight: each request finds under its id the class under which it arrived, and names
// lead to the classes of the last settings.
func TestTable(t *testing.T) {
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
		t.Error("one name twice is accepted")
	}
	if _, known := table.ID("a"); known {
		t.Error("settings that were refused are taken over in part")
	}
}
