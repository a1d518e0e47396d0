package assembler

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/control/administrator"
	"marigoldhill/control/configurer"
	"marigoldhill/control/proposer"
	"marigoldhill/control/replicator"
	"marigoldhill/kernel/limiter"
	"marigoldhill/kernel/listener"
	"marigoldhill/kernel/registrar"
)

const (
	readHeaderTimeout = 5 * time.Second
	// idleTimeout limits how long an idle keep-alive connection stays open.
	idleTimeout    = time.Minute
	maxHeaderBytes = 64 << 10
	// callTimeout is how long a stop waits for calls. Shutdown also waits for connections on
	// which none has come.
	callTimeout = 2 * time.Second
)

const (
	// operatorShare and linksShare are the parts of what is for clients. They are fixed, so
	// that a crowd at one address leaves the other its part.
	operatorShare = 0.95
	linksShare    = 0.05
	// bodyCost is the memory that a byte of an operator's call takes: as it was sent, and
	// decoded.
	bodyCost = 2
)

// budget returns a new budget for the listener called name.
func (b *base) budget(name string, share float64) *limiter.Budget {
	return limiter.New(name, b.settings.VM.Share(share), limiter.Options{Log: b.options.Log, Metrics: b.options.Metrics})
}

// operatorService is the HTTP server of the operator interface, the metrics and the
// health check.
type operatorService struct {
	base
	replica  *replicator.Replica
	listener net.Listener
	server   *http.Server
	done     chan struct{}
}

// Name implements [registrar.Service].
func (s *operatorService) Name() string { return operatorName }

// Dependencies implements [registrar.Service].
func (s *operatorService) Dependencies() []string { return []string{replicaName, linkName} }

// Start implements [registrar.Service].
func (s *operatorService) Start(_ context.Context, registry *registrar.Registrar) error {
	service, err := registrar.Find[*replicaService](registry, replicaName)
	if err != nil {
		return err
	}
	s.replica = service.replica
	socket, err := s.options.Network.Listen(s.settings.Operator)
	if err != nil {
		return Error.New("field operator: cannot listen on %s (another process may be using it): %w", s.settings.Operator, err)
	}
	guard := listener.NewGuard(socket, listener.Options{Budget: s.budget("operator", operatorShare), BodyCost: bodyCost})
	s.listener = guard
	s.server = &http.Server{
		Handler:           guard.Handler(s.handler()),
		ConnState:         guard.ConnState,
		ConnContext:       guard.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
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
	api := administrator.New(s.replica, administrator.Options{
		ToleratedLosses: s.settings.ToleratedLosses, Log: s.options.Log, Metrics: s.options.Metrics,
	})
	mux.Handle("/v1/", api.Handler())
	if s.options.OperatorHandler == nil {
		mux.Handle("/", api.Handler())
		return mux
	}
	configurations := configurer.New(s.replica, configurer.Options{ToleratedLosses: s.settings.ToleratedLosses, Log: s.options.Log})
	changes := proposer.New(s.replica, proposer.Options{ToleratedLosses: s.settings.ToleratedLosses})
	mux.Handle("/", s.options.OperatorHandler(configurations, changes))
	return mux
}

func (s *operatorService) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	s.options.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Health is the body of the response to GET /health.
type Health struct {
	Name   string `json:"name"`
	Leader string `json:"leader"`
	Term   uint64 `json:"term"`
	// Applied is the index of the last log entry that this replica has applied.
	Applied uint64 `json:"applied"`
}

// serveHealth responds with status 503 while the leader is unknown.
func (s *operatorService) serveHealth(w http.ResponseWriter, _ *http.Request) {
	raftStatus := s.replica.RaftStatus()
	w.Header().Set("Content-Type", "application/json")
	if raftStatus.Leader.Name == "" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(&Health{
		Name:    raftStatus.Name,
		Leader:  raftStatus.Leader.Name,
		Term:    raftStatus.Term,
		Applied: raftStatus.Applied,
	})
}

// Stop implements [registrar.Service]. It waits for calls in flight until callTimeout has
// passed, then closes the connections that are left.
func (s *operatorService) Stop(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.server.Shutdown(callCtx)
	if err != nil {
		err = s.server.Close()
	}
	<-s.done
	if err != nil {
		return Error.New("closing the operator interface: %w", err)
	}
	return nil
}
