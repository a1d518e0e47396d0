package assembler

import (
	"context"

	"marigoldhill/control/replicator"
	"marigoldhill/control/supervisor"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/registrar"
)

// replicaService runs the replica of the replicated log with its state machine.
type replicaService struct {
	base
	pool    *linker.Pool
	replica *replicator.Replica
}

// Name implements [registrar.Service].
func (s *replicaService) Name() string { return replicaName }

// Dependencies implements [registrar.Service].
func (s *replicaService) Dependencies() []string { return []string{journalName} }

// Start implements [registrar.Service].
func (s *replicaService) Start(_ context.Context, registry *registrar.Registrar) error {
	journal, err := registrar.Find[*journalService](registry, journalName)
	if err != nil {
		return err
	}
	s.pool = linker.NewPool(s.options.Network, linker.Options{Hello: s.hello(), Metrics: s.options.Metrics})
	s.replica, err = replicator.New(replicator.Options{
		Member:          s.settings.member(),
		Machine:         s.machine(),
		Journal:         journal.journal,
		Stored:          journal.stored,
		ToleratedLosses: s.settings.ToleratedLosses,
		Opener:          s.pool,
		Log:             s.options.Log,
		Metrics:         s.options.Metrics,
		Seed:            randomNumber(),
	})
	if err != nil {
		return Error.New("starting the replica: %w", err)
	}
	s.replica.Start()
	return nil
}

// machine returns a new state machine of the control group.
func (s *replicaService) machine() replicator.Machine {
	return supervisor.New(supervisor.Options{
		Cluster: s.settings.Cluster,
		Timing:  s.settings.Timing,
		Log:     s.options.Log,
		Metrics: s.options.Metrics,
	})
}

// transferLeadership transfers leadership to any other member, if this replica is
// the leader.
func (s *replicaService) transferLeadership(ctx context.Context) {
	if s.replica == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
	defer cancel()
	// On failure, the other members elect a leader after the election timeout.
	_ = s.replica.TransferAny(ctx)
}

// Stop implements [registrar.Service].
func (s *replicaService) Stop(context.Context) error {
	s.replica.Stop()
	s.pool.Close()
	return nil
}

// hello returns the message with which this process introduces itself on a new link.
func (b *base) hello() messenger.Hello {
	return messenger.Hello{
		Cluster: b.settings.Cluster,
		Version: messenger.Version,
		Role:    messenger.RoleControl,
		Name:    b.settings.Name,

		Evacuates: true,
	}
}
