package administrator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"marigoldhill/control/assigner"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/messenger"
)

const (
	// maxWait limits the wait parameter of GET /v1/events.
	maxWait = 30 * time.Second
	// pollInterval is the interval at which a waiting call checks for new events.
	pollInterval = 100 * time.Millisecond
)

func (a *Administrator) getStatus(c echo.Context) error {
	return serveQuery[*messenger.Status](a, c, supervisor.StatusQuery{})
}

// serveQuery responds to the call with the result of query.
func serveQuery[A any](a *Administrator, c echo.Context, query any) error {
	response, err := queryReplica[A](a, c, query)
	if err != nil {
		return ignoreRedirect(err)
	}
	return c.JSON(http.StatusOK, response)
}

func (a *Administrator) getExplanation(c echo.Context) error {
	query := supervisor.ExplainQuery{Service: c.QueryParam("service"), Key: c.QueryParam("key")}
	if query.Service == "" || query.Key == "" {
		return newRefusal(http.StatusBadRequest, "malformed", "service and key are needed")
	}
	response, err := queryReplica[*messenger.Explanation](a, c, query)
	if err != nil {
		return ignoreRedirect(err)
	}
	if response == nil {
		return newRefusal(http.StatusNotFound, "absent", "no service is named "+query.Service+", or it has no such key")
	}
	return c.JSON(http.StatusOK, response)
}

// listEvents responds with the events after a revision. If there are none, it polls
// until one occurs or the time of the wait parameter is over.
func (a *Administrator) listEvents(c echo.Context) error {
	after, err := uintParam(c, "after")
	if err != nil {
		return err
	}
	wait, err := waitParam(c)
	if err != nil {
		return err
	}
	until := time.Now().Add(wait)
	for {
		events, err := queryReplica[[]messenger.ClusterEvent](a, c, supervisor.EventsQuery{After: after})
		if err != nil {
			return ignoreRedirect(err)
		}
		if len(events) > 0 || !time.Now().Before(until) {
			return c.JSON(http.StatusOK, append([]messenger.ClusterEvent{}, events...))
		}
		if !sleep(c, pollInterval) {
			return nil
		}
	}
}

// sleep waits for interval. It returns false early if the client closes the
// connection.
func sleep(c echo.Context, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-c.Request().Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

func (a *Administrator) getProgress(c echo.Context) error {
	revision, err := uintParam(c, "revision")
	if err != nil {
		return err
	}
	return serveQuery[*messenger.Progress](a, c, supervisor.ProgressQuery{Revision: revision})
}

// uintParam parses a query parameter as an unsigned integer. It returns 0 if the
// parameter is missing.
func uintParam(c echo.Context, name string) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, newRefusal(http.StatusBadRequest, "malformed", name+": must be a number")
	}
	return number, nil
}

func waitParam(c echo.Context) (time.Duration, error) {
	text := c.QueryParam("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, newRefusal(http.StatusBadRequest, "malformed", "wait: must be 0s to "+maxWait.String())
	}
	return wait, nil
}

func (a *Administrator) putDrain(c echo.Context) error {
	return a.changeDrain(c, true)
}

func (a *Administrator) deleteDrain(c echo.Context) error {
	return a.changeDrain(c, false)
}

func (a *Administrator) changeDrain(c echo.Context, on bool) error {
	condition, err := parseCondition(c)
	if err != nil {
		return err
	}
	command := &assigner.Command{Drain: &assigner.Drain{Condition: condition, Server: c.Param("server"), On: on}}
	return change[struct{}](a, c, command)
}

func (a *Administrator) listQuarantines(c echo.Context) error {
	rows, err := queryReplica[[]messenger.QuarantineRow](a, c, supervisor.QuarantinesQuery{})
	if err != nil {
		return ignoreRedirect(err)
	}
	return c.JSON(http.StatusOK, append([]messenger.QuarantineRow{}, rows...))
}

func (a *Administrator) liftQuarantine(c echo.Context) error {
	condition, err := parseCondition(c)
	if err != nil {
		return err
	}
	command := &assigner.Command{Lift: &assigner.Lift{Condition: condition, Fingerprint: c.Param("fingerprint")}}
	return change[struct{}](a, c, command)
}
