package administrator

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/labstack/echo/v4"

	"marigoldhill/control/assigner"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/messenger"
)

func (a *Administrator) listEvacuations(c echo.Context) error {
	statuses, err := queryReplica[[]messenger.EvacuationStatus](a, c, supervisor.EvacuationsQuery{})
	if err != nil {
		return ignoreRedirect(err)
	}
	return c.JSON(http.StatusOK, append([]messenger.EvacuationStatus{}, statuses...))
}

func (a *Administrator) putEvacuation(c echo.Context) error {
	return a.changeEvacuation(c, true)
}

func (a *Administrator) deleteEvacuation(c echo.Context) error {
	return a.changeEvacuation(c, false)
}

// changeEvacuation starts or ends the evacuation of a failure domain. Unlike a drain it
// is committed only by a group that keeps it when the tolerated disks fail at once.
func (a *Administrator) changeEvacuation(c echo.Context, on bool) error {
	condition, err := parseCondition(c)
	if err != nil {
		return err
	}
	by, err := operatorOf(c.Request())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), requestTimeout)
	defer cancel()
	order := &assigner.Evacuate{Condition: condition, Domain: c.Param("domain"), On: on, By: by}
	committed, err := a.changes.Commit(ctx, &assigner.Command{Evacuate: order})
	if err != nil {
		return ignoreRedirect(a.redirectIfMoved(c, err))
	}
	return writeResult[struct{}](c, committed.Result)
}

// operatorOf returns who sent a call: the operator that it names, or the address of its
// client.
func operatorOf(r *http.Request) (string, error) {
	by := r.Header.Get(messenger.HeaderOperator)
	if len(by) > messenger.MaxOperatorBytes {
		return "", newRefusal(http.StatusBadRequest, "malformed",
			fmt.Sprintf("%s is longer than %d bytes", messenger.HeaderOperator, messenger.MaxOperatorBytes))
	}
	if by != "" {
		return by, nil
	}
	client, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr, nil
	}
	return client, nil
}
