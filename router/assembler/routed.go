package assembler

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/kernel/pacer"
	"marigoldhill/kernel/registrar"
	"marigoldhill/kernel/timer"
	"marigoldhill/router/attendant"
	"marigoldhill/router/budgeter"
	"marigoldhill/router/courier"
	"marigoldhill/router/granter"
	"marigoldhill/router/holder"
	"marigoldhill/router/inviter"
	"marigoldhill/router/isolator"
	"marigoldhill/router/keeper"
	"marigoldhill/router/listener"
	"marigoldhill/router/mapper"
	"marigoldhill/router/queuer"
	"marigoldhill/router/relayer"
	"marigoldhill/router/reporter"
	"marigoldhill/router/sampler"
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
	// callerDrainTime is how long callers may send new requests after a stop began: they
	// check readiness once a second and notice the stop within two checks.
	callerDrainTime = 2500 * time.Millisecond
	// linkDrainTimeout limits the wait for other routers to receive all responses. A
	// router that is down never acknowledges them.
	linkDrainTimeout = 1500 * time.Millisecond
	// bytesPerMegabit converts Mbit/s to bytes per second.
	bytesPerMegabit = 1e6 / 8
	// stopMargin is how long before the end of the grace period the process exits, since
	// it is killed at the end.
	stopMargin = 250 * time.Millisecond
	// handOverFraction is the fraction of the grace period after which a stopping router
	// hands its keys over. Until callers have switched to other routers, which takes
	// callerDrainTime, its backend server can continue to execute requests.
	handOverFraction = 0.3
	// stopReserveFraction is the fraction of the grace period that is reserved for the
	// requests in flight once no new ones are accepted.
	stopReserveFraction = 0.35
)

// RoutedOptions are the dependencies of a Routed.
type RoutedOptions struct {
	Network networker.Network
	Log     *logger.Log
	Metrics *metrics.Set
	// HeaderCodec and RangeProtocol define the protocols for requests to the backend
	// server and for grants of key ranges; nil means the default protocols.
	HeaderCodec   courier.HeaderCodec
	RangeProtocol *granter.RangeProtocol
	// Callers and Backend return the HTTP handlers for callers and for announcements
	// of the backend server; nil means the default interfaces.
	Callers func(entry *relayer.Entry) http.Handler
	Backend func(server *attendant.Attendant) http.Handler
	// Reload reads the settings again; nil when they never change.
	Reload func() (*RoutedSettings, error)
}

