package assembler

import (
	"context"

	"marigoldhill/control/enroller"
	"marigoldhill/control/journaler"
	"marigoldhill/kernel/linker"
)

// announce sends join requests until the returned function is called, unless this replica founds the
// group. The disk may take no write for a while, and meanwhile the group has to know whether this
// replica is there or has lost its disk.
func (s *journalService) announce(ctx context.Context) (stop func()) {
	identity, err := journaler.ReadIdentity(s.options.Disk, s.settings.Data)
	founds := identity == nil && !s.settings.Join
	if err != nil || founds || len(s.settings.Seeds) == 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	pool := linker.NewPool(s.options.Network, linker.Options{Hello: s.hello(), Metrics: s.options.Metrics})
	announcer := enroller.New(s.enrolmentSettings(), enroller.Options{Opener: pool, Log: s.options.Log})
	done := make(chan struct{})
	go func() {
		defer close(done)
		announcer.Announce(ctx)
	}()
	return func() {
		cancel()
		<-done
		pool.Close()
	}
}

// enrolmentSettings returns the settings with which this replica requests to join.
func (b *base) enrolmentSettings() enroller.Settings {
	return enroller.Settings{
		Member:          b.settings.member(),
		Seeds:           b.settings.peerAddresses(),
		ToleratedLosses: b.settings.ToleratedLosses,
	}
}
