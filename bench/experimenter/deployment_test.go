package experimenter

import (
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/bench/loader"
	"marigoldhill/kernel/messenger"
)

func TestLoadOccupiesFractionOfSlots(t *testing.T) {
	for _, build := range []func() (Deployment, error){Derwent, Kgotso} {
		deployment, err := build()
		qt.Assert(t, err, qt.IsNil)
		for _, row := range deployment.Plan.Servers {
			settings := deployment.load(row, true, time.Second, 1)
			busySlots := make(map[messenger.Class]float64)
			rate := 0.0
			for _, kind := range settings.Kinds {
				busySlots[kind.Class] += kind.Weight * kind.Work.Seconds()
				rate += kind.Weight
			}
			capacity := float64(row.Count * slotsPerServer)
			comment := qt.Commentf("service %s: %v", row.Service, busySlots)
			qt.Assert(t, int(busySlots[messenger.ClassInteractive]/capacity*100+0.5), qt.Equals, 25, comment)
			if busySlots[messenger.ClassBackground] > 0 {
				qt.Assert(t, int(busySlots[messenger.ClassBackground]/capacity*100+0.5), qt.Equals, 60, comment)
			}
			qt.Assert(t, int(settings.Rate+0.5), qt.Equals, int(rate+0.5))
		}
	}
}

func TestClasslessPlanHasOneClass(t *testing.T) {
	deployment, err := Derwent()
	qt.Assert(t, err, qt.IsNil)
	for _, profile := range VariantClassless.plan(deployment.Plan).Profiles {
		qt.Assert(t, profile.Class, qt.Equals, messenger.ClassInteractive)
	}
	classes := make(map[messenger.Class]bool)
	for _, profile := range deployment.Plan.Profiles {
		classes[profile.Class] = true
	}
	qt.Assert(t, classes[messenger.ClassBackground], qt.IsTrue, qt.Commentf("the original plan must not change"))
}

func TestTableAndPlots(t *testing.T) {
	rows := []Row{{
		Scenario: "loss", Variant: VariantPolicy, Service: "findings",
		InteractiveOnly: loader.Latency{P99: 20 * time.Millisecond}, Mixed: loader.Latency{P99: 30 * time.Millisecond},
		Report: loader.Report{Outcomes: []loader.OutcomeCount{
			{Kind: "finding", Outcome: messenger.OutcomeRefused, Reason: messenger.ReasonUnowned, Count: 3},
		}},
	}}
	qt.Assert(t, Table(rows), qt.Contains, "1.50")
	qt.Assert(t, Table(rows), qt.Contains, "loss      policy   findings  finding  refused  unowned  3")
	paths, err := Plot(rows, "findings", t.TempDir())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, paths, qt.HasLen, 4)
	for _, path := range paths {
		info, err := os.Stat(path)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, info.Size() > 0, qt.IsTrue)
	}
}
