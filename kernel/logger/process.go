package logger

import "github.com/hashicorp/go-hclog"

// Events of all processes, 100 to 199.
var (
	ProcessStarted       = Event{100, hclog.Info, "process is ready"}
	ProcessStopping      = Event{101, hclog.Info, "process is stopping"}
	ProcessStopped       = Event{102, hclog.Info, "process stopped"}
	ProcessFailed        = Event{103, hclog.Error, "process failed"}
	SettingsReloaded     = Event{104, hclog.Info, "settings reload signal handled"}
	LinesDropped         = Event{106, hclog.Info, "log lines dropped"}
	ClientClosed         = Event{107, hclog.Warn, "connection of a client closed or refused"}
	ProcessPaused        = Event{108, hclog.Warn, "process had not run for a while"}
	SettingsReloadFailed = Event{105, hclog.Warn, "settings could not be reloaded"}
)

func processEvents() []Event {
	return []Event{ProcessStarted, ProcessStopping, ProcessStopped, ProcessFailed, SettingsReloaded, SettingsReloadFailed, LinesDropped, ClientClosed, ProcessPaused}
}
