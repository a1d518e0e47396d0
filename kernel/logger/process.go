package logger

import "github.com/hashicorp/go-hclog"

// Events of every process, 100 to 199.
var (
	ProcessStarted  = Event{100, hclog.Info, "process is ready"}
	ProcessStopping = Event{101, hclog.Info, "process is stopping"}
	ProcessStopped  = Event{102, hclog.Info, "process has stopped"}
	ProcessFailed   = Event{103, hclog.Error, "process cannot go on"}
	SettingsRead    = Event{104, hclog.Info, "settings were read again"}
	LinesLeftOut    = Event{106, hclog.Info, "log lines were left out"}
	SettingsUnread  = Event{105, hclog.Warn, "settings could not be read again"}
)

func processEvents() []Event {
	return []Event{ProcessStarted, ProcessStopping, ProcessStopped, ProcessFailed, SettingsRead, SettingsUnread, LinesLeftOut}
}
