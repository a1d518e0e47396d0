package loader

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// arrival is one request that is due.
type arrival struct {
	// due is the time after the start of the run.
	due    time.Duration
	kind   int
	key    string
	number string
	// router is the place in Settings.Routers of the one to send it to.
	router int
}

// arrivals makes the open-loop schedule of a run: exponential gaps, keys by a
// Zipf law, kinds by weight.
type arrivals struct {
	settings Settings
	random   *rand.Rand
	zipf     *rand.Zipf
	weight   float64
	made     int
	due      time.Duration
}

func newArrivals(settings Settings) *arrivals {
	random := rand.New(rand.NewPCG(settings.Seed, settings.Seed))
	made := &arrivals{
		settings: settings,
		random:   random,
		zipf:     rand.NewZipf(random, settings.Skew, 1, uint64(settings.Keys-1)),
	}
	for _, kind := range settings.Kinds {
		made.weight += kind.Weight
	}
	return made
}

// next returns the next arrival, or false when the run is over.
func (a *arrivals) next() (arrival, bool) {
	gap := a.random.ExpFloat64() / a.settings.Rate
	a.due += time.Duration(gap * float64(time.Second))
	if a.made >= a.settings.Count || a.due > a.settings.Duration {
		return arrival{}, false
	}
	found := arrival{
		due:    a.due,
		kind:   a.pickKind(),
		key:    a.pickKey(),
		router: a.made % len(a.settings.Routers),
	}
	if a.settings.Kinds[found.kind].Numbered {
		found.number = fmt.Sprintf("%x-%d", a.settings.Seed, a.made)
	}
	a.made++
	return found, true
}

// pickKey returns a hot key, or one by the Zipf law.
func (a *arrivals) pickKey() string {
	for _, hot := range a.settings.Hot {
		isNow := a.due >= hot.From && a.due < hot.Until
		if isNow && a.random.Float64() < hot.Part {
			return hot.Key
		}
	}
	return fmt.Sprintf("%s%d", a.settings.Prefix, a.zipf.Uint64())
}

func (a *arrivals) pickKind() int {
	rest := a.random.Float64() * a.weight
	for i, kind := range a.settings.Kinds {
		rest -= kind.Weight
		if rest < 0 {
			return i
		}
	}
	return len(a.settings.Kinds) - 1
}
