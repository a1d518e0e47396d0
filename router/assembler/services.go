package assembler

import (
	"context"
	"time"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/listener"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/registrar"
	"marigoldhill/router/acceptor"
	"marigoldhill/router/keeper"
)

const (
	// closeTimeout limits the time to close the session.
	closeTimeout = 2 * time.Second
)

// services returns the services of the process.
func (p *Process) services() []registrar.Service {
	return []registrar.Service{
		&funcService{name: serviceLink, start: p.startLink, stop: p.stopLink},
		loopService(serviceProber, nil, p.prober.Run),
		loopService(serviceGranter, nil, p.granter.Run),
		loopService(serviceRecorder, []string{serviceLink}, p.recorder.Run),
		loopService(serviceReporter, []string{serviceLink}, p.reporter.Run),
		&funcService{name: serviceKeeper, dependencies: []string{serviceLink, serviceProber, serviceGranter, serviceRecorder, serviceReporter}, start: p.startKeeper, stop: p.stopKeeper},
		&funcService{name: serviceAnnouncer, dependencies: []string{serviceKeeper}, start: p.startBackend, stop: p.stopBackend},
		&funcService{name: serviceOperator, dependencies: []string{serviceKeeper}, start: p.startOperator, stop: p.stopOperator},
		p.acceptor,
		&funcService{name: serviceDrainer, dependencies: []string{serviceKeeper, serviceAnnouncer, serviceOperator, acceptor.ServiceName}, stop: p.drain},
	}
}

func (p *Process) startLink(context.Context) error {
	options := p.linkOptions()
	options.Handler = p.handleStream
	options.Budget = p.clients.budget("links", linksShare)
	peer, err := linker.Listen(p.options.Network, p.settings.Peer, options)
	if err != nil {
		return Error.New("listening for routers: %w", err)
	}
	p.peer = peer
	// The keeper publishes the address that the listener is bound to.
	p.keeper = keeper.New(keeper.Settings{
		Name:    p.settings.Name,
		Address: p.peer.Address(),
		Domain:  p.settings.Domain,
		Region:  p.settings.Region,
		Control: p.settings.Control,
	}, keeper.Options{
		Opener:           p.pool,
		HeartbeatHandler: p.heartbeatHandler,
		Log:              p.options.Log,
		Metrics:          p.options.Metrics,
	})
	return nil
}

func (p *Process) stopLink(ctx context.Context) error {
	drainPeers(ctx, p.peer, p.options.Log)
	p.pool.Close()
	p.dispatcher.Close()
	if err := p.peer.Close(); err != nil {
		return Error.New("closing the listener for routers: %w", err)
	}
	return nil
}

// handleStream serves a stream that another router opened.
func (p *Process) handleStream(ctx context.Context, link *linker.Link, stream *linker.Stream) {
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
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	p.keeper.Close(ctx)
	return nil
}

func (p *Process) startBackend(context.Context) error {
	server, err := listener.Listen(p.options.Network, p.settings.Backend, p.announcer().Handler(), listener.Options{Budget: p.clients.budget("backend", backendShare)})
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
	server, err := listener.Listen(p.options.Network, p.settings.Operator, p.operatorHandler(), listener.Options{Budget: p.clients.budget("operator", operatorShare)})
	if err != nil {
		return Error.New("listening for operators: %w", err)
	}
	p.operator = server
	return nil
}

func (p *Process) stopOperator(ctx context.Context) error {
	return p.operator.Stop(ctx)
}
