package assembler

import (
	"context"

	"marigoldhill/control/enroller"
	"marigoldhill/kernel/registrar"
)

// enrolService runs the enroller, which requests membership in a group that is
// bootstrapped from seeds. Without seeds it is idle.
type enrolService struct {
	base
	enroller *enroller.Enroller
	cancel   context.CancelFunc
	done     chan struct{}
}

// Name implements [registrar.Service].
func (s *enrolService) Name() string { return enrolName }

// Dependencies implements [registrar.Service].
func (s *enrolService) Dependencies() []string { return []string{replicaName} }

// Start implements [registrar.Service].
func (s *enrolService) Start(_ context.Context, registry *registrar.Registrar) error {
	service, err := registrar.Find[*replicaService](registry, replicaName)
	if err != nil {
		return err
	}
	s.enroller = enroller.New(s.enrolmentSettings(), enroller.Options{Replica: service.replica, Opener: service.pool, Log: s.options.Log})
	service.replica.OnMisdirected(s.enroller.AddAddress)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done = make(chan struct{})
	go func() {
		defer close(s.done)
		if len(s.settings.Seeds) > 0 {
			s.enroller.Run(ctx)
		}
	}()
	return nil
}

// Stop implements [registrar.Service].
func (s *enrolService) Stop(context.Context) error {
	s.cancel()
	<-s.done
	return nil
}
