package aggregator_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/aggregator"
)

func TestReportsHotKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tally := aggregator.New()
		for i := range 10_000 {
			tally.Add("findings", uint32(i%100), fmt.Sprint(i), time.Millisecond)
			tally.Add("findings", 7, "hot", time.Millisecond)
		}
		var first messenger.Heartbeat
		tally.Report(timer.Now(), &first)
		qt.Assert(t, first.Loads, qt.HasLen, aggregator.MaxLoads)
		qt.Assert(t, first.Loads[0].Shard, qt.Equals, uint32(7))
		qt.Assert(t, first.Loads[0].Requests, qt.Equals, uint64(10_100))
		qt.Assert(t, first.Keys[0].Key, qt.Equals, "hot")
		qt.Assert(t, first.Keys[0].Part >= 0.5 && first.Keys[0].Part < 0.52, qt.IsTrue, qt.Commentf("part %f", first.Keys[0].Part))
		// The totals include the shards that are not listed.
		qt.Assert(t, first.Requests, qt.Equals, uint64(20_000))
		qt.Assert(t, first.Busy, qt.Equals, 20*time.Second)

		// The work of the old hot key decays before another one becomes hot.
		time.Sleep(time.Minute)
		var idle messenger.Heartbeat
		tally.Report(timer.Now(), &idle)
		qt.Assert(t, idle.Requests, qt.Equals, uint64(0))
		for range 1_000 {
			tally.Add("findings", 8, "next", time.Millisecond)
		}
		var next messenger.Heartbeat
		tally.Report(timer.Now(), &next)
		qt.Assert(t, next.Loads, qt.HasLen, 1)
		qt.Assert(t, next.Keys[0].Key, qt.Equals, "next")
	})
}
