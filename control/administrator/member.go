package administrator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"slices"

	"github.com/labstack/echo/v4"

	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/profiler"
)

func (a *Administrator) listMembers(c echo.Context) error {
	status, err := queryReplica[*messenger.Status](a, c, supervisor.StatusQuery{})
	if err != nil {
		return ignoreRedirect(err)
	}
	return c.JSON(http.StatusOK, status.Members)
}

func (a *Administrator) addMember(c echo.Context) error {
	var member messenger.Member
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&member); err != nil {
		return newRefusal(http.StatusBadRequest, "malformed", err.Error())
	}
	if field, reason := checkMember(&member); reason != "" {
		return newRefusal(http.StatusUnprocessableEntity, "invalid", field+": "+reason)
	}
	return a.changeMember(c, func(ctx context.Context) (uint64, error) {
		// If the response to an earlier request was lost, the retry finds the
		// member already added.
		if raftStatus := a.replica.RaftStatus(); slices.Contains(raftStatus.Members, member) {
			return raftStatus.Applied, nil
		}
		return a.replica.AddMember(ctx, member)
	})
}

func (a *Administrator) removeMember(c echo.Context) error {
	name := c.Param("name")
	return a.changeMember(c, func(ctx context.Context) (uint64, error) {
		return a.replica.RemoveMember(ctx, name)
	})
}

func (a *Administrator) changeMember(c echo.Context, commit func(ctx context.Context) (uint64, error)) error {
	if err := a.requireLeader(c); err != nil {
		return ignoreRedirect(err)
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), memberChangeTimeout)
	defer cancel()
	revision, err := commit(ctx)
	if err != nil {
		return Error.New("changing the members: %w", err)
	}
	return c.JSON(http.StatusOK, messenger.Accepted{Revision: revision})
}

func checkMember(member *messenger.Member) (field, reason string) {
	if !profiler.IsValidName(member.Name) {
		return "name", profiler.NameRule
	}
	if _, _, err := net.SplitHostPort(member.Address); err != nil {
		return "address", "must be host:port"
	}
	base, err := url.Parse(member.Operator)
	if err != nil || base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return "operator", "must be a URL such as http://127.0.0.1:7100"
	}
	return "", ""
}
