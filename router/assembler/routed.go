package assembler

import (
	"context"
	"math"
	"net"
	"net/http"
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
	"marigoldhill/router/keeper"
	"marigoldhill/router/listener"
	"marigoldhill/router/mapper"
	"marigoldhill/router/queuer"
	"marigoldhill/router/relayer"
	"marigoldhill/router/sampler"
)

const (
	// callerIdle is how long an idle connection of a caller is kept.
	callerIdle = time.Minute
	// callerHeader bounds the reading of a caller's header.
	callerHeader = 10 * time.Second
	// watchInterval is the time between two looks at a silent backend server.
	watchInterval = 250 * time.Millisecond
	// summaryInterval is the time between two lines on the work of the backend server.
	summaryInterval = 2 * time.Second
	// goneTime is how long after the start of a stop callers may still come:
	// they are told within two questions, one a second.
	goneTime = 2500 * time.Millisecond
	// linkDrainTime bounds the wait for other routers to have all answers. One that
	// is gone never says so.
	linkDrainTime = 1500 * time.Millisecond
	// bytesPerMegabit turns Mbit/s into bytes a second.
	bytesPerMegabit = 1e6 / 8
	// stopMargin is the part of the grace that the process does not use, since it
	// is killed at its end.
	stopMargin = 250 * time.Millisecond
	// yieldPart is the part of the grace after which a stopping router gives its keys
	// away. Until callers have gone, which takes goneTime, its server can work on.
	yieldPart = 0.3
	// stopReserve is the part of the grace that is left for requests in flight
	// when no new ones are taken any more.
	stopReserve = 0.35
)

// RoutedOptions are what a Routed takes from outside its settings.
type RoutedOptions struct {
	Network networker.Network
	Log     *logger.Log
	Metrics *metrics.Set
	// Dialect and Wire are how the backend server is spoken to; nil takes the
	// product's own.
	Dialect courier.Dialect
	Wire    *granter.Wire
	// Callers and Backend serve the listeners of these names; nil takes the
	// product's own.
	Callers func(entry *relayer.Entry) http.Handler
	Backend func(server *attendant.Attendant) http.Handler
	// Reload returns the settings as they are now; nil when they never change.
	Reload func() (*RoutedSettings, error)
}

// Routed is a router process that serves the routes of a configuration.
type Routed struct {
	settings RoutedSettings
	options  RoutedOptions
	kernel   *registrar.Registrar
	// leaving says that callers are to go elsewhere, yielding that keys and requests
	// of other routers are.
	leaving  atomic.Bool
	yielding atomic.Bool
	// abandon ends the keeper without a word to the control group.
	abandon context.CancelFunc

	mapper  *mapper.Mapper
	server  *attendant.Attendant
	gate    *queuer.Gate
	backend *courier.Courier
	holder  *holder.Holder
	sampler *sampler.Sampler
	owner   *relayer.Owner
	entry   *relayer.Entry
	// paced is the network for whatever leaves the VM.
	paced   networker.Network
	pool    *linker.Pool
	peer    *linker.Server
	keeper  *keeper.Keeper
	members []string

	callers   *http.Server
	announce  *listener.Listener
	ready     *listener.Listener
	telemetry *listener.Listener
}

