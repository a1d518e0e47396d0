package loader

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// arrival is one scheduled request.
type arrival struct {
	// due is the time since the start of the run.
	due            time.Duration
	kind           int
	key            string
	idempotencyKey string
	// router is the index in Settings.Routers of the router to send it to.
	router int
}

// schedule generates the open-loop arrivals of a run: exponential interarrival
// times, keys by a Zipf distribution, and kinds by weight.
type schedule struct {
	settings    Settings
	random      *rand.Rand
	zipf        *rand.Zipf
	totalWeight float64
	generated   int
	due         time.Duration
}

func newSchedule(settings Settings) *schedule {
	random := rand.New(rand.NewPCG(settings.Seed, settings.Seed))
	created := &schedule{
		settings: settings,
		random:   random,
		zipf:     rand.NewZipf(random, settings.Skew, 1, uint64(settings.Keys-1)),
	}
	for _, kind := range settings.Kinds {
		created.totalWeight += kind.Weight
	}
	return created
}

// next returns the next arrival, or false at the end of the run.
func (s *schedule) next() (arrival, bool) {
	interval := s.random.ExpFloat64() / s.settings.Rate
	s.due += time.Duration(interval * float64(time.Second))
	if s.generated >= s.settings.Count || s.due > s.settings.Duration {
		return arrival{}, false
	}
	scheduled := arrival{
		due:    s.due,
		kind:   s.pickKind(),
		key:    s.pickKey(),
		router: s.generated % len(s.settings.Routers),
	}
	if s.settings.Kinds[scheduled.kind].HasIdempotencyKey {
		scheduled.idempotencyKey = fmt.Sprintf("%x-%d", s.settings.Seed, s.generated)
	}
	s.generated++
	return scheduled, true
}

// pickKey returns a key that is hot at this time, or one by the Zipf distribution.
func (s *schedule) pickKey() string {
	for _, hot := range s.settings.Hot {
		active := s.due >= hot.From && s.due < hot.Until
		if active && s.random.Float64() < hot.Share {
			return hot.Key
		}
	}
	return fmt.Sprintf("%s%d", s.settings.KeyPrefix, s.zipf.Uint64())
}

func (s *schedule) pickKind() int {
	remaining := s.random.Float64() * s.totalWeight
	for i, kind := range s.settings.Kinds {
		remaining -= kind.Weight
		if remaining < 0 {
			return i
		}
	}
	return len(s.settings.Kinds) - 1
}
