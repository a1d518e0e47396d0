package assembler

import (
	"context"

	"marigoldhill/kernel/registrar"
)

// The names of the services of a router process.
const (
	partLink     = "link"
	partProber   = "prober"
	partGranter  = "granter"
	partRecorder = "recorder"
	partReporter = "reporter"
	partKeeper   = "keeper"
	partAnnounce = "announcer"
	partOperator = "operator"
	partDrainer  = "drainer"
	partHolder   = "holder"
	partWatcher  = "watcher"
	partCallers  = "callers"
	partReady    = "ready"
)

// part is a service made of functions. Nil functions do nothing.
type part struct {
	name  string
	needs []string
	start func(ctx context.Context) error
	stop  func(ctx context.Context) error
}

var _ registrar.Service = (*part)(nil)

// Name implements [registrar.Service].
func (p *part) Name() string {
	return p.name
}

// Needs implements [registrar.Service].
func (p *part) Needs() []string {
	return p.needs
}

// Start implements [registrar.Service].
func (p *part) Start(ctx context.Context, _ *registrar.Registrar) error {
	if p.start == nil {
		return nil
	}
	return p.start(ctx)
}

// Stop implements [registrar.Service].
func (p *part) Stop(ctx context.Context) error {
	if p.stop == nil {
		return nil
	}
	return p.stop(ctx)
}

// loop returns a service that runs a function in a goroutine until it is
// stopped.
func loop(name string, needs []string, run func(ctx context.Context)) *part {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	return &part{
		name:  name,
		needs: needs,
		start: func(context.Context) error {
			go func() {
				defer close(done)
				run(ctx)
			}()
			return nil
		},
		stop: func(stopping context.Context) error {
			cancel()
			select {
			case <-done:
				return nil
			case <-stopping.Done():
				return Error.New("waiting for %s: %w", name, stopping.Err())
			}
		},
	}
}
