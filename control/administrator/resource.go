package administrator

import (
	"errors"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"marigoldhill/control/assigner"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/parser"
	"marigoldhill/kernel/profiler"
)

func (a *Administrator) listProfiles(c echo.Context) error {
	return list[messenger.Profile](a, c, supervisor.ProfilesQuery{})
}

func (a *Administrator) listServices(c echo.Context) error {
	return list[messenger.Service](a, c, supervisor.ServicesQuery{})
}

// list responds with the profiles or services that query selects.
func list[T any](a *Administrator, c echo.Context, query any) error {
	entries, err := queryReplica[[]assigner.Versioned[T]](a, c, query)
	if err != nil {
		return ignoreRedirect(err)
	}
	values := make([]messenger.VersionedValue[T], 0, len(entries))
	for _, entry := range entries {
		values = append(values, messenger.VersionedValue[T]{Revision: entry.Revision, Value: entry.Value})
	}
	return c.JSON(http.StatusOK, values)
}

func (a *Administrator) getProfile(c echo.Context) error {
	return get(a, c, supervisor.ProfilesQuery{}, func(p *messenger.Profile) string { return p.Name })
}

func (a *Administrator) getService(c echo.Context) error {
	return get(a, c, supervisor.ServicesQuery{}, func(s *messenger.Service) string { return s.Name })
}

// get responds with the profile or service whose name is in the path.
func get[T any](a *Administrator, c echo.Context, query any, nameOf func(*T) string) error {
	entries, err := queryReplica[[]assigner.Versioned[T]](a, c, query)
	if err != nil {
		return ignoreRedirect(err)
	}
	for n := range entries {
		if nameOf(&entries[n].Value) == c.Param("name") {
			c.Response().Header().Set("ETag", formatETag(entries[n].Revision))
			return c.JSON(http.StatusOK, &entries[n].Value)
		}
	}
	return newRefusal(http.StatusNotFound, "absent", "nothing is named "+c.Param("name"))
}

func (a *Administrator) putProfile(c echo.Context) error {
	condition, profile, err := readChange(c, profiler.ParseProfile)
	if err != nil {
		return err
	}
	if profile.Name != c.Param("name") {
		return newRefusal(http.StatusBadRequest, "malformed", "name: differs from the name in the path")
	}
	command := &assigner.Command{PutProfile: &assigner.PutProfile{Condition: condition, Profile: *profile}}
	return change[messenger.Profile](a, c, command)
}

func (a *Administrator) deleteProfile(c echo.Context) error {
	condition, err := parseCondition(c)
	if err != nil {
		return err
	}
	command := &assigner.Command{RemoveProfile: &assigner.RemoveProfile{Condition: condition, Name: c.Param("name")}}
	return change[messenger.Profile](a, c, command)
}

func (a *Administrator) putService(c echo.Context) error {
	condition, service, err := readChange(c, profiler.ParseService)
	if err != nil {
		return err
	}
	if service.Name != c.Param("name") {
		return newRefusal(http.StatusBadRequest, "malformed", "name: differs from the name in the path")
	}
	command := &assigner.Command{PutService: &assigner.PutService{Condition: condition, Service: *service}}
	return change[messenger.Service](a, c, command)
}

// readChange reads the precondition and the new value of a change.
func readChange[T any](c echo.Context, parse func(file string, data []byte) (*T, error)) (assigner.Condition, *T, error) {
	condition, err := parseCondition(c)
	if err != nil {
		return condition, nil, err
	}
	data, err := readBody(c)
	if err != nil {
		return condition, nil, err
	}
	value, err := parse("body", data)
	var fileError *parser.FileError
	if errors.As(err, &fileError) {
		return condition, nil, newRefusal(http.StatusBadRequest, "malformed", fileError.Error())
	}
	if err != nil {
		return condition, nil, Error.New("parsing the body: %w", err)
	}
	return condition, value, nil
}

func readBody(c echo.Context) ([]byte, error) {
	data, err := io.ReadAll(c.Request().Body)
	var oversize *http.MaxBytesError
	if errors.As(err, &oversize) {
		return nil, newRefusal(http.StatusRequestEntityTooLarge, "oversize", "the body is too large")
	}
	if err != nil {
		return nil, Error.New("reading the body: %w", err)
	}
	return data, nil
}

// change proposes a change and responds to the call with its result. T is the type of
// the changed value.
func change[T any](a *Administrator, c echo.Context, command *assigner.Command) error {
	result, err := a.propose(c, command)
	if err != nil {
		return ignoreRedirect(err)
	}
	return writeResult[T](c, result)
}

// ignoreRedirect returns nil if err means that the call was already answered with
// a redirect, and err otherwise.
func ignoreRedirect(err error) error {
	if errors.Is(err, redirectedError{}) {
		return nil
	}
	return err
}
