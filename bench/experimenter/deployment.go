package experimenter

import (
	"time"

	"marigoldhill/bench/launcher"
	"marigoldhill/bench/loader"
	"marigoldhill/kernel/messenger"
)

// The load of a deployment, as parts of what its servers could do at most.
const (
	interactivePart = 0.25
	backgroundPart  = 0.60
	// slots is the number of slots of each server.
	slots = 6
)

const (
	keys    = 1000
	skew    = 1.1
	flight  = 4096
	timeout = 5 * time.Second
	resends = 3
)

// Deployment is a plan with the distances between its places and its load.
type Deployment struct {
	Plan launcher.Plan
	// Between is the time one way between two VMs, Callers that between callers
	// and VMs.
	Between time.Duration
	Callers time.Duration
}

// Derwent is the deployment of inspection reports.
func Derwent() (Deployment, error) {
	plan, err := launcher.Derwent()
	return Deployment{Plan: plan, Between: 1500 * time.Microsecond, Callers: 3 * time.Millisecond}, err
}

// Kgotso is the deployment of district heat connections.
func Kgotso() (Deployment, error) {
	plan, err := launcher.Kgotso()
	return Deployment{Plan: plan, Between: 500 * time.Microsecond, Callers: 3 * time.Millisecond}, err
}

// load returns the settings of load for one service: interactive alone, or with
// background work beside it.
func (d Deployment) load(row launcher.ServerCount, beside bool, length time.Duration, seed uint64) loader.Settings {
	mix, _ := loader.MixOf(row.Service)
	capacity := float64(row.Count * slots)
	interactive, interactiveRate := scaled(mix.Kinds, messenger.ClassInteractive, capacity*interactivePart)
	kinds, rate := interactive, interactiveRate
	if beside {
		background, backgroundRate := scaled(mix.Kinds, messenger.ClassBackground, capacity*backgroundPart)
		kinds = append(kinds, background...)
		rate += backgroundRate
	}
	return loader.Settings{
		Service: row.Service, Prefix: mix.Prefix, Kinds: kinds, Rate: rate, Duration: length,
		Count: int(rate*length.Seconds()*2) + 1, Keys: keys, Skew: skew, Flight: flight,
		Timeout: timeout, Resends: resends, Seed: seed,
	}
}

// scaled returns the kinds of a class with weights that are their rates a
// second, so that together they ask for the given number of slots.
func scaled(kinds []loader.Kind, class messenger.Class, busy float64) ([]loader.Kind, float64) {
	var chosen []loader.Kind
	asked := 0.0
	for _, kind := range kinds {
		if kind.Class == class {
			chosen = append(chosen, kind)
			asked += kind.Weight * kind.Work.Seconds()
		}
	}
	rate := 0.0
	for i := range chosen {
		chosen[i].Weight *= busy / asked
		rate += chosen[i].Weight
	}
	return chosen, rate
}
