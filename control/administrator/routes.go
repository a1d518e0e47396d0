package administrator

import (
	"context"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"marigoldhill/control/configurer"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/profiler"
)

// typeYAML is the type of a configuration as its operator wrote it.
const typeYAML = "application/yaml"

// putConfiguration puts a whole configuration into force, unless one of the same or
// a higher version is.
func (a *Administrator) putConfiguration(c echo.Context) error {
	source, err := readBody(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), requestTime)
	defer cancel()
	revision, err := a.configurations.Put(ctx, source, parseConfiguration)
	if err != nil {
		return settled(a.leave(c, err))
	}
	return c.JSON(http.StatusOK, messenger.Accepted{Revision: revision})
}

func parseConfiguration(source []byte) (*messenger.Configuration, error) {
	return profiler.ParseConfiguration("body", source)
}

// getConfiguration answers with the newest configuration as its operator wrote it.
func (a *Administrator) getConfiguration(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), requestTime)
	defer cancel()
	source, err := a.configurations.Current(ctx)
	if err != nil {
		return settled(a.leave(c, err))
	}
	if source == nil {
		return refuse(http.StatusNotFound, "absent", "there is no configuration yet")
	}
	return c.Blob(http.StatusOK, typeYAML, source)
}

// leave redirects a call that failed because another replica leads.
func (a *Administrator) leave(c echo.Context, err error) error {
	var moved *configurer.MovedError
	if !errors.As(err, &moved) {
		return err
	}
	return a.redirect(c, moved.Leader)
}
