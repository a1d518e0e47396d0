package locator_test

import (
	"errors"
	"fmt"
	"runtime"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/hasher"
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/locator"
)

func fullDelta(revision uint64, shards uint32) *messenger.TableDelta {
	delta := &messenger.TableDelta{
		Full:     true,
		To:       revision,
		Sessions: []messenger.SessionRow{{Session: 7, Router: "r7"}, {Session: 8, Router: "r8"}},
		Services: []messenger.Service{{Name: "findings", Shards: shards}},
	}
	for shard := range shards {
		delta.Shards = append(delta.Shards, messenger.ShardRow{
			Service: "findings", Shard: shard, Phase: messenger.PhaseOwned, Owner: 7, Fence: uint64(shard) + 1})
	}
	return delta
}

func apply(t *testing.T, table *locator.Table, delta *messenger.TableDelta) *locator.Table {
	next, err := table.Apply(delta)
	qt.Assert(t, err, qt.IsNil)
	return next
}

func TestLocate(t *testing.T) {
	const key = "door-17"
	shard := hasher.Shard(key, 1000)
	row := func(phase messenger.Phase, owner uint64) []messenger.ShardRow {
		return []messenger.ShardRow{{Service: "findings", Shard: shard, Phase: phase, Owner: owner, Fence: 99, Next: 8, Survivors: []uint64{3}}}
	}
	tests := []struct {
		name    string
		service string
		delta   messenger.TableDelta
		reason  messenger.Reason
		owner   uint64
		shard   uint32
	}{
		{name: "owned", service: "findings", owner: 7, shard: shard},
		{name: "unknown service", service: "other", reason: messenger.ReasonService},
		{name: "service removed", service: "findings", reason: messenger.ReasonService, delta: messenger.TableDelta{GoneServices: []string{"findings"}}},
		{name: "moved", service: "findings", owner: 8, shard: shard, delta: messenger.TableDelta{Shards: row(messenger.PhaseOwned, 8)}},
		{name: "free", service: "findings", reason: messenger.ReasonUnowned, shard: shard, delta: messenger.TableDelta{Shards: row(messenger.PhaseFree, 0)}},
		{name: "moving", service: "findings", reason: messenger.ReasonMoving, owner: 7, shard: shard, delta: messenger.TableDelta{Shards: row(messenger.PhaseMoving, 7)}},
		{name: "session closed", service: "findings", reason: messenger.ReasonUnowned, shard: shard,
			delta: messenger.TableDelta{Sessions: []messenger.SessionRow{{Session: 7, Gone: true}}}},
		{name: "promoted", service: "findings", owner: 8, shard: 1000, delta: messenger.TableDelta{
			Keys:   []messenger.KeyRow{{Service: "findings", Key: key, Shard: 1000}},
			Shards: []messenger.ShardRow{{Service: "findings", Shard: 1000, Phase: messenger.PhaseOwned, Owner: 8, Fence: 5}}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			old := apply(t, locator.NewTable(), fullDelta(1, 1000))
			test.delta.From, test.delta.To = 1, 2
			table := apply(t, old, &test.delta)
			place, reason := table.Locate(test.service, key)
			qt.Assert(t, reason, qt.Equals, test.reason)
			qt.Assert(t, place.Row.Shard, qt.Equals, test.shard)
			if test.owner != 0 {
				qt.Assert(t, place.Owner.Session, qt.Equals, test.owner)
			}
			if len(test.delta.Shards) > 0 {
				qt.Assert(t, place.Row, qt.DeepEquals, test.delta.Shards[0])
			}
			// The old table must not change.
			place, reason = old.Locate("findings", key)
			qt.Assert(t, reason, qt.Equals, messenger.ReasonNone)
			qt.Assert(t, place.Row.Fence, qt.Equals, uint64(shard)+1)
		})
	}
}

func TestRevisionsNeverDecrease(t *testing.T) {
	set := metrics.NewSet()
	tables := locator.New(set)
	qt.Assert(t, tables.Apply(fullDelta(10, 4)), qt.IsNil)
	changed := tables.Changed()
	tests := []struct {
		delta     messenger.TableDelta
		wantError error
		reason    string
		wantCount uint64
	}{
		{delta: messenger.TableDelta{From: 5, To: 9}, wantError: locator.ErrOlder, reason: "older", wantCount: 1},
		{delta: messenger.TableDelta{Full: true, To: 9}, wantError: locator.ErrOlder, reason: "older", wantCount: 2},
		{delta: messenger.TableDelta{From: 11, To: 12}, wantError: locator.ErrGap, reason: "gap", wantCount: 1},
	}
	for _, test := range tests {
		_, err := tables.Load().Apply(&test.delta)
		qt.Assert(t, errors.Is(err, test.wantError), qt.IsTrue, qt.Commentf("got %v", err))
		err = tables.Apply(&test.delta)
		qt.Assert(t, errors.Is(err, test.wantError), qt.IsTrue, qt.Commentf("got %v", err))
		qt.Assert(t, tables.Load().Revision(), qt.Equals, uint64(10))
		counter := set.GetOrCreateCounter(`marigold_table_refusals_total{reason="` + test.reason + `"}`)
		qt.Assert(t, counter.Get(), qt.Equals, test.wantCount)
	}
	qt.Assert(t, errors.Is(tables.Store(locator.NewTable()), locator.ErrOlder), qt.IsTrue)
	select {
	case <-changed:
		t.Fatal("a refused delta closed the channel of Changed")
	default:
	}
	qt.Assert(t, tables.Apply(&messenger.TableDelta{From: 8, To: 12}), qt.IsNil)
	<-changed
	qt.Assert(t, tables.Load().Revision(), qt.Equals, uint64(12))
}

