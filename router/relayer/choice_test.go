package relayer

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/chooser"
	"marigoldhill/router/mapper"
)

// Guards against a rate that bounds warm servers, or that cold ones do not get.
func TestCandidatesHaveRateWhileCold(t *testing.T) {
	for _, rate := range []float64{0, 8.1} {
		routes := mapper.New()
		row := func(name string, cold bool) *messenger.ServerRow {
			return &messenger.ServerRow{Name: name, Service: "findings", Slots: 6, Cold: cold}
		}
		qt.Assert(t, routes.Apply(&messenger.TableDelta{
			Full: true, To: 1,
			Configuration: &messenger.Configuration{Version: 1, Services: []messenger.RoutedService{{Name: "findings", ColdRate: rate}}},
			Sessions: []messenger.SessionRow{
				{Session: 1, Domain: "a", Server: row("warm", false)},
				{Session: 2, Domain: "b", Server: row("cold", true)},
				{Session: 3, Domain: "c", Server: row("leaving", true), Leaving: true},
			},
		}), qt.IsNil)
		call := &routedCall{service: "findings", entry: &Entry{leavers: newLeavers()}}
		qt.Check(t, call.candidates(routes.Load()), qt.DeepEquals, []chooser.Candidate{
			{Session: 1, Domain: "a", Slots: 6},
			{Session: 2, Domain: "b", Slots: 6, Cold: true, ColdRate: rate},
		})
	}
}
