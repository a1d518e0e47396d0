package experimenter

import (
	"time"

	"marigoldhill/bench/launcher"
	"marigoldhill/bench/loader"
	"marigoldhill/kernel/messenger"
)

// The load of a deployment, as fractions of the capacity of its servers.
const (
	interactiveFraction = 0.25
	backgroundFraction  = 0.60
	// slotsPerServer is the number of slots of each stand-in server.
	slotsPerServer = 6
)

const (
	keyCount       = 1000
	keySkew        = 1.1
	maxInFlight    = 4096
	requestTimeout = 5 * time.Second
	maxResends     = 3
)

// Deployment is a plan with the network delays between its VMs and callers.
type Deployment struct {
	Plan launcher.Plan
	// VMDelay is the one-way delay between two VMs, CallerDelay the one between
	// callers and VMs.
	VMDelay     time.Duration
	CallerDelay time.Duration
}

// Derwent returns the deployment of inspection reports.
func Derwent() (Deployment, error) {
	plan, err := launcher.Derwent()
	return Deployment{Plan: plan, VMDelay: 1500 * time.Microsecond, CallerDelay: 3 * time.Millisecond}, err
}

// Kgotso returns the deployment of district heat connections.
func Kgotso() (Deployment, error) {
	plan, err := launcher.Kgotso()
	return Deployment{Plan: plan, VMDelay: 500 * time.Microsecond, CallerDelay: 3 * time.Millisecond}, err
}

// load returns the loader settings for one service: interactive requests only, or
// mixed with background requests.
func (d Deployment) load(row launcher.ServerCount, mixed bool, duration time.Duration, seed uint64) loader.Settings {
	mix, _ := loader.FindMix(row.Service)
	capacity := float64(row.Count * slotsPerServer)
	interactive, interactiveRate := scaleKinds(mix.Kinds, messenger.ClassInteractive, capacity*interactiveFraction)
	kinds, rate := interactive, interactiveRate
	if mixed {
		background, backgroundRate := scaleKinds(mix.Kinds, messenger.ClassBackground, capacity*backgroundFraction)
		kinds = append(kinds, background...)
		rate += backgroundRate
	}
	return loader.Settings{
		Service: row.Service, KeyPrefix: mix.KeyPrefix, Kinds: kinds, Rate: rate, Duration: duration,
		Count: int(rate*duration.Seconds()*2) + 1, Keys: keyCount, Skew: keySkew, Flight: maxInFlight,
		Timeout: requestTimeout, Resends: maxResends, Seed: seed,
	}
}

// scaleKinds returns the kinds of a class, with their rates per second as weights,
// and the sum of the rates. The rates are scaled so that the kinds together occupy
// busySlots slots on average.
func scaleKinds(kinds []loader.Kind, class messenger.Class, busySlots float64) ([]loader.Kind, float64) {
	var selected []loader.Kind
	requestedSlots := 0.0
	for _, kind := range kinds {
		if kind.Class == class {
			selected = append(selected, kind)
			requestedSlots += kind.Weight * kind.Work.Seconds()
		}
	}
	rate := 0.0
	for i := range selected {
		selected[i].Weight *= busySlots / requestedSlots
		rate += selected[i].Weight
	}
	return selected, rate
}