func TestProfile(t *testing.T) {
	routes := []messenger.Route{
		{Prefix: "", Profile: "rest"},
		{Prefix: "certificates", Profile: "read"},
		{Prefix: "/certificates/", Method: "POST", Profile: "issue"},
		{Prefix: "certificates/drafts", Profile: "draft"},
		{Prefix: "photos", Profile: "gone"},
	}
	service := messenger.Service{Name: "findings", Shards: 1, Routes: routes}
	var profiles []messenger.Profile
	for _, name := range []string{"rest", "read", "issue", "draft"} {
		profiles = append(profiles, messenger.Profile{Name: name, Idempotent: true})
	}
	table := apply(t, locator.NewTable(), &messenger.TableDelta{Full: true, To: 1, Services: []messenger.Service{service}, Profiles: profiles})
	tests := []struct{ method, route, want string }{
		{method: "GET", route: "", want: "rest"},
		{method: "GET", route: "certificates", want: "read"},
		{method: "GET", route: "certificates/", want: "read"},
		{method: "GET", route: "certificatesx", want: "rest"},
		{method: "POST", route: "certificates/new", want: "issue"},
		{method: "POST", route: "certificates/drafts/1", want: "draft"},
		{method: "GET", route: "photos/1", want: "fallback"},
	}
	for _, test := range tests {
		profile := table.Profile(&service, test.method, test.route)
		qt.Check(t, profile.Name, qt.Equals, test.want, qt.Commentf("%s %s", test.method, test.route))
		qt.Check(t, profile.Idempotent, qt.Equals, test.want != "fallback")
	}
}

func TestOldTableIsUnchangedByPromotedKeys(t *testing.T) {
	promote := func(owner uint64) *messenger.TableDelta {
		return &messenger.TableDelta{
			To:     owner + 1,
			Keys:   []messenger.KeyRow{{Service: "findings", Key: "door-17", Shard: 1000}},
			Shards: []messenger.ShardRow{{Service: "findings", Shard: 1000, Phase: messenger.PhaseOwned, Owner: owner, Fence: owner}},
		}
	}
	old := apply(t, apply(t, locator.NewTable(), fullDelta(1, 1000)), promote(7))
	apply(t, old, promote(8))
	demoted := apply(t, old, &messenger.TableDelta{From: 8, To: 9, Keys: []messenger.KeyRow{{Service: "findings", Key: "door-17", Shard: 1000, Gone: true}}})
	place, reason := old.Locate("findings", "door-17")
	qt.Assert(t, reason, qt.Equals, messenger.ReasonNone)
	qt.Assert(t, place.Row.Fence, qt.Equals, uint64(7))
	qt.Assert(t, demoted.ShardOf("findings", "door-17"), qt.Equals, hasher.Shard("door-17", 1000))
}

func TestQuarantined(t *testing.T) {
	table := apply(t, locator.NewTable(), &messenger.TableDelta{Full: true, To: 1, Quarantines: []messenger.QuarantineRow{{Fingerprint: "aa"}, {Fingerprint: "bb"}}})
	next := apply(t, table, &messenger.TableDelta{From: 1, To: 2, Quarantines: []messenger.QuarantineRow{{Fingerprint: "aa", Gone: true}}})
	qt.Assert(t, table.IsQuarantined("aa"), qt.IsTrue)
	qt.Assert(t, next.IsQuarantined("aa"), qt.IsFalse)
	qt.Assert(t, next.IsQuarantined("bb"), qt.IsTrue)
}

// BenchmarkApplyOne applies a delta of one shard and reports the size of the table per
// shard.
func BenchmarkApplyOne(b *testing.B) {
	for _, shards := range []uint32{1024, 8192, 65536} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			before := heapBytes()
			table, err := locator.NewTable().Apply(fullDelta(1, shards))
			qt.Assert(b, err, qt.IsNil)
			size := heapBytes() - before
			delta := &messenger.TableDelta{Shards: []messenger.ShardRow{{Service: "findings", Shard: shards / 2, Phase: messenger.PhaseOwned, Owner: 8}}}
			b.ReportAllocs()
			for b.Loop() {
				delta.From, delta.To = table.Revision(), table.Revision()+1
				if table, err = table.Apply(delta); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size)/float64(shards), "B/shard")
			runtime.KeepAlive(table)
		})
	}
}

// BenchmarkApplyFull applies a delta with the whole table.
func BenchmarkApplyFull(b *testing.B) {
	for _, shards := range []uint32{1024, 8192, 65536} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			delta := fullDelta(1, shards)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := locator.NewTable().Apply(delta); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
