package budgeter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/router/budgeter"
)

// Guards against a fleet that exceeds its budget although each router keeps its own:
// all routers retry as often as allowed, at changing request rates, and no window may
// hold more retries than the settings allow for the whole fleet.
func TestFleetStaysWithinItsBudget(t *testing.T) {
	settings := budgeter.Settings{Ratio: 0.2, Reserve: 58, Window: 10 * time.Second}
	const routers, step = 9, 50 * time.Millisecond
	fleet := make([]*budgeter.Budgeter, routers)
	for i := range fleet {
		fleet[i] = budgeter.New(settings)
	}
	const steps = 800
	var sent, retried [steps]float64
	for n := range steps {
		now := time.Duration(n) * step
		for _, router := range fleet {
			if n < 300 || n > 500 {
				router.CountRequest(now, "findings")
				sent[n]++
			}
			for router.Take(now, "findings", routers) {
				retried[n]++
			}
		}
	}
	stepsPerWindow := int(settings.Window / step)
	sum := func(values []float64) (total float64) {
		for _, value := range values {
			total += value
		}
		return total
	}
	for end := stepsPerWindow; end <= steps; end++ {
		// The limit is based on the maximum of the requests of this window, of the
		// previous one and of the one half a window earlier.
		requests := sum(sent[end-stepsPerWindow : end])
		if end >= stepsPerWindow+stepsPerWindow/2 {
			requests = max(requests, sum(sent[end-stepsPerWindow-stepsPerWindow/2:end-stepsPerWindow/2]))
		}
		if end >= 2*stepsPerWindow {
			requests = max(requests, sum(sent[end-2*stepsPerWindow:end-stepsPerWindow]))
		}
		allowed := settings.Ratio*requests + settings.Reserve
		qt.Assert(t, sum(retried[end-stepsPerWindow:end]) <= allowed, qt.IsTrue, qt.Commentf("window that ends at step %d: %f of %f", end, sum(retried[end-stepsPerWindow:end]), allowed))
	}
}
