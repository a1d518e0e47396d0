// Package assembler puts a router process together from its services.
//
// # Usage
//
//	process, err := assembler.New(settings, assembler.Options{Network: networker.TCP{}, Log: log, Metrics: set})
//	err = process.Start(ctx)
//	fmt.Println(process.CallerURL())
//	err = process.Stop(ctx) // drains first
package assembler

import (
	"context"
	"math/rand/v2"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/kernel/registrar"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/acceptor"
	"marigoldhill/router/admitter"
	"marigoldhill/router/announcer"
	"marigoldhill/router/dispatcher"
	"marigoldhill/router/drainer"
	"marigoldhill/router/executor"
	"marigoldhill/router/forwarder"
	"marigoldhill/router/granter"
	"marigoldhill/router/isolator"
	"marigoldhill/router/keeper"
	"marigoldhill/router/listener"
	"marigoldhill/router/locator"
	"marigoldhill/router/prober"
	"marigoldhill/router/recorder"
	"marigoldhill/router/reporter"
	"marigoldhill/router/tallier"
)

// Error is the class of all errors of this package.
var Error = errs.Class("assembler")

// Options are what a process takes from outside its settings.
type Options struct {
	Network networker.Network
	Log     *logger.Log
	Metrics *metrics.Set
}

// Process is one router process.
type Process struct {
	settings Settings
	options  Options
	kernel   *registrar.Registrar

	pool       *linker.Pool
	peer       *linker.Server
	locator    *locator.Locator
	prober     *prober.Prober
	tracker    *drainer.Tracker
	steward    *steward
	keeper     *keeper.Keeper
	recorder   *recorder.Recorder
	admitter   *admitter.Admitter
	granter    *granter.Granter
	reporter   *reporter.Reporter
	executor   *executor.Executor
	dispatcher *dispatcher.Dispatcher
	forwarder  *forwarder.Forwarder
	acceptor   *acceptor.Acceptor
	backend    *listener.Listener
	operator   *listener.Listener
}

// New puts a process together. Its settings must have been checked.
func New(settings Settings, options Options) (*Process, error) {
	p := &Process{
		settings: settings,
		options:  options,
		kernel:   registrar.New(),
		locator:  locator.New(options.Metrics),
		tracker:  drainer.NewTracker(),
	}
	p.assembleOwner()
	p.assembleEntry()
	for _, service := range p.services() {
		if err := p.kernel.Add(service); err != nil {
			return nil, Error.New("adding a service: %w", err)
		}
	}
	return p, nil
}

// assembleOwner makes the parts that serve the keys of this router.
func (p *Process) assembleOwner() {
	options := p.options
	p.pool = linker.NewPool(options.Network, p.linkOptions())
	p.dispatcher = dispatcher.New(options.Network)
	p.admitter = admitter.New(options.Metrics)
	p.granter = granter.New(options.Network, options.Metrics)
	p.prober = prober.New(prober.Options{
		Network: options.Network,
		Changed: p.serverChanged,
		Log:     options.Log,
		Metrics: options.Metrics,
	})
	p.recorder = recorder.New(recorder.Options{
		Locator: p.locator,
		Leaser:  leaser{p},
		Opener:  p.pool,
		Changed: func() { p.keeper.Nudge() },
		Log:     options.Log,
		Metrics: options.Metrics,
	})
	p.reporter = reporter.New(reporter.Options{
		Control: p.settings.Control,
		Opener:  p.pool,
		Leaser:  leaser{p},
		Metrics: options.Metrics,
	})
	tally := tallier.New()
	gate := isolator.New()
	p.steward = &steward{
		locator:  p.locator,
		prober:   p.prober,
		drainer:  drainer.New(p.tracker),
		recorder: p.recorder,
		admitter: p.admitter,
		granter:  p.granter,
		tally:    tally,
		reporter: p.reporter,
		pool:     p.pool,
		log:      options.Log,
	}
	p.executor = executor.New(executor.Options{
		Locator:  p.locator,
		Leaser:   leaser{p},
		Server:   p.prober,
		Backend:  p.dispatcher,
		Tracker:  p.tracker,
		Recorder: p.recorder,
		Numbers:  recorder.NewNumbers(),
		Admitter: p.admitter,
		Gate:     gate,
		Detector: isolator.NewDetector(options.Network, gate, p.serverDied),
		Tally:    tally,
		Metrics:  options.Metrics,
	})
}

