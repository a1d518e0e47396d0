package assembler

import (
	"context"

	"marigoldhill/control/enroller"
	"marigoldhill/control/receiver"
	"marigoldhill/control/replicator"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/registrar"
)

// linkService accepts links from other processes and dispatches their streams.
type linkService struct {
	base
	replica  *replicator.Replica
	enroller *enroller.Enroller
	receiver *receiver.Receiver
	server   *linker.Server
}

// Name implements [registrar.Service].
func (s *linkService) Name() string { return linkName }

// Dependencies implements [registrar.Service].
func (s *linkService) Dependencies() []string { return []string{replicaName, enrolName} }

// Start implements [registrar.Service].
func (s *linkService) Start(_ context.Context, registry *registrar.Registrar) error {
	service, err := registrar.Find[*replicaService](registry, replicaName)
	if err != nil {
		return err
	}
	s.replica = service.replica
	enrolment, err := registrar.Find[*enrolService](registry, enrolName)
	if err != nil {
		return err
	}
	s.enroller = enrolment.enroller
	s.receiver = receiver.New(s.replica, receiver.Options{Log: s.options.Log, Metrics: s.options.Metrics})
	s.server, err = linker.Listen(s.options.Network, s.settings.Listen, linker.Options{
		Hello:   s.hello(),
		Handler: s.handle,
		Metrics: s.options.Metrics,
		Budget:  s.budget("links", linksShare),
	})
	if err != nil {
		return Error.New("field listen: cannot listen on %s (another process may be using it): %w", s.settings.Listen, err)
	}
	return nil
}

func (s *linkService) handle(ctx context.Context, link *linker.Link, stream *linker.Stream) {
	switch stream.Kind() {
	case messenger.KindReplica:
		s.replica.Handle(ctx, link, stream)
	case messenger.KindHeartbeat, messenger.KindReport:
		s.receiver.Handle(ctx, link, stream)
	case messenger.KindJoin:
		if err := s.enroller.Handle(ctx, link, stream); err != nil {
			s.options.Metrics.GetOrCreateCounter(`marigold_control_refusals_total{reason="stream"}`).Inc()
		}
	default:
		s.options.Metrics.GetOrCreateCounter(`marigold_control_refusals_total{reason="kind"}`).Inc()
	}
}

// Stop implements [registrar.Service].
func (s *linkService) Stop(context.Context) error {
	return s.server.Close()
}
