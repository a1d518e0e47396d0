package assembler

import (
	"context"

	"marigoldhill/control/replicator"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/registrar"
)

// replicaService runs the replica with its state machine.
type replicaService struct {
	part
	pool    *linker.Pool
	replica *replicator.Replica
}

// Name implements [registrar.Service].
func (s *replicaService) Name() string { return replicaName }

// Needs implements [registrar.Service].
func (s *replicaService) Needs() []string { return []string{journalName} }

// Start implements [registrar.Service].
func (s *replicaService) Start(_ context.Context, kernel *registrar.Registrar) error {
	journal, err := registrar.Find[*journalService](kernel, journalName)
	if err != nil {
		return err
	}
	s.pool = linker.NewPool(s.options.Network, linker.Options{Hello: s.hello(), Metrics: s.options.Metrics})
	s.replica, err = replicator.New(replicator.Options{
		Member:  s.settings.member(),
		Machine: s.machine(),
		Journal: journal.journal,
		Stored:  journal.stored,
		Opener:  s.pool,
		Log:     s.options.Log,
		Metrics: s.options.Metrics,
		Seed:    randomNumber(),
	})
	if err != nil {
		return Error.New("starting the replica: %w", err)
	}
	s.replica.Start()
	return nil
}

// machine is the state machine of the control group.
func (s *replicaService) machine() replicator.Machine {
	return supervisor.New(supervisor.Options{
		Cluster: s.settings.Cluster,
		Timing:  s.settings.Timing,
		Log:     s.options.Log,
		Metrics: s.options.Metrics,
	})
}

// handOver hands leadership to another member, if this one leads.
func (s *replicaService) handOver(ctx context.Context) {
	if s.replica == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTime)
	defer cancel()
	// Without it the others elect a leader a little later.
	_ = s.replica.TransferAny(ctx)
}

// Stop implements [registrar.Service].
func (s *replicaService) Stop(context.Context) error {
	s.replica.Stop()
	s.pool.Close()
	return nil
}

// hello is the greeting of this process.
func (p *part) hello() messenger.Hello {
	return messenger.Hello{
		Cluster: p.settings.Cluster,
		Version: messenger.Version,
		Role:    messenger.RoleControl,
		Name:    p.settings.Name,
	}
}
