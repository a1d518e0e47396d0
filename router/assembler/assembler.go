// Package assembler builds a router process from its components. A router runs in one
// of two modes:
//
//   - In sharded mode, [Process], it serves services whose keys are hashed to shards.
//     Packages forwarder, executor, admitter, dispatcher, prober, retrier, aggregator,
//     locator and recorder implement this mode.
//   - In routed mode, [Routed], it serves the routes of a configuration, whose services
//     may be partitioned by ranges of keys. Packages relayer, queuer, requester,
//     monitor, budgeter, sampler, chooser, mapper and holder implement this mode.
//
// Packages keeper, granter and listener are used in both modes.
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
	"marigoldhill/kernel/listener"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/kernel/registrar"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/acceptor"
	"marigoldhill/router/admitter"
	"marigoldhill/router/aggregator"
	"marigoldhill/router/announcer"
	"marigoldhill/router/dispatcher"
	"marigoldhill/router/drainer"
	"marigoldhill/router/evacuator"
	"marigoldhill/router/executor"
	"marigoldhill/router/forwarder"
	"marigoldhill/router/granter"
	"marigoldhill/router/isolator"
	"marigoldhill/router/keeper"
	"marigoldhill/router/locator"
	"marigoldhill/router/prober"
	"marigoldhill/router/recorder"
	"marigoldhill/router/reporter"
	"marigoldhill/router/stopper"
)

// Error is the class of all errors of this package.
var Error = errs.Class("assembler")

// Options are the dependencies of a Process.
type Options struct {
	Network networker.Network
	Log     *logger.Log
	Metrics *metrics.Set
}

// Process is a router process in sharded mode.
type Process struct {
	settings Settings
	options  Options
	registry *registrar.Registrar
	clients  clients

	pool             *linker.Pool
	peer             *linker.Server
	locator          *locator.Locator
	prober           *prober.Prober
	tracker          *drainer.Tracker
	heartbeatHandler *heartbeatHandler
	keeper           *keeper.Keeper
	recorder         *recorder.Recorder
	admitter         *admitter.Admitter
	granter          *granter.Granter
	reporter         *reporter.Reporter
	detector         *isolator.Detector
	executor         *executor.Executor
	evacuation       *evacuator.Guard
	dispatcher       *dispatcher.Dispatcher
	forwarder        *forwarder.Forwarder
	acceptor         *acceptor.Acceptor
	// entryWindow and ownerWindow are the times in which the entry passes requests on, and
	// in which the own server runs them.
	entryWindow, ownerWindow *stopper.Window
	backend                  *listener.Listener
	operator                 *listener.Listener
}

// New creates a Process. Its settings must be valid; see [Settings.Check].
func New(settings Settings, options Options) (*Process, error) {
	p := &Process{
		settings: settings,
		options:  options,
		registry: registrar.New(),
		locator:  locator.New(options.Metrics),
		tracker:  drainer.NewTracker(),
	}
	p.clients = clients{vm: settings.VM, log: options.Log, metrics: options.Metrics}
	timing := newStopTiming(settings.grace())
	p.entryWindow, p.ownerWindow = stopper.New(timing.entry), stopper.New(timing.owner)
	p.assembleOwner()
	p.assembleEntry()
	for _, service := range p.services() {
		if err := p.registry.Add(service); err != nil {
			return nil, Error.New("adding a service: %w", err)
		}
	}
	return p, nil
}

// assembleOwner creates the components that serve the keys of this router.
func (p *Process) assembleOwner() {
	options := p.options
	p.pool = linker.NewPool(options.Network, p.linkOptions())
	p.dispatcher = dispatcher.New(options.Network)
	p.admitter = admitter.New(options.Metrics)
	p.granter = granter.New(options.Network, options.Metrics)
	p.prober = prober.New(prober.Options{
		Network:  options.Network,
		OnChange: p.serverChanged,
		Log:      options.Log,
		Metrics:  options.Metrics,
	})
	p.recorder = recorder.New(recorder.Options{
		Locator:     p.locator,
		LeaseSource: keeperLease{p},
		Opener:      p.pool,
		OnChange:    func() { p.keeper.RequestHeartbeat() },
		Log:         options.Log,
		Metrics:     options.Metrics,
	})
	p.reporter = reporter.New(reporter.Options{
		Control:     func() []string { return p.settings.Control },
		Opener:      p.pool,
		LeaseSource: keeperLease{p},
		Metrics:     options.Metrics,
	})
	tally := aggregator.New()
	isolation := isolator.New()
	p.detector = isolator.NewDetector(options.Network, isolation, p.serverCrashed)
	p.evacuation = evacuator.New(evacuator.Options{
		Domain:  p.settings.Domain,
		Bound:   p.settings.Evacuation,
		Lease:   keeperLease{p}.Lease,
		Log:     options.Log,
		Metrics: options.Metrics,
	})
	p.heartbeatHandler = &heartbeatHandler{
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

		domain:     p.settings.Domain,
		evacuation: p.evacuation,
	}
	p.executor = executor.New(executor.Options{
		Locator:      p.locator,
		LeaseSource:  keeperLease{p},
		Server:       p.prober,
		Backend:      p.dispatcher,
		Tracker:      p.tracker,
		Recorder:     p.recorder,
		OutcomeStore: recorder.NewOutcomeStore(),
		Admitter:     p.admitter,
		Isolator:     isolation,
		Detector:     p.detector,
		Evacuation:   p.evacuation,
		Stop:         p.ownerWindow,
		Tally:        tally,
		Metrics:      options.Metrics,
	})
}

