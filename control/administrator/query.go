package administrator

import (
	"context"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/messenger"
)

// redirectedError means that the call was already answered with a redirect.
// [ignoreRedirect] keeps it from reaching the error handler.
type redirectedError struct{}

// Error implements error.
func (redirectedError) Error() string { return "redirected to the leader" }

// queryReplica reads from the state machine of the replica. If the replica is not
// the leader, it redirects or refuses the call and returns an error.
func queryReplica[A any](a *Administrator, c echo.Context, query any) (result A, err error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), requestTimeout)
	defer cancel()
	response, err := a.replica.Query(ctx, query)
	if err != nil {
		return result, Error.New("asking the replica: %w", err)
	}
	switch typed := response.(type) {
	case A:
		return typed, nil
	case *supervisor.NotLeader:
		return result, a.redirect(c, typed.Leader)
	case error:
		return result, typed
	}
	return result, Error.New("answer of type %T", response)
}

// redirect redirects the call to the leader. If the leader is unknown, or is this
// replica without being confirmed, it returns a refusal with status 503.
func (a *Administrator) redirect(c echo.Context, leader messenger.Member) error {
	if leader.Operator == "" || leader.Name == a.replica.RaftStatus().Name {
		return newRefusal(http.StatusServiceUnavailable, "leader", "there is no confirmed leader just now")
	}
	target := strings.TrimSuffix(leader.Operator, "/") + c.Request().URL.RequestURI()
	if err := c.Redirect(http.StatusTemporaryRedirect, target); err != nil {
		return err
	}
	a.count("redirect")
	return redirectedError{}
}

// requireLeader redirects or refuses the call unless the replica is the leader.
func (a *Administrator) requireLeader(c echo.Context) error {
	raftStatus := a.replica.RaftStatus()
	if raftStatus.Leading {
		return nil
	}
	return a.redirect(c, raftStatus.Leader)
}
