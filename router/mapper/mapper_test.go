package mapper_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/mapper"
)

func route(name, host, prefix string, parts ...messenger.RoutePart) messenger.PathRoute {
	return messenger.PathRoute{Name: name, Host: host, Prefix: prefix, Parts: parts}
}

func configure(t *testing.T, routes *mapper.Mapper, to uint64, configuration *messenger.Configuration) {
	qt.Assert(t, routes.Apply(&messenger.TableDelta{From: routes.Load().Revision, To: to, Configuration: configuration}), qt.IsNil)
}

func TestLongestPrefixWins(t *testing.T) {
	routes := mapper.New()
	configure(t, routes, 1, &messenger.Configuration{Version: 1, Routes: []messenger.PathRoute{
		route("all", "desk.example", "/"), route("a", "desk.example", "/a/"),
		route("ab", "desk.example", "/a/b/"), route("other", "vault.example", "/a/"),
	}})
	tests := []struct{ host, path, want string }{
		{host: "desk.example", path: "/a/b/c", want: "ab"},
		{host: "DESK.example", path: "/a/b/", want: "ab"},
		{host: "desk.example", path: "/a/b", want: "a"},
		{host: "desk.example", path: "/a/bc/d", want: "a"},
		{host: "desk.example", path: "/ab", want: "all"},
		{host: "vault.example", path: "/a/b/c", want: "other"},
		{host: "vault.example", path: "/b/"},
		{host: "nobody.example", path: "/a/"},
		{host: "desk.example", path: "a"},
	}
	for _, test := range tests {
		got := ""
		if match := routes.Load().Match(test.host, test.path); match != nil {
			got = match.Name
		}
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%s%s", test.host, test.path))
	}
}

// Guards against a path of many slashes that keeps the processor and the collector busy for
// seconds.
func TestPathOfSlashesIsMatchedInFewSteps(t *testing.T) {
	routes := mapper.New()
	configure(t, routes, 1, &messenger.Configuration{Version: 1, Routes: []messenger.PathRoute{route("a", "desk.example", "/a/b/")}})
	path := strings.Repeat("/", 16<<10)
	allocations := testing.AllocsPerRun(1, func() {
		qt.Check(t, routes.Load().Match("desk.example", path), qt.IsNil)
	})
	qt.Check(t, allocations < 100, qt.IsTrue, qt.Commentf("%v allocations", allocations))
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	routes := mapper.New()
	for n, version := range []uint64{4, 9, 7, 9, 10} {
		configure(t, routes, uint64(n+1), &messenger.Configuration{Version: version})
	}
	configure(t, routes, 6, nil)
	qt.Assert(t, routes.Load().Configuration.Version, qt.Equals, uint64(10))
	// A full delta does not replace a newer configuration either.
	qt.Assert(t, routes.Apply(&messenger.TableDelta{Full: true, To: 3, Configuration: &messenger.Configuration{Version: 8}}), qt.IsNil)
	qt.Assert(t, routes.Load().Configuration.Version, qt.Equals, uint64(10))
}

func TestOwners(t *testing.T) {
	routes := mapper.New()
	server := &messenger.ServerRow{Name: "s1", Service: "findings"}
	qt.Assert(t, routes.Apply(&messenger.TableDelta{
		Full: true, To: 1,
		Sessions: []messenger.SessionRow{{Session: 7, Router: "r1", Address: "a:1", Server: server}},
		Ranges:   []messenger.RangeRow{{Service: "findings", From: 0, To: 99, Phase: messenger.PhaseOwned, Owner: 7, Fence: 3}},
	}), qt.IsNil)
	before := routes.Load()
	owner, ownership := before.Owner("findings", 50)
	qt.Assert(t, owner.Row.Name, qt.Equals, "s1")
	qt.Assert(t, ownership.Fence, qt.Equals, uint64(3))
	owner, _ = before.Owner("findings", 100)
	qt.Assert(t, owner, qt.IsNil)
	qt.Assert(t, routes.Apply(&messenger.TableDelta{
		From: 1, To: 2, Sessions: []messenger.SessionRow{{Session: 7, Gone: true}},
		Ranges: []messenger.RangeRow{{Service: "findings", From: 10, To: 19, Phase: messenger.PhaseFree}},
	}), qt.IsNil)
	<-before.Next()
	qt.Assert(t, routes.Load().OwnedRanges("findings", 7), qt.HasLen, 2)
	qt.Assert(t, routes.Load().AllServers(), qt.HasLen, 0)
	qt.Assert(t, before.OwnedRanges("findings", 7), qt.HasLen, 1)
	qt.Assert(t, routes.Apply(&messenger.TableDelta{From: 5, To: 6}), qt.ErrorMatches, ".*starts at revision 5.*")
}

func TestQuarantines(t *testing.T) {
	routes := mapper.New()
	deltas := []struct {
		delta messenger.TableDelta
		want  []string
	}{
		{delta: messenger.TableDelta{Full: true, To: 1, Quarantines: []messenger.QuarantineRow{{Fingerprint: "a"}, {Fingerprint: "b"}}}, want: []string{"a", "b"}},
		{delta: messenger.TableDelta{From: 1, To: 2}, want: []string{"a", "b"}},
		{delta: messenger.TableDelta{From: 2, To: 3, Quarantines: []messenger.QuarantineRow{{Fingerprint: "a", Gone: true}, {Fingerprint: "c"}}}, want: []string{"b", "c"}},
		{delta: messenger.TableDelta{Full: true, To: 4, Quarantines: []messenger.QuarantineRow{{Fingerprint: "c"}}}, want: []string{"c"}},
		{delta: messenger.TableDelta{Full: true, To: 5}},
	}
	for _, step := range deltas {
		qt.Assert(t, routes.Apply(&step.delta), qt.IsNil)
		var got []string
		for _, fingerprint := range []string{"a", "b", "c", ""} {
			if routes.Load().IsQuarantined(fingerprint) {
				got = append(got, fingerprint)
			}
		}
		qt.Check(t, got, qt.DeepEquals, step.want, qt.Commentf("revision %d", step.delta.To))
	}
}
