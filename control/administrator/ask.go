package administrator

import (
	"context"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/messenger"
)

// redirected ends a call that was answered with a redirect.
type redirected struct{}

// Error implements error.
func (redirected) Error() string { return "redirected to the leader" }

// ask puts a question to the replica. It answers the call itself when the
// replica does not lead.
func ask[A any](a *Administrator, c echo.Context, question any) (answer A, err error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), requestTime)
	defer cancel()
	found, err := a.replica.Query(ctx, question)
	if err != nil {
		return answer, Error.New("asking the replica: %w", err)
	}
	switch typed := found.(type) {
	case A:
		return typed, nil
	case *supervisor.NotLeading:
		return answer, a.redirect(c, typed.Leader)
	case error:
		return answer, typed
	}
	return answer, Error.New("answer of type %T", found)
}

// redirect sends a caller to the leader, or refuses when there is none.
func (a *Administrator) redirect(c echo.Context, leader messenger.Member) error {
	if leader.Operator == "" || leader.Name == a.replica.Standing().Name {
		return refuse(http.StatusServiceUnavailable, "leader", "there is no confirmed leader just now")
	}
	target := strings.TrimSuffix(leader.Operator, "/") + c.Request().URL.RequestURI()
	if err := c.Redirect(http.StatusTemporaryRedirect, target); err != nil {
		return err
	}
	a.count("redirect")
	return redirected{}
}

// requireLeader redirects or refuses unless the replica leads.
func (a *Administrator) requireLeader(c echo.Context) error {
	standing := a.replica.Standing()
	if standing.Leading {
		return nil
	}
	return a.redirect(c, standing.Leader)
}
