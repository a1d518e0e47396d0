package assembler

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
)

// Status is the body of the response to GET /v1/status on the operator interface.
type Status struct {
	Router   string                `json:"router"`
	Session  uint64                `json:"session"`
	Lease    bool                  `json:"lease"`
	Revision uint64                `json:"revision"`
	Shards   int                   `json:"shards"`
	InFlight int                   `json:"inflight"`
	State    messenger.ServerState `json:"state"`
	Server   *messenger.ServerRow  `json:"server"`
	Leaving  bool                  `json:"leaving"`
}

// operatorHandler returns the HTTP handler for metrics, health and status.
func (p *Process) operatorHandler() http.Handler {
	server := echo.New()
	server.HideBanner = true
	server.GET("/metrics", p.serveMetrics)
	server.GET("/health", p.serveHealth)
	server.GET("/v1/status", p.serveStatus)
	return server
}

func (p *Process) serveMetrics(call echo.Context) error {
	call.Response().Header().Set(echo.HeaderContentType, echo.MIMETextPlainCharsetUTF8)
	call.Response().WriteHeader(http.StatusOK)
	p.options.Metrics.WritePrometheus(call.Response())
	return nil
}

// serveHealth responds with 200 while the router holds its lease, otherwise with 503.
func (p *Process) serveHealth(call echo.Context) error {
	if p.keeper.IsLeaseValid(timer.Now()) {
		return call.String(http.StatusOK, "ready\n")
	}
	return call.String(http.StatusServiceUnavailable, "no lease\n")
}

func (p *Process) serveStatus(call echo.Context) error {
	view := p.prober.View()
	return call.JSON(http.StatusOK, Status{
		Router:   p.settings.Name,
		Session:  p.keeper.Session(),
		Lease:    p.keeper.IsLeaseValid(timer.Now()),
		Revision: p.locator.Load().Revision(),
		Shards:   int(p.heartbeatHandler.shardCount.Load()),
		InFlight: p.tracker.Total(),
		State:    view.State,
		Server:   view.Row,
		Leaving:  p.heartbeatHandler.leaving.Load(),
	})
}