// assembleEntry creates the components that accept requests for all keys.
func (p *Process) assembleEntry() {
	options := p.options
	p.forwarder = forwarder.New(forwarder.Settings{Seed: rand.Uint64()}, forwarder.Options{
		Locator:       p.locator,
		Runner:        p.executor,
		Opener:        p.pool,
		Lease:         keeperLease{p},
		RequestUpdate: func() { p.keeper.RequestUpdate() },
		Stop:          p.entryWindow,
		Heads:         p.clients.heads(),
		Metrics:       options.Metrics,
	})
	p.acceptor = acceptor.New(acceptor.Settings{Listen: p.settings.Listen, Name: p.settings.Name}, acceptor.Options{
		Network:   options.Network,
		Locator:   p.locator,
		Forwarder: p.forwarder,
		Lease:     keeperLease{p},
		Clients:   p.clients.callers(nil),
		Log:       options.Log,
		Metrics:   options.Metrics,
	})
}

// Start starts all services.
func (p *Process) Start(ctx context.Context) error {
	if err := p.registry.Start(ctx); err != nil {
		return Error.New("starting: %w", err)
	}
	p.options.Log.Emit(logger.ProcessStarted, "callers", p.CallerURL(), "backend", p.BackendURL())
	return nil
}

// Stop hands the shards over, waits for the requests in flight, closes the session and
// stops all services.
func (p *Process) Stop(ctx context.Context) error {
	return stopProcess(ctx, p.registry, p.options.Log, p.settings.grace(), p.entryWindow, p.ownerWindow)
}

// CallerURL returns the base URL for callers.
func (p *Process) CallerURL() string {
	return "http://" + p.acceptor.Address()
}

// BackendURL returns the base URL for the backend server.
func (p *Process) BackendURL() string {
	return p.backend.URL()
}

// OperatorURL returns the base URL for operators.
func (p *Process) OperatorURL() string {
	return p.operator.URL()
}

// PeerAddress returns the address of the listener for other routers.
func (p *Process) PeerAddress() string {
	return p.peer.Address()
}

// keeperLease provides the lease of the keeper of a process. The keeper itself is
// created later, when the address of the listener for other routers is known.
type keeperLease struct {
	process *Process
}

// Lease implements [executor.LeaseSource].
func (l keeperLease) Lease() *keeper.Lease {
	return l.process.keeper.Lease()
}

// IsLeaseValid implements [forwarder.Lease].
func (l keeperLease) IsLeaseValid(now timer.Instant) bool {
	return l.process.keeper.IsLeaseValid(now)
}

// Session implements [forwarder.Lease].
func (l keeperLease) Session() uint64 {
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

// serverChanged handles a change in the state of the backend server.
func (p *Process) serverChanged(view *prober.View) {
	switch view.State {
	case messenger.ServerReady:
		p.admitter.SetServer(*view.Row)
		p.detector.ServerStarted(view.Row.Born)
	case messenger.ServerLeaving:
		p.granter.NotifyDrain()
	default:
		p.executor.CancelRequests()
	}
	p.keeper.RequestHeartbeat()
}

// serverCrashed handles a crash of the backend server with requests in flight.
func (p *Process) serverCrashed(rows []messenger.QuarantineRow) {
	p.options.Log.Emit(logger.ServerTerminated, "requests", len(rows))
	p.prober.Observe(prober.ServerDied)
	p.reporter.Send(messenger.Report{Death: rows})
}

// announcer creates the handler for announcements of the backend server.
func (p *Process) announcer() *announcer.Announcer {
	return announcer.New(p.settings.Name, announcer.Callbacks{
		Announced: p.prober.Announce,
		Refused: func(name, cause string) {
			p.options.Log.Emit(logger.AnnouncementIgnored, "server", name, "cause", cause)
		},
		Withdrawn: func() { p.prober.Observe(prober.Withdrawn) },
		Status: func() announcer.Status {
			return announcer.Status{
				State:  p.prober.View().State,
				Shards: int(p.heartbeatHandler.shardCount.Load()),
			}
		},
	})
}
