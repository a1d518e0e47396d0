package assembler

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/listener"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/kernel/pacer"
	"marigoldhill/kernel/registrar"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/budgeter"
	"marigoldhill/router/evacuator"
	"marigoldhill/router/granter"
	"marigoldhill/router/holder"
	"marigoldhill/router/inviter"
	"marigoldhill/router/isolator"
	"marigoldhill/router/keeper"
	"marigoldhill/router/mapper"
	"marigoldhill/router/monitor"
	"marigoldhill/router/queuer"
	"marigoldhill/router/relayer"
	"marigoldhill/router/reporter"
	"marigoldhill/router/requester"
	"marigoldhill/router/sampler"
	"marigoldhill/router/stopper"
	"marigoldhill/router/warmer"
)

const (
	// callerIdleTimeout is how long an idle connection of a caller is kept open.
	callerIdleTimeout = time.Minute
	// callerHeaderTimeout limits the time to read the header of a caller's request.
	callerHeaderTimeout = 10 * time.Second
	// announcementCheckInterval is the time between two checks whether the
	// announcements of the backend server have stopped.
	announcementCheckInterval = 250 * time.Millisecond
	// summaryInterval is the time between two log lines on the load of the backend
	// server.
	summaryInterval = 2 * time.Second
	// bytesPerMegabit converts Mbit/s to bytes per second.
	bytesPerMegabit = 1e6 / 8
)

// RoutedOptions are the dependencies of a Routed.
type RoutedOptions struct {
	Network networker.Network
	Log     *logger.Log
	Metrics *metrics.Set
	// HeaderCodec and RangeProtocol define the protocols for requests to the backend
	// server and for grants of key ranges; nil means the default protocols.
	HeaderCodec   requester.HeaderCodec
	RangeProtocol *granter.RangeProtocol
	// Callers and Backend return the HTTP handlers for callers and for announcements
	// of the backend server; nil means the default interfaces.
	Callers func(entry *relayer.Entry) http.Handler
	Backend func(server *monitor.Monitor) http.Handler
	// Reload reads the settings again; nil when they never change.
	Reload func() (*RoutedSettings, error)
}

// Routed is a router process in routed mode: it serves the routes of a configuration.
type Routed struct {
	settings RoutedSettings
	options  RoutedOptions
	registry *registrar.Registrar
	clients  clients
	// leaving is set when callers must use other routers, handingOver when the keys,
	// and with them the requests of other routers, must move to other routers too.
	leaving     atomic.Bool
	handingOver atomic.Bool
	// lastCall is when the last request of a caller came since leaving was set, in Unix
	// nanoseconds.
	lastCall atomic.Int64
	// cancelKeeper stops the keeper without closing the session.
	cancelKeeper context.CancelFunc

	mapper    *mapper.Mapper
	server    *monitor.Monitor
	admission *queuer.Admission
	cold      *coldWatch
	backend   *requester.Client
	holder    *holder.Holder
	// rangesMu makes each update of the holder a step of its own: one that reads the map
	// and the server before another one, and passes them on after it, would grant ranges
	// again that have moved away.
	rangesMu sync.Mutex
	sampler  *sampler.Sampler
	owner    *relayer.Owner
	entry    *relayer.Entry
	// entryWindow and ownerWindow are the times in which the entry passes requests on, and
	// in which the own server runs them.
	entryWindow, ownerWindow *stopper.Window
	// inbound and outbound account for the link of the VM.
	inbound  *inviter.Link
	outbound *pacer.Bucket
	// pacedNetwork is the network for all traffic to and from other VMs.
	pacedNetwork networker.Network
	pool         *linker.Pool
	peer         *linker.Server
	keeper       *keeper.Keeper
	// members are the addresses of the control group.
	members  atomic.Pointer[[]string]
	reporter *reporter.Reporter
	detector *isolator.Detector
	// evacuation guards the backend server while the failure domain is evacuated.
	evacuation *evacuator.Guard
	// lastStart is the name and the start time of the backend server.
	lastStart atomic.Value

	callerServer     *http.Server
	callerGuard      *listener.Guard
	announceListener *listener.Listener
	readyListener    *listener.Listener
	metricsListener  *listener.Listener
}

