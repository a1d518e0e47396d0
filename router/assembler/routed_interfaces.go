package assembler

import (
	"net/http"

	"marigoldhill/router/acceptor"
	"marigoldhill/router/announcer"
	"marigoldhill/router/dispatcher"
	"marigoldhill/router/granter"
	"marigoldhill/router/monitor"
	"marigoldhill/router/relayer"
)

// setDefaultInterfaces sets the options for protocols and handlers that are nil.
func (p *Routed) setDefaultInterfaces() {
	options := &p.options
	if options.HeaderCodec == nil {
		options.HeaderCodec = dispatcher.HeaderCodec{}
	}
	if options.RangeProtocol == nil {
		protocol := granter.NativeRangeProtocol()
		options.RangeProtocol = &protocol
	}
	if options.Callers == nil {
		options.Callers = func(entry *relayer.Entry) http.Handler { return acceptor.Routed(p.settings.Name, entry) }
	}
	if options.Backend == nil {
		options.Backend = func(server *monitor.Monitor) http.Handler {
			return announcer.NewRoutedHandler(p.settings.Name, server, p.holder.RangeCount)
		}
	}
}

// readyHandler returns the HTTP handler for readiness checks.
func (p *Routed) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !p.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
