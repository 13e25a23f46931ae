package simulator

import (
	"context"
	"math"
	"testing"

	"mintspring/internal/testbed/experiment"
	"mintspring/internal/testbed/processrunner"
)

// Compares a run of real nodes with fake servers to a simulated run. The figures must agree within bounds that a shared machine can keep,
// which guards against a model that is too optimistic. The test is skipped if the machine is too busy to run real nodes on time.
func TestSimulationAgreesWithRealNodes(t *testing.T) {
	x := parseExperiment(t, smallFleet+stepTOML(1.5, "kill", "box = \"box-0\"\nfor = \"1s\"")+stepTOML(3, "drain", "box = \"box-1\""))
	realRun, err := processrunner.Play(context.Background(), x, processrunner.Options{
		Program: "real", InProcess: processrunner.ServeInProcess, Dir: t.TempDir(),
	})
	if err != nil {
		t.Fatal(err)
	}
	if realRun.LatenessMs > experiment.MaxLatenessMs {
		t.Skipf("the machine is too busy: %.0f ms late", realRun.LatenessMs)
	}
	simulated := runExperiment(t, x, Options{Program: "simulated"})
	if realCount, simulatedCount := len(realRun.Requests), len(simulated.Requests); realCount != simulatedCount {
		t.Errorf("%d real requests, %d simulated ones", realCount, simulatedCount)
	}
	for name, bound := range map[string]float64{
		"in_slo": 0.05, "hit_share": 0.05, "executions_per_query": 0.08, "completed": 0.03, "tries_per_query": 0.05,
	} {
		if realFigure, simulatedFigure := realRun.FigureByName(name), simulated.FigureByName(name); math.Abs(realFigure-simulatedFigure) > bound {
			t.Errorf("%s: %.3f real, %.3f simulated", name, realFigure, simulatedFigure)
		}
	}
	if len(realRun.Violations)+len(simulated.Violations) > 0 {
		t.Errorf("violations: %v real, %v simulated", realRun.Violations, simulated.Violations)
	}
}
