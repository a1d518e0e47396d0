// Package logger writes the numbered events of the processes of a cluster through
// hclog.
//
// Each event has a number that never changes, a level and a message. They are
// listed in docs/EVENTS.md, which a test compares with [Catalog].
//
// # Usage
//
//	log := logger.New(os.Stderr, logger.FormatText, "router", "r1")
//	log.Emit(logger.LeaseLost, "session", session)
package logger

import (
	"io"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Format is the format of log lines.
type Format string

// The formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Event is one kind of event.
type Event struct {
	// Number identifies the event and never changes.
	Number int
	Level  hclog.Level
	// Message is a short phrase without values.
	Message string
}

// Log logs the events of one process. Its methods are safe for concurrent use.
type Log struct {
	out    hclog.Logger
	limits *limiter
	writer *writer
}

// New returns a Log that writes to output, with the role and the name of the
// process on each line. Lines are written asynchronously, so that a blocked output
// does not block Emit.
func New(output io.Writer, format Format, role, name string) *Log {
	writer := newWriter(output)
	out := hclog.New(&hclog.LoggerOptions{
		Name:       "marigold",
		Output:     writer,
		JSONFormat: format == FormatJSON,
		Level:      hclog.Info,
	})
	return &Log{out: out.With("role", role, "name", name), limits: newLimiter(), writer: writer}
}

// Discard returns a Log that discards all events.
func Discard() *Log {
	return &Log{out: hclog.NewNullLogger(), limits: newLimiter()}
}

// Close waits until the queued lines are written. Later lines are dropped.
func (l *Log) Close() {
	if l.writer != nil {
		l.writer.close()
	}
}

// Emit logs event with key-value pairs. Frequent events are rate-limited; the number
// of dropped lines is logged as LinesDropped.
func (l *Log) Emit(event Event, pairs ...any) {
	allowed, suppressed := l.limits.allow(time.Now(), event)
	if suppressed > 0 {
		l.write(LinesDropped, "of", event.Number, "count", suppressed)
	}
	if l.writer != nil {
		if dropped := l.writer.takeDropped(); dropped > 0 {
			l.write(LinesDropped, "of", 0, "count", dropped)
		}
	}
	if allowed {
		l.write(event, pairs...)
	}
}

func (l *Log) write(event Event, pairs ...any) {
	l.out.Log(event.Level, event.Message, append([]any{"event", event.Number}, boundValues(pairs)...)...)
}

// maxValueBytes is the maximum size of a text in a line. Identifiers are as long as their
// senders make them.
const maxValueBytes = 1 << 10

// boundValues shortens the texts among pairs that are too long.
func boundValues(pairs []any) []any {
	for n, value := range pairs {
		text := ""
		switch typed := value.(type) {
		case string:
			text = typed
		case error:
			text = typed.Error()
		}
		if len(text) > maxValueBytes {
			pairs[n] = strings.ToValidUTF8(text[:maxValueBytes], "") + "..."
		}
	}
	return pairs
}

// Catalog returns all events, sorted by number.
func Catalog() []Event {
	events := slices.Concat(processEvents(), replicaEvents(), controlEvents(), routerEvents(), entryEvents())
	slices.SortFunc(events, func(a, b Event) int { return a.Number - b.Number })
	return events
}

// LevelName returns the level of an event in lower case.
func LevelName(event Event) string {
	return strings.ToLower(event.Level.String())
}

// Lookup returns the event with a number. The message of an unknown number is
// "unknown event".
func Lookup(number int) Event {
	for _, event := range Catalog() {
		if event.Number == number {
			return event
		}
	}
	return Event{Number: number, Level: hclog.Info, Message: "unknown event"}
}
