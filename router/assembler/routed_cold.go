package assembler

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/router/mapper"
	"marigoldhill/router/monitor"
	"marigoldhill/router/queuer"
	"marigoldhill/router/relayer"
	"marigoldhill/router/warmer"
)

// healthTimeout limits a health check of the backend server.
const healthTimeout = time.Second

// Results of health checks, which are labels of the metric.
const (
	checkWarm   = "warm"
	checkCold   = "cold"
	checkSilent = "silent" // the answer does not say how long the server stays cold
	checkFailed = "failed"
)

// coldOptions are the dependencies of a coldWatch.
type coldOptions struct {
	Settings  ColdSettings
	Admission *queuer.Admission
	// View returns the state of the server, Service its service in the configuration, nil
	// if there is none.
	View    func() *monitor.View
	Service func() *messenger.RoutedService
	// Check sends a health check; see [requester.Client.CheckHealth].
	Check func(ctx context.Context, address, path, server string) (*time.Duration, error)
	// OnChange is called when the server has become cold or warm. It must not block.
	OnChange func()
	Log      *logger.Log
	Metrics  *metrics.Set
}

// coldWatch follows whether the backend server is cold: it passes events and reports to a
// warmer.Warmer, sends the health checks that it asks for, and bounds the starts of
// requests while the server is cold. It has no effect for a service without a rate for
// cold servers.
type coldWatch struct {
	options coldOptions
	// wake is signaled when the next step of run may be earlier than it knows.
	wake chan struct{}

	mu     sync.Mutex
	warmer *warmer.Warmer
	// passedOn is the state that the control group gets.
	passedOn warmer.Steady
	// cold is the last verdict, if the service has a rate.
	cold bool
	// leaving is set while the map has the server as leaving: it gets no new work then,
	// because its failure domain is evacuated, for instance.
	leaving bool
}

func newColdWatch(options coldOptions) *coldWatch {
	w := &coldWatch{options: options, wake: make(chan struct{}, 1), warmer: warmer.New(options.Admission.Now())}
	gauge := func(name string, value func() float64) { options.Metrics.GetOrCreateGauge(name, value) }
	gauge("marigold_cold", func() float64 {
		if w.isCold() {
			return 1
		}
		return 0
	})
	gauge("marigold_cold_starts_total", func() float64 { return float64(options.Admission.ColdTotals().Started) })
	gauge("marigold_cold_refusals_total", func() float64 { return float64(options.Admission.ColdTotals().Refused) })
	return w
}

func (w *coldWatch) isCold() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cold
}

// happened records an event after which the server may be cold.
func (w *coldWatch) happened(event warmer.Event) {
	w.change(func(now time.Duration) { w.warmer.Happened(now, event) })
}

// announced records an announcement of the server.
func (w *coldWatch) announced(announcement monitor.Announcement) {
	if announcement.ColdLeft != nil {
		w.change(func(now time.Duration) { w.warmer.Announced(now, *announcement.ColdLeft) })
	}
}

// update takes note of a change of the server or of the configuration.
func (w *coldWatch) update() {
	w.change(func(time.Duration) {})
}