// Routed is a router process in routed mode: it serves the routes of a configuration.
type Routed struct {
	settings RoutedSettings
	options  RoutedOptions
	registry *registrar.Registrar
	// leaving is set when callers must use other routers, handingOver when the keys,
	// and with them the requests of other routers, must move to other routers too.
	leaving     atomic.Bool
	handingOver atomic.Bool
	// cancelKeeper stops the keeper without closing the session.
	cancelKeeper context.CancelFunc

	mapper    *mapper.Mapper
	server    *attendant.Attendant
	admission *queuer.Admission
	backend   *courier.Client
	holder    *holder.Holder
	// rangesMu makes each update of the holder a step of its own: one that reads the map
	// and the server before another one, and passes them on after it, would grant ranges
	// again that have moved away.
	rangesMu sync.Mutex
	sampler  *sampler.Sampler
	owner    *relayer.Owner
	entry    *relayer.Entry
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
	p.backend = courier.New(courier.Options{Network: options.Network, HeaderCodec: options.HeaderCodec, Metrics: options.Metrics})
	p.sampler = sampler.New()
	rangeClient := granter.NewRangeClient(options.Network, *options.RangeProtocol, func() { p.server.DialRefused(timer.Now()) })
	p.server = attendant.New(attendant.Options{
		Address:     p.settings.Server,
		OnChange:    p.serverChanged,
		IsConnected: func() bool { return rangeClient.IsConnected() || p.backend.IsConnected() },
		Log:         options.Log,
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
	isolation := isolator.New()
	p.detector = isolator.NewDetector(options.Network, isolation, p.serverCrashed)
	p.owner = relayer.NewOwner(relayer.OwnerOptions{
		Server:        p.server,
		KeyChecker:    p.holder,
		Admission:     p.admission,
		Backend:       p.backend,
		Sampler:       p.sampler,
		Isolator:      isolation,
		Detector:      p.detector,
		IsQuarantined: func(fingerprint string) bool { return p.mapper.Load().IsQuarantined(fingerprint) },
		Inbound:       p.inbound,
		RequestUpdate: p.keeper.RequestUpdate,
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

// serverChanged handles a change of the backend server.
func (p *Routed) serverChanged(view *attendant.View) {
	if view.Row.Slots > 0 {
		p.admission.SetSlots(view.Row.Slots)
	}
	p.detector.ServerStarted(view.Row.Born)
	if start := fmt.Sprintf("%s %d", view.Row.Name, view.Row.Born); start != p.lastStart.Swap(start) {
		p.admission.ClearLimit()
	}
	p.updateRanges()
	p.keeper.RequestHeartbeat()
}

// serverCrashed handles a crash of the backend server with requests in flight.
func (p *Routed) serverCrashed(rows []messenger.QuarantineRow) {
	prints := make([]string, 0, len(rows))
	for _, row := range rows {
		prints = append(prints, row.Fingerprint)
	}
	p.options.Log.Emit(logger.ServerTerminated, "requests", len(rows), "fingerprints", prints)
	p.reporter.Send(messenger.Report{Death: rows})
}

// updateRanges passes the key ranges that the session of this router owns to the
// holder.
func (p *Routed) updateRanges() {
	p.rangesMu.Lock()
	defer p.rangesMu.Unlock()
	view := p.server.View()
	service := p.settings.Service
	if view.Row != nil {
		service = view.Row.Service
	}
	routes, session := p.mapper.Load(), p.keeper.Session()
	p.holder.SetRecordedServer(routes.ServerOf(session))
	p.holder.SetRows(routes.OwnedRanges(service, session), view.Row, view.State)
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
	// Other routers must receive the responses being sent before the links are closed.
	drainCtx, cancel := context.WithTimeout(ctx, linkDrainTimeout)
	p.peer.Drain(drainCtx)
	cancel()
	p.pool.Close()
	p.backend.Reset()
	if err := p.peer.Close(); err != nil {
		return Error.New("closing the listener for routers: %w", err)
	}
	return nil
}

// watch checks periodically whether the announcements of the backend server have
// stopped, and logs summaries of its load.
func (p *Routed) watch(ctx context.Context) {
	ticker := time.NewTicker(announcementCheckInterval)
	defer ticker.Stop()
	summary := time.NewTicker(summaryInterval)
	defer summary.Stop()
	totals := p.admission.Totals()
	for {
		select {
		case <-ticker.C:
			p.server.Tick(timer.Now())
		case <-summary.C:
			totals = p.summarize(totals)
		case <-ctx.Done():
			return
		}
	}
}

// summarize logs the load of the backend server since earlier totals, unless there was
// none. It returns the current totals.
func (p *Routed) summarize(earlier queuer.Totals) queuer.Totals {
	totals := p.admission.Totals()
	work := totals.Sub(earlier)
	if work.Offered > 0 && work.SlotTime > 0 {
		p.options.Log.Emit(logger.ServerLoad, "busy", math.Round(100*work.BusySlotTime.Seconds()/work.SlotTime.Seconds())/100,
			"offered", work.Offered, "refused", work.Refused, "served", work.Served, "ranges", p.holder.RangeCount())
	}
	return totals
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

func (p *Routed) startAnnounce(context.Context) error {
	var err error
	p.announceListener, err = listener.Listen(p.options.Network, p.settings.Backend, p.options.Backend(p.server))
	if err != nil {
		return Error.New("listening for the backend server: %w", err)
	}
	return nil
}

func (p *Routed) stopAnnounce(ctx context.Context) error {
	return p.announceListener.Stop(ctx)
}

func (p *Routed) startCallers(context.Context) error {
	guarded := &listener.GuardNetwork{Network: p.options.Network}
	socket, err := p.paced(guarded).Listen(p.settings.Callers)
	if err != nil {
		return Error.New("listening for callers: %w", err)
	}
	p.callerGuard = guarded.Guard
	p.callerServer = &http.Server{
		Handler:           p.callerGuard.Handler(p.closeWhenLeaving(p.options.Callers(p.entry))),
		ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		ConnState:         p.callerGuard.ConnState,
	}
	go p.serveCallers(socket)
	return nil
}

// closeWhenLeaving makes responses close the connection once the process is leaving.
// SetKeepAlivesEnabled would close idle connections at once, and with them requests
// that are still being read.
func (p *Routed) closeWhenLeaving(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

func (p *Routed) serveCallers(socket net.Listener) {
	// Serve always returns an error; after a stop it is expected.
	if err := p.callerServer.Serve(socket); err != nil && !p.leaving.Load() {
		p.options.Log.Emit(logger.ProcessFailed, "error", err)
	}
}

func (p *Routed) stopCallers(ctx context.Context) error {
	if err := p.callerGuard.Stop(ctx, p.callerServer); err != nil {
		return Error.New("waiting for the requests of callers: %w", err)
	}
	return nil
}

func (p *Routed) startReady(context.Context) error {
	var err error
	p.readyListener, err = listener.Listen(p.options.Network, p.settings.Ready, p.readyHandler())
	if err != nil {
		return Error.New("listening for readiness checks: %w", err)
	}
	if p.settings.Metrics == "" {
		return nil
	}
	serve := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { p.options.Metrics.WritePrometheus(w) })
	p.metricsListener, err = listener.Listen(p.options.Network, p.settings.Metrics, serve)
	if err != nil {
		return Error.New("listening for metrics: %w", err)
	}
	return nil
}

func (p *Routed) stopReady(ctx context.Context) error {
	if p.metricsListener != nil {
		if err := p.metricsListener.Stop(ctx); err != nil {
			return err
		}
	}
	return p.readyListener.Stop(ctx)
}

// drain waits until callers have switched to other routers and hands the keys over.
// Requests are served as before in the meantime.
func (p *Routed) drain(ctx context.Context) error {
	started := time.Now()
	p.leaving.Store(true)
	limit := time.Duration((1 - stopReserveFraction) * float64(p.settings.Grace))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	handOverDelay := time.Duration(handOverFraction * float64(p.settings.Grace))
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for time.Since(started) < callerDrainTime || !p.holder.IsEmpty() || !p.isIdle() {
		if time.Since(started) >= handOverDelay && !p.handingOver.Swap(true) {
			p.keeper.RequestHeartbeat()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// isIdle reports whether no request is running on the backend server or waiting for it.
func (p *Routed) isIdle() bool {
	work := p.admission.Work()
	return work.Running+work.Waiting == 0
}

// Start starts all services.
func (p *Routed) Start(ctx context.Context) error {
	if err := p.registry.Start(ctx); err != nil {
		return Error.New("starting: %w", err)
	}
	p.options.Log.Emit(logger.ProcessStarted, "callers", p.settings.Callers, "peer", p.settings.Peer, "service", p.settings.Service)
	return nil
}

// Stop hands the keys over, waits for the requests in flight, closes the session and
// stops all services.
func (p *Routed) Stop(ctx context.Context) error {
	p.options.Log.Emit(logger.ProcessStopping)
	ctx, cancel := context.WithTimeout(ctx, p.settings.Grace-stopMargin)
	defer cancel()
	if err := p.registry.Stop(ctx); err != nil {
		return Error.New("stopping: %w", err)
	}
	p.options.Log.Emit(logger.ProcessStopped)
	return nil
}
