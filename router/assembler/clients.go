package assembler

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/kernel/limiter"
	"marigoldhill/kernel/listener"
	"marigoldhill/kernel/logger"
)

// Shares of what is for clients. They are fixed, so that a crowd at one address leaves the
// others their part: the backend server is announced and grants are renewed beside it.
const (
	callersShare  = 0.6
	headsShare    = 0.2
	backendShare  = 0.05
	operatorShare = 0.05
	readyShare    = 0.05
	linksShare    = 0.05
)

const (
	// maxReplayBytes is the size up to which bodies of callers are kept in memory.
	maxReplayBytes = 64 << 10
	// minLineBytes is the least number of bytes of a header line of which the limit of the
	// configuration counts one: a name of one byte, a colon and the end of the line.
	minLineBytes = 4
)

// clients creates the budgets for the clients of a process.
type clients struct {
	vm      limiter.Settings
	log     *logger.Log
	metrics *metrics.Set
}

// budget returns a new budget for the listener called name.
func (c *clients) budget(name string, share float64) *limiter.Budget {
	return limiter.New(name, c.vm.Share(share), limiter.Options{Log: c.log, Metrics: c.metrics})
}

// heads returns a new pool for the heads of requests from other routers.
func (c *clients) heads() *limiter.Pool {
	return limiter.NewPool(c.vm.Share(headsShare).Bytes)
}

// callers returns the options of the listener for callers. headLimit may be nil.
func (c *clients) callers(headLimit func() int64) listener.Options {
	return listener.Options{Budget: c.budget("callers", callersShare), HeadLimit: headLimit, RequestCost: bodyCost}
}

// bodyCost returns the memory that the body of a caller's request takes. Larger bodies and
// those of unknown length are not kept by the router that receives them.
func bodyCost(r *http.Request) int64 {
	if r.ContentLength > maxReplayBytes {
		return 0
	}
	return max(r.ContentLength, 0)
}

// headLimit returns the size above which the head of a request cannot be within the limits
// of the configuration, or 0 while there is none.
func (p *Routed) headLimit() int64 {
	configuration := p.mapper.Load().Configuration
	if configuration == nil {
		return 0
	}
	return configuration.Limits.HeaderBytes * minLineBytes
}
