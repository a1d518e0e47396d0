package assembler

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/profiler"
)

// Guards against a failure domain that routers may have and that can't be evacuated.
func TestDomainsOfRoutedSettingsCanBeEvacuated(t *testing.T) {
	for _, domain := range []string{"Rack_2", "zone.1"} {
		settings := RoutedSettings{
			Version: 1, Cluster: "c", Name: "r", Domain: domain, Service: "s", Server: "h:1", Callers: "h:2", Peer: "h:3",
			Backend: "h:4", Ready: "h:5", ControlPeers: []string{"h:6"}, Grace: 1,
		}
		settings.Budget.Window = 1
		field, reason := settings.Check()
		isAccepted := field == "" && reason == ""
		qt.Check(t, isAccepted, qt.Equals, profiler.IsValidName(domain), qt.Commentf("%s: %s %s", domain, field, reason))
	}
}
