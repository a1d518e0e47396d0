package mapper_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/mapper"
)

func TestEvacuations(t *testing.T) {
	routes := mapper.New()
	deltas := []struct {
		delta messenger.TableDelta
		want  []string
	}{
		{delta: messenger.TableDelta{Full: true, To: 1, Evacuations: []messenger.EvacuationRow{{Domain: "a", Since: 5}, {Domain: "b"}}}, want: []string{"a", "b"}},
		{delta: messenger.TableDelta{From: 1, To: 2}, want: []string{"a", "b"}},
		{delta: messenger.TableDelta{From: 2, To: 3, Evacuations: []messenger.EvacuationRow{{Domain: "b", Gone: true}, {Domain: "c"}, {Domain: "d", Gone: true}}}, want: []string{"a", "c"}},
		{delta: messenger.TableDelta{Full: true, To: 4, Evacuations: []messenger.EvacuationRow{{Domain: "c"}}}, want: []string{"c"}},
		{delta: messenger.TableDelta{Full: true, To: 5}},
	}
	for _, step := range deltas {
		before := routes.Load()
		known := before.Evacuation("a") != nil
		qt.Assert(t, routes.Apply(&step.delta), qt.IsNil)
		var got []string
		for _, domain := range []string{"a", "b", "c", "d", ""} {
			if row := routes.Load().Evacuation(domain); row != nil {
				got = append(got, row.Domain)
			}
		}
		qt.Check(t, got, qt.DeepEquals, step.want, qt.Commentf("revision %d", step.delta.To))
		qt.Check(t, before.Evacuation("a") != nil, qt.Equals, known, qt.Commentf("an earlier map has changed"))
	}
}

func TestIsEvacuated(t *testing.T) {
	session := func(number uint64, domain, service string, isLeaving bool) messenger.SessionRow {
		return messenger.SessionRow{Session: number, Domain: domain, Leaving: isLeaving, Server: &messenger.ServerRow{Service: service}}
	}
	tests := []struct {
		name      string
		sessions  []messenger.SessionRow
		evacuated []string
		want      bool
	}{
		{name: "no servers", evacuated: []string{"a"}},
		{name: "no evacuation", sessions: []messenger.SessionRow{session(1, "a", "findings", true)}},
		{name: "all domains", sessions: []messenger.SessionRow{session(1, "a", "findings", true), session(2, "b", "findings", true)}, evacuated: []string{"a", "b"}, want: true},
		{name: "one domain left", sessions: []messenger.SessionRow{session(1, "a", "findings", true), session(2, "b", "findings", false)}, evacuated: []string{"a"}},
		{name: "the others leave", sessions: []messenger.SessionRow{session(1, "a", "findings", true), session(2, "b", "findings", true)}, evacuated: []string{"a"}, want: true},
		{name: "another service left", sessions: []messenger.SessionRow{session(1, "a", "findings", true), session(2, "b", "notices", false)}, evacuated: []string{"a"}, want: true},
	}
	for _, test := range tests {
		routes := mapper.New()
		delta := messenger.TableDelta{Full: true, To: 1, Sessions: test.sessions}
		for _, domain := range test.evacuated {
			delta.Evacuations = append(delta.Evacuations, messenger.EvacuationRow{Domain: domain})
		}
		qt.Assert(t, routes.Apply(&delta), qt.IsNil)
		qt.Check(t, routes.Load().IsEvacuated("findings"), qt.Equals, test.want, qt.Commentf(test.name))
	}
}
