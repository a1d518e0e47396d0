package assembler

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/control/administrator"
	"marigoldhill/control/configurer"
	"marigoldhill/control/replicator"
	"marigoldhill/kernel/registrar"
)

const (
	// headerTime bounds the reading of a request's header.
	headerTime = 5 * time.Second
	// idleTime is how long an idle connection of an operator is kept.
	idleTime = time.Minute
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
)

// operatorService serves the operator interface, metrics and health.
type operatorService struct {
	part
	replica  *replicator.Replica
	listener net.Listener
	server   *http.Server
	done     chan struct{}
}

// Name implements [registrar.Service].
func (s *operatorService) Name() string { return operatorName }

// Needs implements [registrar.Service].
func (s *operatorService) Needs() []string { return []string{replicaName, linkName} }

// Start implements [registrar.Service].
func (s *operatorService) Start(_ context.Context, kernel *registrar.Registrar) error {
	running, err := registrar.Find[*replicaService](kernel, replicaName)
	if err != nil {
		return err
	}
	s.replica = running.replica
	s.listener, err = s.options.Network.Listen(s.settings.Operator)
	if err != nil {
		return Error.New("field operator: %s can't be used (another process may have it): %w", s.settings.Operator, err)
	}
	s.server = &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	s.done = make(chan struct{})
	go func() {
		defer close(s.done)
		_ = s.server.Serve(s.listener)
	}()
	return nil
}

func (s *operatorService) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.serveMetrics)
	mux.HandleFunc("GET /health", s.serveHealth)
	administrate := administrator.New(s.replica, administrator.Options{
		Losses: s.settings.Losses, Log: s.options.Log, Metrics: s.options.Metrics,
	})
	mux.Handle("/v1/", administrate.Handler())
	if s.options.Interface == nil {
		mux.Handle("/", administrate.Handler())
		return mux
	}
	changes := configurer.New(s.replica, configurer.Options{Losses: s.settings.Losses, Log: s.options.Log})
	mux.Handle("/", s.options.Interface(changes))
	return mux
}

func (s *operatorService) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	s.options.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Health is the answer to GET /health.
type Health struct {
	Name   string `json:"name"`
	Leader string `json:"leader"`
	Term   uint64 `json:"term"`
	// Applied is the last log index that was applied here.
	Applied uint64 `json:"applied"`
}

// serveHealth answers 503 while no leader is known.
func (s *operatorService) serveHealth(w http.ResponseWriter, _ *http.Request) {
	standing := s.replica.Standing()
	w.Header().Set("Content-Type", "application/json")
	if standing.Leader.Name == "" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(&Health{
		Name:    standing.Name,
		Leader:  standing.Leader.Name,
		Term:    standing.Term,
		Applied: standing.Applied,
	})
}

// Stop implements [registrar.Service]. It lets calls in flight end.
func (s *operatorService) Stop(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.server.Close())
	}
	<-s.done
	if err != nil {
		return Error.New("closing the operator interface: %w", err)
	}
	return nil
}