// NewRouted creates a Routed. Its settings must be valid; see [RoutedSettings.Check].
func NewRouted(settings RoutedSettings, options RoutedOptions) (*Routed, error) {
	if options.Network == nil {
		options.Network = networker.TCP{}
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	p := &Routed{settings: settings, options: options, registry: registrar.New()}
	p.clients = clients{vm: settings.VM, log: options.Log, metrics: options.Metrics}
	timing := newStopTiming(settings.Grace)
	p.entryWindow, p.ownerWindow = stopper.New(timing.entry), stopper.New(timing.owner)
	p.setDefaultInterfaces()
	p.assemble()
	for _, service := range p.services() {
		if err := p.registry.Add(service); err != nil {
			return nil, Error.New("adding a service: %w", err)
		}
	}
	return p, nil
}

// assemble creates the components of the process.
func (p *Routed) assemble() {
	options := p.options
	p.mapper = mapper.New()
	p.admission = queuer.NewAdmission(0)
	p.cold = p.newColdWatch()
	p.backend = requester.New(requester.Options{
		Network:     options.Network,
		HeaderCodec: options.HeaderCodec,
		Metrics:     options.Metrics,
		OnBroken:    func() { p.cold.happened(warmer.ConnectionBroken) },
	})
	p.sampler = sampler.New()
	rangeClient := granter.NewRangeClient(options.Network, *options.RangeProtocol, func() { p.server.DialRefused(timer.Now()) })
	p.server = monitor.New(monitor.Options{
		Address:     p.settings.Server,
		OnChange:    p.serverChanged,
		IsConnected: func() bool { return rangeClient.IsConnected() || p.backend.IsConnected() },
		OnAnnounced: p.cold.announced,
		OnRefused:   func() { p.cold.happened(warmer.ConnectionRefused) },
		Log:         options.Log,

		RequestUpdate: func() { p.keeper.RequestUpdate() },
	})
	p.inbound = inviter.New(p.settings.LinkMbits * bytesPerMegabit)
	p.outbound = pacer.NewBucket(p.settings.LinkMbits * bytesPerMegabit)
	p.pacedNetwork = p.paced(options.Network)
	p.pool = linker.NewPool(p.pacedNetwork, p.linkOptions())
	members := p.settings.replicas()
	p.members.Store(&members)
	p.keeper = keeper.New(keeper.Settings{
		Name:    p.settings.Name,
		Address: p.settings.Peer,
		Domain:  p.settings.Domain,
		Region:  p.settings.Region,
		Control: members,
		Timing:  p.settings.Timing,
	}, keeper.Options{
		Opener:           p.pool,
		HeartbeatHandler: p,
		OnMembers:        func(members []string) { p.members.Store(&members) },
		Seeds:            p.seeds,
		Log:              options.Log,
		Metrics:          options.Metrics,
	})
	p.reporter = reporter.New(reporter.Options{
		Control:     func() []string { return *p.members.Load() },
		Opener:      p.pool,
		LeaseSource: p.keeper,
		Metrics:     options.Metrics,
	})
	p.holder = holder.New(holder.Options{
		Caller:        rangeClient,
		Lease:         p.keeper.Lease,
		LeaseDuration: p.settings.Timing.WithDefaults().Lease,
		OnChange:      p.keeper.RequestHeartbeat,
		Log:           options.Log,
		Metrics:       options.Metrics,
	})
	p.evacuation = evacuator.New(evacuator.Options{
		Domain:  p.settings.Domain,
		Bound:   p.settings.Evacuation,
		Lease:   p.keeper.Lease,
		Log:     options.Log,
		Metrics: options.Metrics,
	})
	isolation := isolator.New()
	p.detector = isolator.NewDetector(options.Network, isolation, p.serverCrashed)
	p.owner = relayer.NewOwner(relayer.OwnerOptions{
		Server:        p.server,
		KeyChecker:    p.holder,
		Admission:     p.admission,
		Backend:       p.backend,
		Sampler:       p.sampler,
		Isolator:      isolation,
		Detector:      coldDetector{Detector: p.detector, cold: p.cold},
		Evacuation:    p.evacuation,
		IsQuarantined: func(fingerprint string) bool { return p.mapper.Load().IsQuarantined(fingerprint) },
		Heads:         p.clients.heads(),
		Inbound:       p.inbound,
		Outbound:      p.outbound,
		RequestUpdate: p.keeper.RequestUpdate,
		Stop:          p.ownerWindow,
		Log:           options.Log,
		Metrics:       options.Metrics,
	})
	p.entry = relayer.NewEntry(relayer.EntryOptions{
		Domain:        p.settings.Domain,
		Service:       p.settings.Service,
		Mapper:        p.mapper,
		Owner:         p.owner,
		Opener:        p.pool,
		Budget:        budgeter.New(p.settings.Budget),
		Session:       p.keeper.Session,
		RequestUpdate: p.keeper.RequestUpdate,
		Log:           options.Log,
		Metrics:       options.Metrics,

		Stop:             p.entryWindow,
		ConfigurationAge: func() time.Duration { return timer.Now().Since(p.keeper.Lease().RenewedAt) },
	})
}

// paced returns network with the account of the link of the VM.
func (p *Routed) paced(network networker.Network) networker.Network {
	return pacer.New(inviter.NewNetwork(network, p.inbound), p.outbound)
}

func (p *Routed) linkOptions() linker.Options {
	return linker.Options{
		Hello: messenger.Hello{
			Cluster: p.settings.Cluster,
			Version: messenger.Version,
			Role:    messenger.RoleRouter,
			Name:    p.settings.Name,
			Invites: true,
			Replies: true,
		},
		Metrics: p.options.Metrics,
	}
}

// isReady reports whether the router accepts requests of callers.
func (p *Routed) isReady() bool {
	return p.entry.IsReady() && !p.leaving.Load()
}

// services returns the services of the process.
func (p *Routed) services() []registrar.Service {
	return []registrar.Service{
		&funcService{name: serviceLink, start: p.startLink, stop: p.stopLink},
		loopService(serviceHolder, []string{serviceLink}, p.holder.Run),
		loopService(serviceWatcher, nil, p.watch),
		loopService(serviceWarmer, nil, p.cold.run),
		loopService(serviceReporter, []string{serviceLink}, p.reporter.Run),
		&funcService{name: serviceKeeper, dependencies: []string{serviceLink, serviceHolder}, start: p.startKeeper, stop: p.stopKeeper},
		&funcService{name: serviceAnnouncer, dependencies: []string{serviceKeeper}, start: p.startAnnounce, stop: p.stopAnnounce},
		&funcService{name: serviceCallers, dependencies: []string{serviceKeeper}, start: p.startCallers, stop: p.stopCallers},
		&funcService{name: serviceReady, dependencies: []string{serviceCallers, serviceAnnouncer}, start: p.startReady, stop: p.stopReady},
		&funcService{name: serviceDrainer, dependencies: []string{serviceReady}, stop: p.drain},
	}
}

func (p *Routed) startLink(context.Context) error {
	options := p.linkOptions()
	options.Budget = p.clients.budget("links", linksShare)
	options.Handler = func(ctx context.Context, link *linker.Link, stream *linker.Stream) {
		if kind := stream.Kind(); kind == messenger.KindRelay || kind == messenger.KindInvitedRelay {
			p.owner.Handle(ctx, link, stream)
		}
	}
	peer, err := linker.Listen(p.pacedNetwork, p.settings.Peer, options)
	if err != nil {
		return Error.New("listening for routers: %w", err)
	}
	p.peer = peer
	return nil
}

func (p *Routed) stopLink(ctx context.Context) error {
	drainPeers(ctx, p.peer, p.options.Log)
	p.pool.Close()
	p.backend.Reset()
	if err := p.peer.Close(); err != nil {
		return Error.New("closing the listener for routers: %w", err)
	}
	return nil
}

func (p *Routed) startKeeper(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancelKeeper = cancel
	go p.keeper.Run(ctx)
	return nil
}

// stopKeeper closes the session, unless the backend server still holds keys under it.
// In that case the next process of this router resumes the session, or it expires.
func (p *Routed) stopKeeper(ctx context.Context) error {
	defer p.cancelKeeper()
	if !p.holder.IsEmpty() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	p.keeper.Close(ctx)
	return nil
}

// Start starts all services.
func (p *Routed) Start(ctx context.Context) error {
	if err := p.registry.Start(ctx); err != nil {
		return Error.New("starting: %w", err)
	}
	p.options.Log.Emit(logger.ProcessStarted, "callers", p.settings.Callers, "peer", p.settings.Peer, "service", p.settings.Service)
	return nil
}
