package locator_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/locator"
)

func TestEvacuations(t *testing.T) {
	table := locator.NewTable()
	deltas := []struct {
		delta messenger.TableDelta
		want  []string
		// all is set if no router takes new work.
		all bool
	}{
		{delta: messenger.TableDelta{Full: true, To: 1, Sessions: []messenger.SessionRow{{Session: 7, Domain: "a"}, {Session: 8, Domain: "b"}}}},
		{delta: messenger.TableDelta{From: 1, To: 2, Evacuations: []messenger.EvacuationRow{{Domain: "a"}}}, want: []string{"a"}},
		{delta: messenger.TableDelta{From: 2, To: 3, Evacuations: []messenger.EvacuationRow{{Domain: "b"}}}, want: []string{"a", "b"}, all: true},
		{delta: messenger.TableDelta{From: 3, To: 4}, want: []string{"a", "b"}, all: true},
		{delta: messenger.TableDelta{From: 4, To: 5, Evacuations: []messenger.EvacuationRow{{Domain: "a", Gone: true}}}, want: []string{"b"}},
		{delta: messenger.TableDelta{From: 5, To: 6, Sessions: []messenger.SessionRow{{Session: 7, Domain: "a", Leaving: true}}}, want: []string{"b"}, all: true},
		{delta: messenger.TableDelta{Full: true, To: 7, Sessions: []messenger.SessionRow{{Session: 7, Domain: "a", Leaving: true}}}},
	}
	for _, step := range deltas {
		table = apply(t, table, &step.delta)
		var got []string
		for _, domain := range []string{"a", "b", ""} {
			if row := table.Evacuation(domain); row != nil {
				got = append(got, row.Domain)
			}
		}
		qt.Check(t, got, qt.DeepEquals, step.want, qt.Commentf("revision %d", step.delta.To))
		qt.Check(t, table.IsEvacuated(), qt.Equals, step.all, qt.Commentf("revision %d", step.delta.To))
	}
}