// NewRouted puts a process together. Its settings must have been checked.
func NewRouted(settings RoutedSettings, options RoutedOptions) (*Routed, error) {
	if options.Network == nil {
		options.Network = networker.TCP{}
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	p := &Routed{settings: settings, options: options, kernel: registrar.New()}
	p.speakOwn()
	p.assemble()
	for _, service := range p.services() {
		if err := p.kernel.Add(service); err != nil {
			return nil, Error.New("adding a service: %w", err)
		}
	}
	return p, nil
}

func (p *Routed) assemble() {
	options := p.options
	p.mapper = mapper.New()
	p.gate = queuer.NewGate(0)
	p.backend = courier.New(courier.Options{Network: options.Network, Dialect: options.Dialect, Metrics: options.Metrics})
	p.sampler = sampler.New()
	p.server = attendant.New(attendant.Options{
		Address: p.settings.Server,
		Changed: p.serverChanged,
		Gone:    func() { p.holder.ServerGone() },
		Log:     options.Log,
	})
	p.paced = pacer.New(options.Network, pacer.NewBucket(p.settings.Link*bytesPerMegabit))
	p.pool = linker.NewPool(p.paced, p.linkOptions())
	p.members = p.settings.replicas()
	p.keeper = keeper.New(keeper.Settings{
		Name:    p.settings.Name,
		Address: p.settings.Peer,
		Domain:  p.settings.Domain,
		Region:  p.settings.Region,
		Control: p.members,
		Timing:  p.settings.Timing,
	}, keeper.Options{
		Opener:  p.pool,
		Steward: p,
		Known:   func(members []string) { p.members = members },
		Seeds:   p.seeds,
		Log:     options.Log,
		Metrics: options.Metrics,
	})
	p.holder = holder.New(holder.Options{
		Caller:  granter.NewRanges(options.Network, *options.Wire),
		Lease:   p.keeper.Lease,
		Changed: p.keeper.Nudge,
		Log:     options.Log,
	})
	p.owner = relayer.NewOwner(relayer.OwnerOptions{
		Server:  p.server,
		Keys:    p.holder,
		Gate:    p.gate,
		Backend: p.backend,
		Sampler: p.sampler,
		Hasten:  p.keeper.Hasten,
		Log:     options.Log,
		Metrics: options.Metrics,
	})
	p.entry = relayer.NewEntry(relayer.EntryOptions{
		Domain:  p.settings.Domain,
		Service: p.settings.Service,
		Mapper:  p.mapper,
		Owner:   p.owner,
		Opener:  p.pool,
		Budget:  budgeter.New(p.settings.Budget),
		Session: p.keeper.Session,
		Hasten:  p.keeper.Hasten,
		Log:     options.Log,
		Metrics: options.Metrics,
	})
}

func (p *Routed) linkOptions() linker.Options {
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

// serverChanged follows the backend server.
func (p *Routed) serverChanged(view *attendant.View) {
	if view.Row.Slots > 0 {
		p.gate.SetSlots(view.Row.Slots)
	}
	p.follow()
	p.keeper.Nudge()
}

// follow hands the ranges of this router's session to the holder.
func (p *Routed) follow() {
	row := p.server.View().Row
	if row == nil {
		p.holder.Follow(nil, nil)
		return
	}
	p.holder.Follow(p.mapper.Load().Owned(row.Service, p.keeper.Session()), row)
}

// isReady reports whether callers are welcome.
func (p *Routed) isReady() bool {
	return p.entry.IsReady() && !p.leaving.Load()
}

// services lists the services of the process.
func (p *Routed) services() []registrar.Service {
	return []registrar.Service{
		&part{name: partLink, start: p.startLink, stop: p.stopLink},
		loop(partHolder, []string{partLink}, p.holder.Run),
		loop(partWatcher, nil, p.watch),
		&part{name: partKeeper, needs: []string{partLink, partHolder}, start: p.startKeeper, stop: p.stopKeeper},
		&part{name: partAnnounce, needs: []string{partKeeper}, start: p.startAnnounce, stop: p.stopAnnounce},
		&part{name: partCallers, needs: []string{partKeeper}, start: p.startCallers, stop: p.stopCallers},
		&part{name: partReady, needs: []string{partCallers, partAnnounce}, start: p.startReady, stop: p.stopReady},
		&part{name: partDrainer, needs: []string{partReady}, stop: p.drain},
	}
}

func (p *Routed) startLink(context.Context) error {
	options := p.linkOptions()
	options.Handler = func(ctx context.Context, link *linker.Link, stream *linker.Stream) {
		if stream.Kind() == messenger.KindRelay {
			p.owner.Handle(ctx, link, stream)
		}
	}
	peer, err := linker.Listen(p.paced, p.settings.Peer, options)
	if err != nil {
		return Error.New("listening for routers: %w", err)
	}
	p.peer = peer
	return nil
}

func (p *Routed) stopLink(ctx context.Context) error {
	// Answers on their way to other routers arrive before the links end.
	draining, cancel := context.WithTimeout(ctx, linkDrainTime)
	p.peer.Drain(draining)
	cancel()
	p.pool.Close()
	p.backend.Reset()
	if err := p.peer.Close(); err != nil {
		return Error.New("closing the listener for routers: %w", err)
	}
	return nil
}

// watch notices a backend server that falls silent.
func (p *Routed) watch(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	summary := time.NewTicker(summaryInterval)
	defer summary.Stop()
	told := p.gate.Totals()
	for {
		select {
		case <-ticker.C:
			p.server.Tick(timer.Now())
		case <-summary.C:
			told = p.summarize(told)
		case <-ctx.Done():
			return
		}
	}
}

// summarize logs what became of the work since earlier totals, unless there was none.
func (p *Routed) summarize(earlier queuer.Totals) queuer.Totals {
	totals := p.gate.Totals()
	work := totals.Since(earlier)
	if work.Offered > 0 && work.Open > 0 {
		p.options.Log.Emit(logger.ServerSummed, "busy", math.Round(100*work.Busy.Seconds()/work.Open.Seconds())/100,
			"offered", work.Offered, "refused", work.Refused, "served", work.Served, "ranges", p.holder.Count())
	}
	return totals
}

func (p *Routed) startKeeper(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.abandon = cancel
	go p.keeper.Run(ctx)
	return nil
}

// stopKeeper ends the session, unless the backend server still holds keys under
// it: then the next process of this router goes on with it, or it lapses.
func (p *Routed) stopKeeper(ctx context.Context) error {
	defer p.abandon()
	if !p.holder.IsEmpty() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, closeTime)
	defer cancel()
	p.keeper.Close(ctx)
	return nil
}

func (p *Routed) startAnnounce(context.Context) error {
	var err error
	p.announce, err = listener.Listen(p.options.Network, p.settings.Backend, p.options.Backend(p.server))
	if err != nil {
		return Error.New("listening for the backend server: %w", err)
	}
	return nil
}

func (p *Routed) stopAnnounce(ctx context.Context) error {
	return p.announce.Stop(ctx)
}

func (p *Routed) startCallers(context.Context) error {
	socket, err := p.paced.Listen(p.settings.Callers)
	if err != nil {
		return Error.New("listening for callers: %w", err)
	}
	p.callers = &http.Server{
		Handler:           p.parting(p.options.Callers(p.entry)),
		ReadHeaderTimeout: callerHeader,
		IdleTimeout:       callerIdle,
	}
	go p.serveCallers(socket)
	return nil
}

// parting ends the connections of callers with an answer once the process stops.
// SetKeepAlivesEnabled would close idle ones at once, and with them requests that are
// being read.
func (p *Routed) parting(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

func (p *Routed) serveCallers(socket net.Listener) {
	// Serve always ends with an error; after a stop it says nothing.
	if err := p.callers.Serve(socket); err != nil && !p.leaving.Load() {
		p.options.Log.Emit(logger.ProcessFailed, "error", err)
	}
}

func (p *Routed) stopCallers(ctx context.Context) error {
	if err := p.callers.Shutdown(ctx); err != nil {
		_ = p.callers.Close()
		return Error.New("ending the requests of callers: %w", err)
	}
	return nil
}

func (p *Routed) startReady(context.Context) error {
	var err error
	p.ready, err = listener.Listen(p.options.Network, p.settings.Ready, p.readyInterface())
	if err != nil {
		return Error.New("listening for questions whether callers are welcome: %w", err)
	}
	if p.settings.Metrics == "" {
		return nil
	}
	serve := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { p.options.Metrics.WritePrometheus(w) })
	p.telemetry, err = listener.Listen(p.options.Network, p.settings.Metrics, serve)
	if err != nil {
		return Error.New("listening for metrics: %w", err)
	}
	return nil
}

func (p *Routed) stopReady(ctx context.Context) error {
	if p.telemetry != nil {
		if err := p.telemetry.Stop(ctx); err != nil {
			return err
		}
	}
	return p.ready.Stop(ctx)
}

// drain lets callers find another router and gives the keys away. Requests are
// served as before meanwhile.
func (p *Routed) drain(ctx context.Context) error {
	begun := time.Now()
	p.leaving.Store(true)
	limit := time.Duration((1 - stopReserve) * float64(p.settings.Grace))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	yield := time.Duration(yieldPart * float64(p.settings.Grace))
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for time.Since(begun) < goneTime || !p.holder.IsEmpty() || !p.isIdle() {
		if time.Since(begun) >= yield && !p.yielding.Swap(true) {
			p.keeper.Nudge()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// isIdle reports whether the backend server has nothing to do for callers.
func (p *Routed) isIdle() bool {
	work := p.gate.Work()
	return work.Running+work.Waiting == 0
}

// Start starts all services.
func (p *Routed) Start(ctx context.Context) error {
	if err := p.kernel.Start(ctx); err != nil {
		return Error.New("starting: %w", err)
	}
	p.options.Log.Emit(logger.ProcessStarted, "callers", p.settings.Callers, "peer", p.settings.Peer, "service", p.settings.Service)
	return nil
}

// Stop gives the keys away, lets the requests in flight end, ends the session and
// stops all services.
func (p *Routed) Stop(ctx context.Context) error {
	p.options.Log.Emit(logger.ProcessStopping)
	ctx, cancel := context.WithTimeout(ctx, p.settings.Grace-stopMargin)
	defer cancel()
	if err := p.kernel.Stop(ctx); err != nil {
		return Error.New("stopping: %w", err)
	}
	p.options.Log.Emit(logger.ProcessStopped)
	return nil
}
