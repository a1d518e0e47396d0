package assembler

import (
	"context"

	"marigoldhill/control/enroller"
	"marigoldhill/kernel/registrar"
)

// enrolService asks for membership in a group that forms by itself.
type enrolService struct {
	part
	enroller *enroller.Enroller
	cancel   context.CancelFunc
	done     chan struct{}
}

// Name implements [registrar.Service].
func (s *enrolService) Name() string { return enrolName }

// Needs implements [registrar.Service].
func (s *enrolService) Needs() []string { return []string{replicaName} }

// Start implements [registrar.Service].
func (s *enrolService) Start(_ context.Context, kernel *registrar.Registrar) error {
	running, err := registrar.Find[*replicaService](kernel, replicaName)
	if err != nil {
		return err
	}
	s.enroller = enroller.New(enroller.Settings{
		Member: s.settings.member(),
		Seeds:  s.settings.peers(),
		Losses: s.settings.Losses,
	}, enroller.Options{Replica: running.replica, Opener: running.pool, Log: s.options.Log})
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
