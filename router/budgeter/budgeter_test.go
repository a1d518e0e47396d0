package budgeter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/router/budgeter"
)

// Every router of a fleet repeats whatever it may, at rates that change. Over no
// window may all of them together send more repeats than the fleet is allowed.
func TestFleetStaysWithinItsBudget(t *testing.T) {
	settings := budgeter.Settings{Ratio: 0.2, Reserve: 58, Window: 10 * time.Second}
	const routers, step = 9, 50 * time.Millisecond
	fleet := make([]*budgeter.Budgeter, routers)
	for n := range fleet {
		fleet[n] = budgeter.New(settings)
	}
	const steps = 800
	var sent, spent [steps]float64
	for tick := range steps {
		now := time.Duration(tick) * step
		for _, router := range fleet {
			if tick < 300 || tick > 500 {
				router.Sent(now, "findings")
				sent[tick]++
			}
			for router.Take(now, "findings", routers) {
				spent[tick]++
			}
		}
	}
	span := int(settings.Window / step)
	sum := func(values []float64) (total float64) {
		for _, value := range values {
			total += value
		}
		return total
	}
	for end := span; end <= steps; end++ {
		// The rule counts the requests of the window, the one before it or the
		// one half a window before it, whichever has most.
		requests := sum(sent[end-span : end])
		if end >= span+span/2 {
			requests = max(requests, sum(sent[end-span-span/2:end-span/2]))
		}
		if end >= 2*span {
			requests = max(requests, sum(sent[end-2*span:end-span]))
		}
		allowed := settings.Ratio*requests + settings.Reserve
		qt.Assert(t, sum(spent[end-span:end]) <= allowed, qt.IsTrue, qt.Commentf("window that ends at step %d: %f of %f", end, sum(spent[end-span:end]), allowed))
	}
}
