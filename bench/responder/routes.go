package responder

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"marigoldhill/kernel/messenger"
)

// Paths of the bench's own interface to a stand-in server.
const (
	// PathRuns answers RunTotals; ?all=1 lists every numbered request.
	PathRuns = "/runs"
	// PathFreeze freezes the server for the duration in ?for=.
	PathFreeze = "/bench/freeze"
	// PathCrash crashes the server.
	PathCrash = "/bench/crash"
)

// freezeMax bounds a freeze asked for over HTTP.
const freezeMax = 10 * time.Minute

// routes builds the HTTP interface of one life.
func (s *Server) routes(life *life) http.Handler {
	router := echo.New()
	router.GET(PathRuns, s.serveRuns)
	router.POST(PathFreeze, s.serveFreeze)
	router.POST(PathCrash, s.serveCrash)

	frozen := router.Group("", s.gateMiddleware)
	frozen.POST(messenger.PathGrants, life.serveGrants)
	frozen.POST(messenger.PathRevokes, life.serveShards)
	frozen.GET(messenger.PathHealth, life.serveHealth)
	frozen.GET(messenger.PathLoad, life.serveLoad)
	frozen.POST(messenger.PathDrain, life.serveDrain)
	work := worker{server: s, life: life}
	frozen.Any("/*", work.serve)
	return router
}

// gateMiddleware holds up a call while the server is frozen.
func (s *Server) gateMiddleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.gate.passContext(c.Request().Context())
		return next(c)
	}
}

func (s *Server) serveRuns(c echo.Context) error {
	totals := s.ledger.Totals(c.QueryParam("all") != "")
	totals.Server = s.settings.Name
	return c.JSON(http.StatusOK, totals)
}

func (s *Server) serveFreeze(c echo.Context) error {
	length, err := time.ParseDuration(c.QueryParam("for"))
	if err != nil || length <= 0 || length > freezeMax {
		return echo.NewHTTPError(http.StatusBadRequest, "for must be a duration up to 10m")
	}
	s.Freeze()
	time.AfterFunc(length, s.Thaw)
	return c.NoContent(http.StatusAccepted)
}

func (s *Server) serveCrash(echo.Context) error {
	s.Crash()
	return nil
}

func (l *life) serveGrants(c echo.Context) error {
	// A grant ends an earlier drain.
	l.draining.Store(l.leaving.Load())
	return l.serveShards(c)
}

// serveShards learns the fences of shards that are granted or revoked.
func (l *life) serveShards(c echo.Context) error {
	var list messenger.ShardList
	if err := c.Bind(&list); err != nil {
		return err
	}
	l.fences.learn(list)
	return c.NoContent(http.StatusOK)
}

func (l *life) serveHealth(c echo.Context) error {
	return c.JSON(http.StatusOK, l.reports.health())
}

func (l *life) serveLoad(c echo.Context) error {
	return c.JSON(http.StatusOK, l.reports.load())
}

func (l *life) serveDrain(c echo.Context) error {
	l.draining.Store(true)
	return c.NoContent(http.StatusOK)
}
