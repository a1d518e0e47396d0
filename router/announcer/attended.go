package announcer

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/attendant"
)

// attended is an announcement to a router that serves a configuration.
type attended struct {
	messenger.ServerRow
	// Sequence grows with each announcement of a life of the server.
	Sequence uint64 `json:"sequence"`
}

// Attended serves the announcements to a router that serves a configuration. Held
// returns how many ranges of keys the backend server holds.
func Attended(router string, server *attendant.Attendant, held func() int) http.Handler {
	answer := func() messenger.Announced {
		return messenger.Announced{Router: router, State: server.View().State, Ranges: held()}
	}
	handler := echo.New()
	handler.HideBanner = true
	handler.POST(messenger.PathAnnounce, func(call echo.Context) error {
		body := http.MaxBytesReader(call.Response(), call.Request().Body, maxBody)
		var said attended
		if err := json.NewDecoder(body).Decode(&said); err != nil {
			return refuse(call, http.StatusBadRequest, "the body is no announcement: "+err.Error())
		}
		if detail := checkAttended(&said); detail != "" {
			return refuse(call, http.StatusBadRequest, detail)
		}
		said.URL = strings.TrimSuffix(strings.TrimPrefix(said.URL, "http://"), "/")
		server.Announce(timer.Now(), attendant.Announcement{Row: said.ServerRow, Sequence: said.Sequence})
		return call.JSON(http.StatusOK, answer())
	})
	handler.DELETE(messenger.PathAnnounce, func(call echo.Context) error {
		if row := server.View().Row; row != nil {
			server.Withdraw(timer.Now(), row.Name)
		}
		return call.JSON(http.StatusAccepted, answer())
	})
	return handler
}

func checkAttended(said *attended) string {
	switch {
	case said.Born <= 0:
		return "born is missing: the start of the server in milliseconds since 1970"
	case said.Sequence == 0:
		return "sequence is missing"
	}
	return check(&said.ServerRow)
}
