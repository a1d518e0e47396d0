// Package logger writes the numbered events of the system through hclog.
//
// Each event has a number that never changes, a level and a message; the
// catalogue is docs/EVENTS.md, which a test compares with [Catalogue].
//
// # Usage
//
//	log := logger.New(os.Stderr, logger.FormatText, "router", "r1")
//	log.Emit(logger.LeaseLost, "silence", elapsed)
package logger

import (
	"io"
	"slices"
	"strings"

	"github.com/hashicorp/go-hclog"
)

// Format is the form of log lines.
type Format string

// The formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Event is one kind of event.
type Event struct {
	// Number identifies the event for good.
	Number int
	// Level is the level that it is logged at.
	Level hclog.Level
	// Message is one short sentence.
	Message string
}

// Log emits events for one process. Its methods are safe for concurrent use.
type Log struct {
	out hclog.Logger
}

// New returns a Log that writes to output, with the role and the name of the
// process on each line.
func New(output io.Writer, format Format, role, name string) *Log {
	out := hclog.New(&hclog.LoggerOptions{
		Name:       "marigold",
		Output:     output,
		JSONFormat: format == FormatJSON,
		Level:      hclog.Info,
	})
	return &Log{out: out.With("role", role, "name", name)}
}

// Discard returns a Log that drops everything.
func Discard() *Log {
	return &Log{out: hclog.NewNullLogger()}
}

// Emit logs event with key-value pairs.
func (l *Log) Emit(event Event, pairs ...any) {
	l.out.Log(event.Level, event.Message, append([]any{"event", event.Number}, pairs...)...)
}

// Catalogue returns all events, ordered by number.
func Catalogue() []Event {
	events := slices.Concat(processEvents(), replicaEvents(), controlEvents(), routerEvents(), entryEvents())
	slices.SortFunc(events, func(a, b Event) int { return a.Number - b.Number })
	return events
}

// LevelName returns the level of an event as one lower-case word.
func LevelName(event Event) string {
	return strings.ToLower(event.Level.String())
}

// Lookup returns the event with a number; an unknown one gets a plain message.
func Lookup(number int) Event {
	for _, event := range Catalogue() {
		if event.Number == number {
			return event
		}
	}
	return Event{Number: number, Level: hclog.Info, Message: "unknown event"}
}
