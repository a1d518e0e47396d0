package loader

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A hot key must get its share of the arrivals in its time window, and none outside it.
func TestHotKeyShareOfArrivals(t *testing.T) {
	schedule := newSchedule(Settings{
		Routers: []string{"a", "b"}, Rate: 1000, Count: 4000, Duration: time.Minute, Keys: 100, Skew: 1.1, KeyPrefix: "k",
		Kinds: []Kind{{Weight: 1}}, Seed: 7,
		Hot: []HotKey{{Key: "hot", Share: 0.5, From: time.Second, Until: 2 * time.Second}},
	})
	windowCount, hotCount := 0, 0
	for {
		arrival, more := schedule.next()
		if !more {
			break
		}
		inWindow := arrival.due >= time.Second && arrival.due < 2*time.Second
		qt.Assert(t, arrival.key == "hot" && !inWindow, qt.IsFalse)
		if inWindow {
			windowCount++
		}
		if arrival.key == "hot" {
			hotCount++
		}
	}
	share := float64(hotCount) / float64(windowCount)
	qt.Assert(t, share > 0.45 && share < 0.55, qt.IsTrue, qt.Commentf("share %.2f", share))
}
