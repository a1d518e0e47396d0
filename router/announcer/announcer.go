// Package announcer implements the HTTP interface through which the backend server
// announces itself to the router on its VM. docs/BACKEND.md specifies the requests.
// [NewRoutedHandler] is the variant for a router in routed mode.
//
// # Usage
//
//	announcements := announcer.New("r1", announcer.Callbacks{Announced: onAnnounced, Withdrawn: onWithdrawn, Status: status})
//	server, err := listener.Listen(network, "127.0.0.1:7102", announcements.Handler())
package announcer

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"sync"

	"github.com/labstack/echo/v4"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
)

// Error is the class of all errors of this package.
var Error = errs.Class("announcer")

// maxBodyBytes is the maximum size of the body of an announcement.
const maxBodyBytes = 4 << 10

// Status is the state of the backend server that is returned in responses.
type Status struct {
	State  messenger.ServerState
	Shards int
}

// Callbacks are the callbacks of an Announcer. They must not block.
type Callbacks struct {
	// Announced is called for each valid announcement.
	Announced func(row messenger.ServerRow)
	// Refused, if not nil, is called for each other one, with the name that it has.
	Refused func(name string, cause string)
	// Withdrawn is called when the backend server withdraws its announcement.
	Withdrawn func()
	// Status returns the state of the backend server.
	Status func() Status
}

// Announcer handles announcements of one backend server at a time.
type Announcer struct {
	router    string
	callbacks Callbacks

	mu  sync.Mutex
	row *messenger.ServerRow
}

// New returns an Announcer. Its responses contain router as the name of the router.
func New(router string, callbacks Callbacks) *Announcer {
	return &Announcer{router: router, callbacks: callbacks}
}

// Handler returns the HTTP handler for announcements and their withdrawal.
func (a *Announcer) Handler() http.Handler {
	server := echo.New()
	server.HideBanner = true
	server.POST(messenger.PathAnnounce, a.announce)
	server.DELETE(messenger.PathAnnounce, a.withdraw)
	return server
}

func (a *Announcer) announce(call echo.Context) error {
	body := http.MaxBytesReader(call.Response(), call.Request().Body, maxBodyBytes)
	var row messenger.ServerRow
	if err := json.NewDecoder(body).Decode(&row); err != nil {
		return a.refuse(call, row.Name, "the body is no announcement: "+err.Error())
	}
	if detail := validate(&row); detail != "" {
		return a.refuse(call, row.Name, detail)
	}
	if !a.claim(row) {
		return writeProblem(call, http.StatusConflict, "another backend server is announced at this router")
	}
	a.callbacks.Announced(row)
	return call.JSON(http.StatusOK, a.response())
}

// refuse refuses an announcement and reports it.
func (a *Announcer) refuse(call echo.Context, name, detail string) error {
	if a.callbacks.Refused != nil {
		a.callbacks.Refused(name[:min(len(name), messenger.MaxNameBytes)], detail)
	}
	return writeProblem(call, http.StatusBadRequest, detail)
}

// claim stores row, unless another backend server is announced and neither absent
// nor down.
func (a *Announcer) claim(row messenger.ServerRow) bool {
	state := a.callbacks.Status().State
	a.mu.Lock()
	defer a.mu.Unlock()
	replaceable := state == messenger.ServerAbsent || state == messenger.ServerDown
	if a.row != nil && a.row.Name != row.Name && !replaceable {
		return false
	}
	a.row = &row
	return true
}

func (a *Announcer) withdraw(call echo.Context) error {
	a.callbacks.Withdrawn()
	return call.JSON(http.StatusAccepted, a.response())
}

func (a *Announcer) response() messenger.AnnounceResponse {
	status := a.callbacks.Status()
	return messenger.AnnounceResponse{Router: a.router, State: status.State, Shards: status.Shards}
}

// validate returns a description of the first error in an announcement, or an empty
// string.
func validate(row *messenger.ServerRow) string {
	base, err := url.Parse(row.URL)
	switch {
	case err != nil || base.Scheme != "http" || base.Host == "":
		return "url must be http://host:port"
	case base.Path != "" && base.Path != "/":
		return "url must have no path"
	case !isPort(base.Port()):
		return "the port in url must be 1 to 65535"
	}
	return row.Check()
}

// isPort reports whether text is the number of a port, or empty for the default one.
func isPort(text string) bool {
	port, err := strconv.ParseUint(text, 10, 16)
	return text == "" || err == nil && port > 0
}

func writeProblem(call echo.Context, status int, detail string) error {
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