// assembleEntry makes the parts that take requests for all keys.
func (p *Process) assembleEntry() {
	options := p.options
	p.forwarder = forwarder.New(forwarder.Settings{Seed: rand.Uint64()}, forwarder.Options{
		Locator: p.locator,
		Runner:  p.executor,
		Opener:  p.pool,
		Lease:   leaser{p},
		Hasten:  func() { p.keeper.Hasten() },
		Metrics: options.Metrics,
	})
	p.acceptor = acceptor.New(acceptor.Settings{Listen: p.settings.Listen, Name: p.settings.Name}, acceptor.Options{
		Network:   options.Network,
		Locator:   p.locator,
		Forwarder: p.forwarder,
		Lease:     leaser{p},
		Log:       options.Log,
		Metrics:   options.Metrics,
	})
}

// Start starts all services.
func (p *Process) Start(ctx context.Context) error {
	if err := p.kernel.Start(ctx); err != nil {
		return Error.New("starting: %w", err)
	}
	p.options.Log.Emit(logger.ProcessStarted, "callers", p.CallerURL(), "backend", p.BackendURL())
	return nil
}

// Stop gives the shards away, lets the requests in flight end, ends the session
// and stops all services.
func (p *Process) Stop(ctx context.Context) error {
	p.options.Log.Emit(logger.ProcessStopping)
	if err := p.kernel.Stop(ctx); err != nil {
		return Error.New("stopping: %w", err)
	}
	p.options.Log.Emit(logger.ProcessStopped)
	return nil
}

// CallerURL is the base URL for callers.
func (p *Process) CallerURL() string {
	return "http://" + p.acceptor.Address()
}

// BackendURL is the base URL for the backend server.
func (p *Process) BackendURL() string {
	return p.backend.URL()
}

// OperatorURL is the base URL for operators.
func (p *Process) OperatorURL() string {
	return p.operator.URL()
}

// PeerAddress is where other routers reach this one.
func (p *Process) PeerAddress() string {
	return p.peer.Address()
}

// leaser gives the lease of a keeper that is made later, once the address of
// the process is known.
type leaser struct {
	process *Process
}

// Lease implements [executor.Leaser].
func (l leaser) Lease() *keeper.Lease {
	return l.process.keeper.Lease()
}

// Alive implements [forwarder.Lease].
func (l leaser) Alive(now timer.Instant) bool {
	return l.process.keeper.Alive(now)
}

// Session implements [forwarder.Lease].
func (l leaser) Session() uint64 {
	return l.process.keeper.Session()
}

func (p *Process) linkOptions() linker.Options {
	return linker.Options{
		Hello: messenger.Hello{
			Cluster: p.settings.Cluster,
			Version: messenger.Version,
			Role:    messenger.RoleRouter,
			Name:    p.settings.Name,
		},
		Metrics: p.options.Metrics,
	}
}

// serverChanged is called when the backend server changed its state.
func (p *Process) serverChanged(view *prober.View) {
	switch view.State {
	case messenger.ServerReady:
		p.admitter.Serve(*view.Row)
	case messenger.ServerLeaving:
		p.granter.Drain()
	default:
		p.executor.ServerLost()
	}
	p.keeper.Nudge()
}

// serverDied is called when the backend server ended with requests in flight.
func (p *Process) serverDied(rows []messenger.QuarantineRow) {
	p.options.Log.Emit(logger.ServerCrashed, "requests", len(rows))
	p.prober.See(prober.Died)
	p.reporter.Send(messenger.Report{Death: rows})
}

// announcer takes the announcements of the backend server.
func (p *Process) announcer() *announcer.Announcer {
	return announcer.New(p.settings.Name, announcer.Hooks{
		Announced: p.prober.Announce,
		Withdrawn: func() { p.prober.See(prober.Withdrawn) },
		Status: func() announcer.Status {
			return announcer.Status{
				State:  p.prober.View().State,
				Shards: int(p.steward.held.Load()),
			}
		},
	})
}
