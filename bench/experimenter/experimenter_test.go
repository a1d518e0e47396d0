package experimenter

import (
	"flag"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
)

// With these flags a longer experiment can be run on the fake clock of synctest,
// so that the load of the machine does not affect latencies:
//
//	go test ./bench/experimenter -run Experiment -v -deployment kgotso -length 10s -scenarios loss,drain -variants policy,static
var (
	deploymentFlag = flag.String("deployment", "derwent", "derwent or kgotso")
	lengthFlag     = flag.Duration("length", 500*time.Millisecond, "duration of the mixed phase")
	scenariosFlag  = flag.String("scenarios", "steady", "scenarios, separated by commas")
	variantsFlag   = flag.String("variants", "policy,static", "variants, separated by commas")
	seedFlag       = flag.Uint64("seed", 1, "seed of the load")
	tableFlag      = flag.String("table", "", "file for the table")
)

func TestExperimentGivesEachArrivalOneOutcome(t *testing.T) {
	build := map[string]func() (Deployment, error){"derwent": Derwent, "kgotso": Kgotso}[*deploymentFlag]
	deployment, err := build()
	qt.Assert(t, err, qt.IsNil)
	settings := Settings{
		Length: *lengthFlag, Scenarios: strings.Split(*scenariosFlag, ","), Seed: *seedFlag,
		Note: func(scenario string, variant Variant) { t.Log(scenario, variant) },
	}
	for _, variant := range strings.Split(*variantsFlag, ",") {
		settings.Variants = append(settings.Variants, Variant(variant))
	}
	synctest.Test(t, func(t *testing.T) {
		rows, err := Run(t.Context(), deployment, settings)
		qt.Assert(t, err, qt.IsNil)
		t.Log("\n" + Table(rows))
		if *tableFlag != "" {
			qt.Assert(t, os.WriteFile(*tableFlag, []byte(Table(rows)), 0o644), qt.IsNil)
		}
		for _, row := range rows {
			sum := 0
			for _, count := range row.Report.Outcomes {
				sum += count.Count
				qt.Check(t, count.Outcome != "", qt.IsTrue)
			}
			comment := qt.Commentf("%s %s %s", row.Scenario, row.Variant, row.Service)
			qt.Check(t, sum, qt.Equals, row.Report.Total, comment)
			qt.Check(t, row.Report.Count(messenger.OutcomeDone) > 0, qt.IsTrue, comment)
			if row.Variant == VariantPolicy {
				qt.Check(t, row.Report.Repeated, qt.HasLen, 0, comment)
			}
		}
	})
}
