// Package assembler builds a control process from its services: journal, replica,
// enrolment, links from other processes, and the operator interface.
//
// # Usage
//
//	settings, err := parser.ParseFile[assembler.Settings](path)
//	process, err := assembler.New(*settings, assembler.Options{Log: log})
//	err = process.Start(ctx)
//	...
//	err = process.Stop(ctx)
package assembler

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"marigoldhill/control/configurer"
	"marigoldhill/control/journaler"
	"marigoldhill/control/proposer"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/networker"
	"marigoldhill/kernel/registrar"
)

// Error is the class of all errors of this package.
var Error = errs.Class("assembler")

// leadershipTransferTimeout limits the attempt of a stopping leader to transfer its
// leadership.
const leadershipTransferTimeout = time.Second

// Options are the external dependencies of a process. All are optional.
type Options struct {
	// Network is the TCP stack of the operating system by default.
	Network networker.Network
	// Disk is the file system of the operating system by default.
	Disk journaler.Disk
	// Log discards all events by default.
	Log *logger.Log
	// Metrics holds the counters of this process. By default, they go into a new
	// set.
	Metrics *metrics.Set
	// OperatorHandler returns an HTTP handler through which operators replace whole
	// configurations and commit other changes. It serves all paths except /v1, /metrics
	// and /health. If nil, the handler of /v1 serves these paths too.
	OperatorHandler func(configurations *configurer.Configurer, changes *proposer.Proposer) http.Handler
}

// Process is a control process.
type Process struct {
	settings Settings
	options  Options
	registry *registrar.Registrar
	replica  *replicaService
	links    *linkService
	operator *operatorService
}

// New returns a Process that has not been started yet.
func New(settings Settings, options Options) (*Process, error) {
	if field, reason := settings.Check(); reason != "" {
		return nil, Error.New("settings: %s: %s", field, reason)
	}
	if options.Network == nil {
		options.Network = networker.TCP{}
	}
	if options.Disk == nil {
		options.Disk = journaler.OSDisk{}
	}
	if options.Log == nil {
		options.Log = logger.Discard()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	if err := settings.resolveIdentity(options.Disk); err != nil {
		return nil, err
	}
	process := &Process{settings: settings, options: options, registry: registrar.New()}
	return process, process.addServices()
}

func (p *Process) addServices() error {
	base := base{settings: p.settings, options: p.options}
	p.replica = &replicaService{base: base}
	p.links = &linkService{base: base}
	p.operator = &operatorService{base: base}
	services := []registrar.Service{
		&journalService{base: base}, p.replica, &enrolService{base: base}, p.links, p.operator,
	}
	for _, service := range services {
		if err := p.registry.Add(service); err != nil {
			return Error.New("adding services: %w", err)
		}
	}
	return nil
}

// Start starts the services in the order of their dependencies.
func (p *Process) Start(ctx context.Context) error {
	if err := p.registry.Start(ctx); err != nil {
		return Error.New("starting control process %s: %w", p.settings.Name, err)
	}
	p.options.Log.Emit(logger.ProcessStarted, "address", p.Address(), "operator", p.OperatorURL())
	return nil
}

// Stop transfers leadership to another member, if this process is the leader, and
// stops all services.
func (p *Process) Stop(ctx context.Context) error {
	p.options.Log.Emit(logger.ProcessStopping)
	p.replica.transferLeadership(ctx)
	if err := p.registry.Stop(ctx); err != nil {
		return Error.New("stopping control process %s: %w", p.settings.Name, err)
	}
	p.options.Log.Emit(logger.ProcessStopped)
	return nil
}

// Address returns the address on which the process accepts links from other
// processes. It must not be called before Start.
func (p *Process) Address() string {
	return p.links.server.Address()
}

// OperatorURL returns the base URL of the operator interface. It must not be called
// before Start.
func (p *Process) OperatorURL() string {
	return "http://" + p.operator.listener.Addr().String()
}

// Failed returns a channel that is closed when the replica ends, after which the
// process cannot continue; see [Process.Err]. It must not be called before Start.
func (p *Process) Failed() <-chan struct{} {
	return p.replica.replica.Done()
}

// Err returns the error with which the replica ended, and nil while it runs.
func (p *Process) Err() error {
	return p.replica.replica.Err()
}
