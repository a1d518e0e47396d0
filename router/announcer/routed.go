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

// attended is the body of an announcement to a router that serves the routes of a
// configuration. The name of the type must not change: errors of encoding/json contain
// it, and they are part of the response to a body that cannot be decoded.
type attended struct {
	messenger.ServerRow
	// Sequence increases with each announcement of one incarnation of the server.
	Sequence uint64 `json:"sequence"`
}

// NewRoutedHandler returns the HTTP handler for announcements to a router in routed
// mode. rangeCount returns the number of key ranges that the backend server holds.
func NewRoutedHandler(router string, server *attendant.Attendant, rangeCount func() int) http.Handler {
	response := func() messenger.AnnounceResponse {
		return messenger.AnnounceResponse{Router: router, State: server.View().State, Ranges: rangeCount()}
	}
	handler := echo.New()
	handler.HideBanner = true
	handler.POST(messenger.PathAnnounce, func(call echo.Context) error {
		body := http.MaxBytesReader(call.Response(), call.Request().Body, maxBodyBytes)
		var announcement attended
		if err := json.NewDecoder(body).Decode(&announcement); err != nil {
			return writeProblem(call, http.StatusBadRequest, "the body is no announcement: "+err.Error())
		}
		if detail := validateAttended(&announcement); detail != "" {
			return writeProblem(call, http.StatusBadRequest, detail)
		}
		announcement.URL = strings.TrimSuffix(strings.TrimPrefix(announcement.URL, "http://"), "/")
		server.Announce(timer.Now(), attendant.Announcement{Row: announcement.ServerRow, Sequence: announcement.Sequence})
		return call.JSON(http.StatusOK, response())
	})
	handler.DELETE(messenger.PathAnnounce, func(call echo.Context) error {
		if row := server.View().Row; row != nil {
			server.Withdraw(timer.Now(), row.Name)
		}
		return call.JSON(http.StatusAccepted, response())
	})
	return handler
}

func validateAttended(announcement *attended) string {
	switch {
	case announcement.Born <= 0:
		return "born is missing: the start of the server in milliseconds since 1970"
	case announcement.Sequence == 0:
		return "sequence is missing"
	}
	return validate(&announcement.ServerRow)
}
