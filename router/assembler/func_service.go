package assembler

import (
	"context"

	"marigoldhill/kernel/registrar"
)

// The names of the services of a router process.
const (
	serviceLink      = "link"
	serviceProber    = "prober"
	serviceGranter   = "granter"
	serviceRecorder  = "recorder"
	serviceReporter  = "reporter"
	serviceKeeper    = "keeper"
	serviceAnnouncer = "announcer"
	serviceOperator  = "operator"
	serviceDrainer   = "drainer"
	serviceHolder    = "holder"
	serviceWatcher   = "watcher"
	serviceWarmer    = "warmer"
	serviceCallers   = "callers"
	serviceReady     = "ready"
)

// funcService is a service whose methods call functions. Nil functions do nothing.
type funcService struct {
	name         string
	dependencies []string
	start        func(ctx context.Context) error
	stop         func(ctx context.Context) error
}

var _ registrar.Service = (*funcService)(nil)

// Name implements [registrar.Service].
func (f *funcService) Name() string {
	return f.name
}

// Dependencies implements [registrar.Service].
func (f *funcService) Dependencies() []string {
	return f.dependencies
}

// Start implements [registrar.Service].
func (f *funcService) Start(ctx context.Context, _ *registrar.Registrar) error {
	if f.start == nil {
		return nil
	}
	return f.start(ctx)
}

// Stop implements [registrar.Service].
func (f *funcService) Stop(ctx context.Context) error {
	if f.stop == nil {
		return nil
	}
	return f.stop(ctx)
}

// loopService returns a service that calls run in a goroutine and cancels its context to
// stop it.
func loopService(name string, dependencies []string, run func(ctx context.Context)) *funcService {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	return &funcService{
		name:         name,
		dependencies: dependencies,
		start: func(context.Context) error {
			go func() {
				defer close(done)
				run(ctx)
			}()
			return nil
		},
		stop: func(stopCtx context.Context) error {
			cancel()
			select {
			case <-done:
				return nil
			case <-stopCtx.Done():
				return Error.New("waiting for service %s to stop: %w", name, stopCtx.Err())
			}
		},
	}
}
