package assembler

import (
	"context"
	"net"
	"net/http"
	"time"

	"marigoldhill/kernel/listener"
	"marigoldhill/kernel/logger"
)

func (p *Routed) startAnnounce(context.Context) error {
	var err error
	p.announceListener, err = listener.Listen(p.options.Network, p.settings.Backend, p.options.Backend(p.server), listener.Options{Budget: p.clients.budget("backend", backendShare)})
	if err != nil {
		return Error.New("listening for the backend server: %w", err)
	}
	return nil
}

func (p *Routed) stopAnnounce(ctx context.Context) error {
	return p.announceListener.Stop(ctx)
}

func (p *Routed) startCallers(context.Context) error {
	guarded := &listener.GuardNetwork{Network: p.options.Network, Options: p.clients.callers(p.headLimit)}
	socket, err := p.paced(guarded).Listen(p.settings.Callers)
	if err != nil {
		return Error.New("listening for callers: %w", err)
	}
	p.callerGuard = guarded.Guard
	p.callerServer = &http.Server{
		Handler:           p.callerGuard.Handler(p.closeWhenLeaving(p.options.Callers(p.entry))),
		ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		ConnState:         p.callerGuard.ConnState,
		ConnContext:       p.callerGuard.ConnContext,
	}
	go p.serveCallers(socket)
	return nil
}

// closeWhenLeaving makes responses close the connection once the process is leaving.
// SetKeepAlivesEnabled would close idle connections at once, and with them requests
// that are still being read.
func (p *Routed) closeWhenLeaving(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.leaving.Load() {
			p.lastCall.Store(time.Now().UnixNano())
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

func (p *Routed) serveCallers(socket net.Listener) {
	// Serve always returns an error; after a stop it is expected.
	if err := p.callerServer.Serve(socket); err != nil && !p.leaving.Load() {
		p.options.Log.Emit(logger.ProcessFailed, "error", err)
	}
}

func (p *Routed) startReady(context.Context) error {
	var err error
	p.readyListener, err = listener.Listen(p.options.Network, p.settings.Ready, p.readyHandler(), listener.Options{Budget: p.clients.budget("ready", readyShare)})
	if err != nil {
		return Error.New("listening for readiness checks: %w", err)
	}
	if p.settings.Metrics == "" {
		return nil
	}
	serve := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { p.options.Metrics.WritePrometheus(w) })
	p.metricsListener, err = listener.Listen(p.options.Network, p.settings.Metrics, serve, listener.Options{Budget: p.clients.budget("operator", operatorShare)})
	if err != nil {
		return Error.New("listening for metrics: %w", err)
	}
	return nil
}

func (p *Routed) stopReady(ctx context.Context) error {
	if p.metricsListener != nil {
		if err := p.metricsListener.Stop(ctx); err != nil {
			return err
		}
	}
	return p.readyListener.Stop(ctx)
}
