package assembler

import (
	"context"
	"time"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/registrar"
	"marigoldhill/router/acceptor"
	"marigoldhill/router/keeper"
	"marigoldhill/router/listener"
)

const (
	// closeTime bounds the end of the session.
	closeTime = 2 * time.Second
)

// services lists the services of the process.
func (p *Process) services() []registrar.Service {
	return []registrar.Service{
		&part{name: partLink, start: p.startLink, stop: p.stopLink},
		loop(partProber, nil, p.prober.Run),
		loop(partGranter, nil, p.granter.Run),
		loop(partRecorder, []string{partLink}, p.recorder.Run),
		loop(partReporter, []string{partLink}, p.reporter.Run),
		&part{name: partKeeper, needs: []string{partLink, partProber, partGranter, partRecorder, partReporter}, start: p.startKeeper, stop: p.stopKeeper},
		&part{name: partAnnounce, needs: []string{partKeeper}, start: p.startBackend, stop: p.stopBackend},
		&part{name: partOperator, needs: []string{partKeeper}, start: p.startOperator, stop: p.stopOperator},
		p.acceptor,
		&part{name: partDrainer, needs: []string{partKeeper, partAnnounce, partOperator, acceptor.ServiceName}, stop: p.drain},
	}
}

func (p *Process) startLink(context.Context) error {
	options := p.linkOptions()
	options.Handler = p.handle
	peer, err := linker.Listen(p.options.Network, p.settings.Peer, options)
	if err != nil {
		return Error.New("listening for routers: %w", err)
	}
	p.peer = peer
	// The keeper tells other routers the address that the listener got.
	p.keeper = keeper.New(keeper.Settings{
		Name:    p.settings.Name,
		Address: p.peer.Address(),
		Domain:  p.settings.Domain,
		Region:  p.settings.Region,
		Control: p.settings.Control,
	}, keeper.Options{
		Opener:  p.pool,
		Steward: p.steward,
		Log:     p.options.Log,
		Metrics: p.options.Metrics,
	})
	return nil
}

func (p *Process) stopLink(context.Context) error {
	p.pool.Close()
	p.dispatcher.Close()
	if err := p.peer.Close(); err != nil {
		return Error.New("closing the listener for routers: %w", err)
	}
	return nil
}

// handle serves a stream that another router opened.
func (p *Process) handle(ctx context.Context, link *linker.Link, stream *linker.Stream) {
	switch stream.Kind() {
	case messenger.KindForward, messenger.KindOutcome:
		p.forwarder.Handle(ctx, link, stream)
	case messenger.KindRecord, messenger.KindRecover:
		p.recorder.Handle(ctx, link, stream)
	}
}

func (p *Process) startKeeper(context.Context) error {
	go p.keeper.Run(context.Background())
	return nil
}

func (p *Process) stopKeeper(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, closeTime)
	defer cancel()
	p.keeper.Close(ctx)
	return nil
}

func (p *Process) startBackend(context.Context) error {
	server, err := listener.Listen(p.options.Network, p.settings.Backend, p.announcer().Handler())
	if err != nil {
		return Error.New("listening for the backend server: %w", err)
	}
	p.backend = server
	return nil
}

func (p *Process) stopBackend(ctx context.Context) error {
	return p.backend.Stop(ctx)
}

func (p *Process) startOperator(context.Context) error {
	server, err := listener.Listen(p.options.Network, p.settings.Operator, p.operate())
	if err != nil {
		return Error.New("listening for operators: %w", err)
	}
	p.operator = server
	return nil
}

func (p *Process) stopOperator(ctx context.Context) error {
	return p.operator.Stop(ctx)
}
