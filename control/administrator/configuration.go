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

const contentTypeYAML = "application/yaml"

// putConfiguration replaces the configuration, unless the current one has the same
// or a higher version.
func (a *Administrator) putConfiguration(c echo.Context) error {
	source, err := readBody(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), requestTimeout)
	defer cancel()
	revision, err := a.configurations.Put(ctx, source, parseConfiguration)
	if err != nil {
		return ignoreRedirect(a.redirectIfMoved(c, err))
	}
	return c.JSON(http.StatusOK, messenger.Accepted{Revision: revision})
}

func parseConfiguration(source []byte) (*messenger.Configuration, error) {
	return profiler.ParseConfiguration("body", source)
}

// getConfiguration responds with the source text of the current configuration.
func (a *Administrator) getConfiguration(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), requestTimeout)
	defer cancel()
	source, err := a.configurations.Current(ctx)
	if err != nil {
		return ignoreRedirect(a.redirectIfMoved(c, err))
	}
	if source == nil {
		return newRefusal(http.StatusNotFound, "absent", "there is no configuration yet")
	}
	return c.Blob(http.StatusOK, contentTypeYAML, source)
}

// redirectIfMoved redirects a call that failed because another replica is the
// leader. It returns other errors unchanged.
func (a *Administrator) redirectIfMoved(c echo.Context, err error) error {
	var moved *configurer.NotLeaderError
	if !errors.As(err, &moved) {
		return err
	}
	return a.redirect(c, moved.Leader)
}
