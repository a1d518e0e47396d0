package tallier_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/timer"
	"marigoldhill/router/tallier"
)

func TestHotKeyAmongMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tally := tallier.New()
		for i := range 10_000 {
			tally.Add("findings", uint32(i%100), fmt.Sprint(i), time.Millisecond)
			tally.Add("findings", 7, "hot", time.Millisecond)
		}
		loads, keys := tally.Report(timer.Now())
		qt.Assert(t, loads, qt.HasLen, tallier.MaxLoads)
		qt.Assert(t, loads[0].Shard, qt.Equals, uint32(7))
		qt.Assert(t, loads[0].Requests, qt.Equals, uint64(10_100))
		qt.Assert(t, keys[0].Key, qt.Equals, "hot")
		qt.Assert(t, keys[0].Part >= 0.5 && keys[0].Part < 0.52, qt.IsTrue, qt.Commentf("part %f", keys[0].Part))

		// Another key gets hot; the old one fades.
		time.Sleep(time.Minute)
		tally.Report(timer.Now())
		for range 1_000 {
			tally.Add("findings", 8, "next", time.Millisecond)
		}
		loads, keys = tally.Report(timer.Now())
		qt.Assert(t, loads, qt.HasLen, 1)
		qt.Assert(t, keys[0].Key, qt.Equals, "next")
	})
}
