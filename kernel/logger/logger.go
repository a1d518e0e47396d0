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
	"time"

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
	out    hclog.Logger
	limits *limiter
	funnel *funnel
}

// New returns a Log that writes to output, with the role and the name of the
// process on each line. It never waits for output; Close writes what is queued.
func New(output io.Writer, format Format, role, name string) *Log {
	funnel := newFunnel(output)
	out := hclog.New(&hclog.LoggerOptions{
		Name:       "marigold",
		Output:     funnel,
		JSONFormat: format == FormatJSON,
		Level:      hclog.Info,
	})
	return &Log{out: out.With("role", role, "name", name), limits: newLimiter(), funnel: funnel}
}

// Discard returns a Log that drops everything.
func Discard() *Log {
	return &Log{out: hclog.NewNullLogger(), limits: newLimiter()}
}

// Close writes what is queued. Lines that come later are dropped.
func (l *Log) Close() {
	if l.funnel != nil {
		l.funnel.close()
	}
}

// Emit logs event with key-value pairs. Of events that happen with requests, a
// bounded number is written a second; a line says how many were left out.
func (l *Log) Emit(event Event, pairs ...any) {
	allowed, skipped := l.limits.allow(time.Now(), event)
	if skipped > 0 {
		l.write(LinesLeftOut, "of", event.Number, "count", skipped)
	}
	if l.funnel != nil {
		if dropped := l.funnel.takeDropped(); dropped > 0 {
			l.write(LinesLeftOut, "of", 0, "count", dropped)
		}
	}
	if allowed {
		l.write(event, pairs...)
	}
}

func (l *Log) write(event Event, pairs ...any) {
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
