// Package registrar is the micro-kernel: it starts the named services of a
// process in order of need, stops them in reverse and hands them to each other
// by name.
//
// # Usage
//
//	kernel := registrar.New()
//	kernel.Add(&journal)            // Name() "journal"
//	kernel.Add(&replica)            // Needs() "journal"
//	if err := kernel.Start(ctx); err != nil { ... }
//	defer kernel.Stop(ctx)
//
// Inside a service's Start:
//
//	journal, err := registrar.Find[*journaler.Journal](kernel, "journal")
package registrar

import (
	"context"
	"errors"
	"slices"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("registrar")

// Service is one named part of a process.
type Service interface {
	// Name is the name that other services find this one by.
	Name() string
	// Needs lists the names of the services that must run before this one.
	Needs() []string
	// Start brings the service up and returns once it can be used. It must
	// not block for longer than ctx lives.
	Start(ctx context.Context, registrar *Registrar) error
	// Stop ends the service and waits for its goroutines, at most until ctx
	// ends.
	Stop(ctx context.Context) error
}

// Registrar holds the services of one process. Its methods must be called from
// one goroutine, except [Find], which is safe once Start has returned.
type Registrar struct {
	services map[string]Service
	order    []string
	started  []Service
}

// New returns an empty Registrar.
func New() *Registrar {
	return &Registrar{services: make(map[string]Service)}
}

// Add registers a service. It fails when the name is taken.
func (r *Registrar) Add(service Service) error {
	name := service.Name()
	if _, taken := r.services[name]; taken {
		return Error.New("service %q is registered twice", name)
	}
	r.services[name] = service
	r.order = append(r.order, name)
	return nil
}

// Start starts all services, each after those that it needs. When one fails,
// those already started are stopped and the error names the one that failed.
func (r *Registrar) Start(ctx context.Context) error {
	sorted, err := r.sort()
	if err != nil {
		return err
	}
	for _, service := range sorted {
		if err := service.Start(ctx, r); err != nil {
			failure := Error.New("starting service %q: %w", service.Name(), err)
			return errors.Join(failure, r.Stop(ctx))
		}
		r.started = append(r.started, service)
	}
	return nil
}

// Stop stops the started services in reverse order and joins their errors.
func (r *Registrar) Stop(ctx context.Context) error {
	var failures error
	for _, service := range slices.Backward(r.started) {
		if err := service.Stop(ctx); err != nil {
			failures = errors.Join(failures, Error.New("stopping service %q: %w", service.Name(), err))
		}
	}
	r.started = nil
	return failures
}

// Find returns the service called name as a T. It fails when there is no such
// service or it is of another type.
func Find[T any](r *Registrar, name string) (T, error) {
	var none T
	service, ok := r.services[name]
	if !ok {
		return none, Error.New("no service is named %q", name)
	}
	typed, ok := service.(T)
	if !ok {
		return none, Error.New("service %q is a %T", name, service)
	}
	return typed, nil
}

// sort orders the services so that each comes after those that it needs.
func (r *Registrar) sort() ([]Service, error) {
	walk := sorter{registrar: r, state: make(map[string]visit)}
	for _, name := range r.order {
		if err := walk.visit(name, name); err != nil {
			return nil, err
		}
	}
	return walk.sorted, nil
}

type visit int

const (
	unvisited visit = iota
	visiting
	visited
)

// sorter is a depth-first topological sort.
type sorter struct {
	registrar *Registrar
	state     map[string]visit
	sorted    []Service
}

func (s *sorter) visit(name, needer string) error {
	service, ok := s.registrar.services[name]
	if !ok {
		return Error.New("service %q needs %q, which is not registered", needer, name)
	}
	switch s.state[name] {
	case visited:
		return nil
	case visiting:
		return Error.New("services %q and %q need each other", needer, name)
	}
	s.state[name] = visiting
	for _, need := range service.Needs() {
		if err := s.visit(need, name); err != nil {
			return err
		}
	}
	s.state[name] = visited
	s.sorted = append(s.sorted, service)
	return nil
}
