// Package announcer serves the announcements of the backend server beside the
// router, on a listener of their own. docs/BACKEND.md specifies the calls.
//
// # Usage
//
//	announcements := announcer.New("r1", announcer.Hooks{Announced: judge, Withdrawn: leave, Status: status})
//	server, err := listener.Listen(network, "127.0.0.1:7102", announcements.Handler())
package announcer

import (
	"encoding/json"
	"net/http"
	"net/url"
	"sync"

	"github.com/labstack/echo/v4"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("announcer")

const (
	// MaxSlots is the most slots that a backend server may announce.
	MaxSlots = 10_000
	// maxBody is the largest announcement in bytes.
	maxBody = 4 << 10
)

// Status is what an announcement is answered with.
type Status struct {
	State  messenger.ServerState
	Shards int
}

// Hooks are called by an Announcer. They must not block.
type Hooks struct {
	// Announced is called for each announcement.
	Announced func(row messenger.ServerRow)
	// Withdrawn is called when the backend server says that it leaves.
	Withdrawn func()
	// Status returns the state of the backend server.
	Status func() Status
}

// Announcer takes announcements.
type Announcer struct {
	router string
	hooks  Hooks

	mu  sync.Mutex
	row *messenger.ServerRow
}

// New returns an Announcer for the router of that name.
func New(router string, hooks Hooks) *Announcer {
	return &Announcer{router: router, hooks: hooks}
}

// Handler serves the calls.
func (a *Announcer) Handler() http.Handler {
	server := echo.New()
	server.HideBanner = true
	server.POST(messenger.PathAnnounce, a.announce)
	server.DELETE(messenger.PathAnnounce, a.withdraw)
	return server
}

func (a *Announcer) announce(call echo.Context) error {
	body := http.MaxBytesReader(call.Response(), call.Request().Body, maxBody)
	var row messenger.ServerRow
	if err := json.NewDecoder(body).Decode(&row); err != nil {
		return refuse(call, http.StatusBadRequest, "the body is no announcement: "+err.Error())
	}
	if detail := check(&row); detail != "" {
		return refuse(call, http.StatusBadRequest, detail)
	}
	if !a.take(row) {
		return refuse(call, http.StatusConflict, "another backend server is announced at this router")
	}
	a.hooks.Announced(row)
	return call.JSON(http.StatusOK, a.answer())
}

// take stores row, unless another backend server is still there.
func (a *Announcer) take(row messenger.ServerRow) bool {
	state := a.hooks.Status().State
	a.mu.Lock()
	defer a.mu.Unlock()
	gone := state == messenger.ServerAbsent || state == messenger.ServerDown
	if a.row != nil && a.row.Name != row.Name && !gone {
		return false
	}
	a.row = &row
	return true
}

func (a *Announcer) withdraw(call echo.Context) error {
	a.hooks.Withdrawn()
	return call.JSON(http.StatusAccepted, a.answer())
}

func (a *Announcer) answer() messenger.Announced {
	status := a.hooks.Status()
	return messenger.Announced{Router: a.router, State: status.State, Shards: status.Shards}
}

// check returns what is wrong with an announcement, or nothing.
func check(row *messenger.ServerRow) string {
	base, err := url.Parse(row.URL)
	switch {
	case row.Name == "":
		return "name is missing"
	case row.Service == "":
		return "service is missing"
	case err != nil || base.Scheme != "http" || base.Host == "":
		return "url must be http://host:port"
	case base.Path != "" && base.Path != "/":
		return "url must have no path"
	case row.Slots < 1 || row.Slots > MaxSlots:
		return "slots must be 1 to 10000"
	}
	return ""
}

func refuse(call echo.Context, status int, detail string) error {
	problem := messenger.Problem{
		Type:   "about:blank",
		Title:  http.StatusText(status),
		Status: status,
		Detail: detail,
	}
	call.Response().Header().Set(echo.HeaderContentType, "application/problem+json")
	call.Response().WriteHeader(status)
	if err := json.NewEncoder(call.Response()).Encode(problem); err != nil {
		return Error.New("writing the refusal: %w", err)
	}
	return nil
}
