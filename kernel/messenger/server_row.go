package messenger

import (
	"fmt"
	"strings"
)

const (
	// MaxSlots is the maximum number of slots of a backend server.
	MaxSlots = 10_000
	// MaxNameBytes is the maximum length of the name of a server or a service.
	MaxNameBytes = 255
)

// ServerStart identifies a start of a backend server.
type ServerStart struct {
	Name string
	// Born is in milliseconds of the wall clock of the server.
	Born int64
}

// Start returns the start of the server that the row describes.
func (r *ServerRow) Start() ServerStart {
	return ServerStart{Name: r.Name, Born: r.Born}
}

// Check returns a description of the first error in a row that another process sent, or an
// empty string.
func (r *ServerRow) Check() string {
	if problem := checkName(r.Name); problem != "" {
		return "name " + problem
	}
	if problem := checkName(r.Service); problem != "" {
		return "service " + problem
	}
	switch {
	case r.Slots < 1 || r.Slots > MaxSlots:
		return fmt.Sprintf("slots must be 1 to %d", MaxSlots)
	case r.Born < 0:
		return "born must not be below 0"
	}
	return ""
}

// checkName returns why a name cannot be sent in a header field.
func checkName(name string) string {
	isControl := func(r rune) bool { return r < ' ' || r == 0x7f }
	switch {
	case name == "":
		return "is missing"
	case len(name) > MaxNameBytes:
		return fmt.Sprintf("has more than %d bytes", MaxNameBytes)
	case strings.ContainsFunc(name, isControl):
		return "has control characters"
	}
	return ""
}
