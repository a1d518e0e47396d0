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
	// maxWait is the longest that a call waits for events.
	maxWait = 30 * time.Second
	// pollInterval is how often events are looked for meanwhile.
	pollInterval = 100 * time.Millisecond
)

func (a *Administrator) getStatus(c echo.Context) error {
	return answer[*messenger.Status](a, c, supervisor.StatusQuestion{})
}

// answer puts a question to the replica and answers the call with what it said.
func answer[A any](a *Administrator, c echo.Context, question any) error {
	found, err := ask[A](a, c, question)
	if err != nil {
		return settled(err)
	}
	return c.JSON(http.StatusOK, found)
}

func (a *Administrator) getExplanation(c echo.Context) error {
	question := supervisor.ExplainQuestion{Service: c.QueryParam("service"), Key: c.QueryParam("key")}
	if question.Service == "" || question.Key == "" {
		return refuse(http.StatusBadRequest, "malformed", "service and key are needed")
	}
	found, err := ask[*messenger.Explanation](a, c, question)
	if err != nil {
		return settled(err)
	}
	if found == nil {
		return refuse(http.StatusNotFound, "absent", "no service is named "+question.Service+", or it has no such key")
	}
	return c.JSON(http.StatusOK, found)
}

// listEvents answers with the events after a revision, and waits for the first
// when there is none yet.
func (a *Administrator) listEvents(c echo.Context) error {
	after, err := numberOf(c, "after")
	if err != nil {
		return err
	}
	wait, err := waitOf(c)
	if err != nil {
		return err
	}
	until := time.Now().Add(wait)
	for {
		events, err := ask[[]messenger.ClusterEvent](a, c, supervisor.EventsQuestion{After: after})
		if err != nil {
			return settled(err)
		}
		if len(events) > 0 || !time.Now().Before(until) {
			return c.JSON(http.StatusOK, append([]messenger.ClusterEvent{}, events...))
		}
		if !pause(c, pollInterval) {
			return nil
		}
	}
}

// pause waits and reports whether the caller is still there.
func pause(c echo.Context, interval time.Duration) bool {
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
	revision, err := numberOf(c, "revision")
	if err != nil {
		return err
	}
	return answer[*messenger.Progress](a, c, supervisor.ProgressQuestion{Revision: revision})
}

// numberOf reads a number of the query; none is 0.
func numberOf(c echo.Context, name string) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, refuse(http.StatusBadRequest, "malformed", name+": must be a number")
	}
	return number, nil
}

func waitOf(c echo.Context) (time.Duration, error) {
	text := c.QueryParam("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 || wait > maxWait {
		return 0, refuse(http.StatusBadRequest, "malformed", "wait: must be 0s to "+maxWait.String())
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
	condition, err := conditionOf(c)
	if err != nil {
		return err
	}
	command := &assigner.Command{Drain: &assigner.Drain{Condition: condition, Server: c.Param("server"), On: on}}
	return change[struct{}](a, c, command)
}

func (a *Administrator) listQuarantines(c echo.Context) error {
	rows, err := ask[[]messenger.QuarantineRow](a, c, supervisor.QuarantinesQuestion{})
	if err != nil {
		return settled(err)
	}
	return c.JSON(http.StatusOK, append([]messenger.QuarantineRow{}, rows...))
}

func (a *Administrator) liftQuarantine(c echo.Context) error {
	condition, err := conditionOf(c)
	if err != nil {
		return err
	}
	command := &assigner.Command{Lift: &assigner.Lift{Condition: condition, Fingerprint: c.Param("fingerprint")}}
	return change[struct{}](a, c, command)
}
