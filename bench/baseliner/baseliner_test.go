package baseliner_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/bench/baseliner"
	"marigoldhill/bench/responder"
	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/messenger"
)

// Without retries, requests whose key maps to the stopped server must have the outcome
// unknown. With retries, all requests must be served by the other servers.
func TestServerSelectionWithOneServerDown(t *testing.T) {
	simulatedNetwork := disrupter.New(0)
	var servers []*responder.Server
	bases := make(map[string][]string)
	for i := range 3 {
		settings := responder.DefaultSettings()
		settings.Name, settings.Service, settings.Work = fmt.Sprint("d", i), "findings", 0
		settings.Listen = settings.Name + ":7204"
		server := responder.New(settings, simulatedNetwork.Node(settings.Name), responder.NewRunCounter())
		qt.Assert(t, server.Start(t.Context()), qt.IsNil)
		t.Cleanup(server.Kill)
		servers = append(servers, server)
		bases["findings"] = append(bases["findings"], server.URL())
	}
	servers[0].Kill()
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		return simulatedNetwork.Node("caller").Dial(ctx, address)
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dial}}
	defer client.CloseIdleConnections()
	tests := []struct {
		name        string
		retries     int
		wantUnknown bool
	}{
		{"fixed", 0, true},
		{"round robin", 10, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			settings := baseliner.Settings{Listen: "entry:7200", Servers: bases, Retries: test.retries}
			baseline := baseliner.New(settings, simulatedNetwork.Node("entry"))
			qt.Assert(t, baseline.Start(), qt.IsNil)
			defer baseline.Stop()
			outcomes := make(map[messenger.Outcome]int)
			for key := range 30 {
				response, err := client.Get(fmt.Sprintf("%s/v1/findings/k%d/findings", baseline.URL(), key))
				qt.Assert(t, err, qt.IsNil)
				_ = response.Body.Close()
				outcomes[messenger.Outcome(response.Header.Get(messenger.HeaderOutcome))]++
			}
			qt.Assert(t, outcomes[messenger.OutcomeUnknown] > 0, qt.Equals, test.wantUnknown)
			qt.Assert(t, outcomes[messenger.OutcomeDone]+outcomes[messenger.OutcomeUnknown], qt.Equals, 30)
		})
	}
}
