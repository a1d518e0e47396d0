package responder

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"marigoldhill/kernel/messenger"
)

// Paths by which the bench inspects and controls a stand-in server.
const (
	// PathRuns returns RunTotals. With ?all=1 it includes every request that has
	// an Idempotency-Key.
	PathRuns = "/runs"
	// PathFreeze freezes the server for the duration given by ?for=.
	PathFreeze = "/bench/freeze"
	// PathCrash crashes the server.
	PathCrash = "/bench/crash"
)

// maxFreeze limits the duration of a freeze requested over HTTP.
const maxFreeze = 10 * time.Minute

// routes returns the HTTP handler of an instance.
func (s *Server) routes(instance *instance) http.Handler {
	router := echo.New()
	router.GET(PathRuns, s.serveRuns)
	router.POST(PathFreeze, s.serveFreeze)
	router.POST(PathCrash, s.serveCrash)

	gated := router.Group("", s.gateMiddleware)
	gated.POST(messenger.PathGrants, instance.serveGrants)
	gated.POST(messenger.PathRevokes, instance.serveShards)
	gated.GET(messenger.PathHealth, instance.serveHealth)
	gated.GET(messenger.PathLoad, instance.serveLoad)
	gated.POST(messenger.PathDrain, instance.serveDrain)
	handler := worker{server: s, instance: instance}
	gated.Any("/*", handler.serve)
	return router
}

// gateMiddleware blocks requests while the server is frozen, and returns their numbers.
func (s *Server) gateMiddleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.gate.waitContext(c.Request().Context())
		if number := c.Request().Header.Get(messenger.HeaderRequestNumber); number != "" {
			c.Response().Header().Set(messenger.HeaderRequestNumber, number)
		}
		return next(c)
	}
}

func (s *Server) serveRuns(c echo.Context) error {
	totals := s.runCounter.Totals(c.QueryParam("all") != "")
	totals.Server = s.settings.Name
	return c.JSON(http.StatusOK, totals)
}

func (s *Server) serveFreeze(c echo.Context) error {
	duration, err := time.ParseDuration(c.QueryParam("for"))
	if err != nil || duration <= 0 || duration > maxFreeze {
		return echo.NewHTTPError(http.StatusBadRequest, "for must be a duration up to 10m")
	}
	s.Freeze()
	time.AfterFunc(duration, s.Thaw)
	return c.NoContent(http.StatusAccepted)
}

func (s *Server) serveCrash(echo.Context) error {
	s.Crash()
	return nil
}

func (i *instance) serveGrants(c echo.Context) error {
	// A grant ends an earlier drain, unless the server is shutting down.
	i.draining.Store(i.leaving.Load())
	return i.serveShards(c)
}

// serveShards records the fences of granted or revoked shards.
func (i *instance) serveShards(c echo.Context) error {
	var list messenger.ShardList
	if err := c.Bind(&list); err != nil {
		return err
	}
	i.fences.update(list)
	return c.NoContent(http.StatusOK)
}

func (i *instance) serveHealth(c echo.Context) error {
	return c.JSON(http.StatusOK, i.reporter.health())
}

func (i *instance) serveLoad(c echo.Context) error {
	return c.JSON(http.StatusOK, i.reporter.load())
}

func (i *instance) serveDrain(c echo.Context) error {
	i.draining.Store(true)
	return c.NoContent(http.StatusOK)
}
