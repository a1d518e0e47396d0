// Package assembler puts the services of a control process together: journal,
// replica, links to other processes, and the operator interface.
//
// # Usage
//
//	settings, err := parser.File[assembler.Settings](path)
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
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/networker"
	"marigoldhill/kernel/registrar"
)

// Error is the class of all errors of this package.
var Error = errs.Class("assembler")

// transferTime bounds how long a stopping leader tries to hand over leadership.
const transferTime = time.Second

// Options are the surroundings of a process. Each has a default.
type Options struct {
	// Network is the operating system's TCP unless set.
	Network networker.Network
	// Disk is the operating system's file system unless set.
	Disk journaler.Disk
	// Log drops everything unless set.
	Log *logger.Log
	// Metrics gets the counters of this process.
	Metrics *metrics.Set
	// Interface serves operators who send whole configurations, beside /v1; nil
	// leaves it out.
	Interface func(changes *configurer.Configurer) http.Handler
}

// Process is a control process.
type Process struct {
	settings Settings
	options  Options
	kernel   *registrar.Registrar
	replica  *replicaService
	links    *linkService
	operator *operatorService
}

// New returns a Process that is not started.
func New(settings Settings, options Options) (*Process, error) {
	if field, reason := settings.Check(); reason != "" {
		return nil, Error.New("settings: %s: %s", field, reason)
	}
	if options.Network == nil {
		options.Network = networker.TCP{}
	}
	if options.Disk == nil {
		options.Disk = journaler.OS{}
	}
	if options.Log == nil {
		options.Log = logger.Discard()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	if err := settings.settle(options.Disk); err != nil {
		return nil, err
	}
	process := &Process{settings: settings, options: options, kernel: registrar.New()}
	return process, process.addServices()
}

func (p *Process) addServices() error {
	part := part{settings: p.settings, options: p.options}
	p.replica = &replicaService{part: part}
	p.links = &linkService{part: part}
	p.operator = &operatorService{part: part}
	services := []registrar.Service{
		&journalService{part: part}, p.replica, &enrolService{part: part}, p.links, p.operator,
	}
	for _, service := range services {
		if err := p.kernel.Add(service); err != nil {
			return Error.New("adding services: %w", err)
		}
	}
	return nil
}

// Start starts all services.
func (p *Process) Start(ctx context.Context) error {
	if err := p.kernel.Start(ctx); err != nil {
		return Error.New("starting control process %s: %w", p.settings.Name, err)
	}
	p.options.Log.Emit(logger.ProcessStarted, "address", p.Address(), "operator", p.OperatorURL())
	return nil
}

// Stop hands leadership over and stops all services.
func (p *Process) Stop(ctx context.Context) error {
	p.options.Log.Emit(logger.ProcessStopping)
	p.replica.handOver(ctx)
	if err := p.kernel.Stop(ctx); err != nil {
		return Error.New("stopping control process %s: %w", p.settings.Name, err)
	}
	p.options.Log.Emit(logger.ProcessStopped)
	return nil
}

// Address is where other processes reach this one, once it was started.
func (p *Process) Address() string {
	return p.links.server.Address()
}

// OperatorURL is the base URL of the operator interface, once it was started.
func (p *Process) OperatorURL() string {
	return "http://" + p.operator.listener.Addr().String()
}

// Failed is closed when the process can't go on; see Err. It may be called once
// the process was started.
func (p *Process) Failed() <-chan struct{} {
	return p.replica.replica.Done()
}

// Err says why the process can't go on.
func (p *Process) Err() error {
	return p.replica.replica.Err()
}