// change changes the warmer and applies its verdict before it returns.
func (w *coldWatch) change(apply func(now time.Duration)) {
	w.mu.Lock()
	now := w.options.Admission.Now()
	apply(now)
	w.apply(now)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// apply applies the verdict of the warmer and returns it. The caller holds mu.
func (w *coldWatch) apply(now time.Duration) warmer.Verdict {
	var rate float64
	if service := w.options.Service(); service != nil {
		rate = service.ColdRate
		w.warmer.SetCold(service.Cold)
	}
	verdict := w.warmer.Verdict(now)
	cold := verdict.Cold && rate > 0
	most := 0
	if cold {
		most = w.options.Settings.starts(rate)
	}
	w.options.Admission.SetCold(most)
	if cold == w.cold {
		return verdict
	}
	w.cold = cold
	w.log(cold, rate, most, verdict)
	w.options.OnChange()
	return verdict
}

// log logs that the server has become cold or warm.
func (w *coldWatch) log(cold bool, rate float64, most int, verdict warmer.Verdict) {
	server := ""
	if row := w.options.View().Row; row != nil {
		server = row.Name
	}
	event := logger.ServerWarm
	if cold {
		event = logger.ServerCold
	}
	w.options.Log.Emit(event, "server", server, "source", verdict.Source, "age", verdict.Age, "left", verdict.Left, "rate", rate, "most", most)
}

// row returns the row of the server that the control group gets: with a rate for cold
// servers, it shows whether the server is cold now.
//
// A server that gets no new work is shown as cold, since it will count as cold when it gets
// some again. All routers then learn of both at once. Otherwise they would take it for warm
// until the row of this router has reached them, two heartbeats later.
func (w *coldWatch) row(row *messenger.ServerRow) *messenger.ServerRow {
	service := w.options.Service()
	if row == nil || service == nil || service.ColdRate <= 0 {
		return row
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	current := *row
	current.Cold = w.passedOn.Update(w.options.Admission.Now(), w.cold || w.leaving)
	return &current
}

// run sends the health checks and applies what changes with time, until ctx ends.
func (w *coldWatch) run(ctx context.Context) {
	var checks sync.WaitGroup
	defer checks.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-w.wake:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		target, wait := w.step()
		if target != nil {
			checks.Go(func() { w.check(ctx, target) })
		}
		if wait > 0 {
			timer.Reset(wait)
		}
	}
}

// checkTarget is the server that a health check is sent to.
type checkTarget struct {
	address, path, server string
}

// step applies the verdict. It returns the target if a health check must be sent now, and
// the time until the next step, 0 if there is none.
func (w *coldWatch) step() (*checkTarget, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.options.Admission.Now()
	left := w.apply(now).Left
	target := w.target()
	wait, due := w.warmer.NextCheck(now)
	switch {
	case target == nil || !due:
		return nil, left
	case wait > 0 && left > 0:
		return nil, min(wait, left)
	case wait > 0:
		return nil, wait
	}
	w.warmer.CheckStarted(now)
	return target, left
}

// target returns where to send a health check, nil if the server or its path is unknown, no
// check is of use, or the server gets no new work. The caller holds mu.
func (w *coldWatch) target() *checkTarget {
	service, view := w.options.Service(), w.options.View()
	if w.leaving || service == nil || service.ColdRate <= 0 || service.Health == "" || view.Row == nil || view.State == messenger.ServerDown {
		return nil
	}
	return &checkTarget{address: view.Row.URL, path: service.Health, server: view.Row.Name}
}

// check sends a health check.
func (w *coldWatch) check(ctx context.Context, target *checkTarget) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	started := time.Now()
	left, err := w.options.Check(ctx, target.address, target.path, target.server)
	result := checkWarm
	switch {
	case err != nil:
		result = checkFailed
	case left == nil:
		result = checkSilent
	case *left > 0:
		result = checkCold
	}
	w.options.Metrics.GetOrCreateCounter(`marigold_cold_checks_total{result="` + result + `"}`).Inc()
	values := []any{"server", target.server, "address", target.address, "path", target.path, "result", result, "took", time.Since(started)}
	if left != nil {
		values = append(values, "left", *left)
	}
	if err != nil {
		values = append(values, "error", err)
	}
	w.options.Log.Emit(logger.ServerChecked, values...)
	w.change(func(now time.Duration) { w.warmer.CheckEnded(now, left) })
}

// newColdWatch creates the coldWatch of the process.
func (p *Routed) newColdWatch() *coldWatch {
	return newColdWatch(coldOptions{
		Settings:  p.settings.Cold,
		Admission: p.admission,
		View:      func() *monitor.View { return p.server.View() },
		Service: func() *messenger.RoutedService {
			return p.mapper.Load().Configuration.Service(p.serviceName())
		},
		Check: func(ctx context.Context, address, path, server string) (*time.Duration, error) {
			return p.backend.CheckHealth(ctx, address, path, server)
		},
		OnChange: func() { p.keeper.RequestHeartbeat() },
		Log:      p.options.Log,
		Metrics:  p.options.Metrics,
	})
}

// serviceName returns the service of the backend server.
func (p *Routed) serviceName() string {
	if row := p.server.View().Row; row != nil {
		return row.Service
	}
	return p.settings.Service
}

// coldDetector passes broken connections on to a coldWatch too.
type coldDetector struct {
	relayer.Detector
	cold *coldWatch
}

// ConnectionBroken implements [relayer.Detector].
func (d coldDetector) ConnectionBroken(address string) {
	d.cold.happened(warmer.ConnectionBroken)
	d.Detector.ConnectionBroken(address)
}

// mapChanged takes note of a new map: of the configuration, and of whether the server of a
// session gets no new work. Once it gets some again, after the evacuation of its failure
// domain or a drain, it may have become cold.
func (w *coldWatch) mapChanged(routes *mapper.Map, service string, session uint64) {
	leaving := isLeaving(routes, service, session)
	w.change(func(now time.Duration) {
		if w.leaving && !leaving {
			w.warmer.Happened(now, warmer.EvacuationEnded)
		}
		w.leaving = leaving
	})
}

// isLeaving reports whether a map has the server of a session as leaving.
func isLeaving(routes *mapper.Map, service string, session uint64) bool {
	for _, server := range routes.Servers(service) {
		if server.Session == session {
			return server.Leaving
		}
	}
	return false
}
