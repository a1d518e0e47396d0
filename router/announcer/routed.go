package announcer

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/monitor"
)

// attended is the body of an announcement to a router that serves the routes of a
// configuration. The name of the type must not change: errors of encoding/json contain
// it, and they are part of the response to a body that cannot be decoded.
type attended struct {
	messenger.ServerRow
	// Sequence increases with each announcement of one incarnation of the server.
	Sequence uint64 `json:"sequence"`
	// ColdLeft is for how long the server stays cold, a duration as text.
	ColdLeft string `json:"coldleft"`
}

// coldLeft returns for how long the server stays cold, nil when it does not say. A server
// that announces no time and is not cold has none left. Cold alone only means that the
// server starts cold.
func (a *attended) coldLeft() (*time.Duration, error) {
	if a.ColdLeft == "" {
		if a.Cold {
			return nil, nil
		}
		return new(time.Duration), nil
	}
	left, err := time.ParseDuration(a.ColdLeft)
	if err != nil {
		return nil, Error.New("reading the time left: %w", err)
	}
	return &left, nil
}

// NewRoutedHandler returns the HTTP handler for announcements to a router in routed
// mode. rangeCount returns the number of key ranges that the backend server holds.
func NewRoutedHandler(router string, server *monitor.Monitor, rangeCount func() int) http.Handler {
	response := func() messenger.AnnounceResponse {
		return messenger.AnnounceResponse{Router: router, State: server.View().State, Ranges: rangeCount()}
	}
	handler := echo.New()
	handler.HideBanner = true
	handler.POST(messenger.PathAnnounce, func(call echo.Context) error {
		body := http.MaxBytesReader(call.Response(), call.Request().Body, maxBodyBytes)
		var announcement attended
		received, err := decodeAttended(body, &announcement)
		if err != nil {
			server.Refuse(announcement.Name, err)
			return writeProblem(call, http.StatusBadRequest, err.Error())
		}
		server.Announce(timer.Now(), received)
		return call.JSON(http.StatusOK, response())
	})
	handler.DELETE(messenger.PathAnnounce, func(call echo.Context) error {
		server.Withdraw(timer.Now(), "")
		if err := server.AwaitRecord(call.Request().Context(), ""); err != nil {
			return writeProblem(call, http.StatusServiceUnavailable, err.Error())
		}
		return call.JSON(http.StatusAccepted, response())
	})
	return handler
}

// decodeAttended decodes an announcement and returns it in the form of the monitor.
func decodeAttended(body io.Reader, announcement *attended) (monitor.Announcement, error) {
	if err := json.NewDecoder(body).Decode(announcement); err != nil {
		return monitor.Announcement{}, Error.New("the body is no announcement: %w", err)
	}
	if detail := validateAttended(announcement); detail != "" {
		return monitor.Announcement{}, Error.New("%s", detail)
	}
	announcement.URL = strings.TrimSuffix(strings.TrimPrefix(announcement.URL, "http://"), "/")
	left, _ := announcement.coldLeft() // validated
	received := monitor.Announcement{Row: announcement.ServerRow, Sequence: announcement.Sequence, ColdLeft: left}
	return received, received.Check(timer.Now())
}

func validateAttended(announcement *attended) string {
	switch {
	case announcement.Born <= 0:
		return "born is missing: the start of the server in milliseconds since 1970"
	case announcement.Sequence == 0:
		return "sequence is missing"
	}
	if left, err := announcement.coldLeft(); err != nil || (left != nil && *left < 0) {
		return "coldleft must be a duration that is not below 0, such as 2.5s"
	}
	return validate(&announcement.ServerRow)
}
