// Package registrar manages the services that a process consists of: it starts them
// in order of their dependencies, stops them in reverse order and lets them find
// each other by name.
//
// # Usage
//
//	registry := registrar.New()
//	registry.Add(&journalService{}) // Name() "journal"
//	registry.Add(&replicaService{}) // Dependencies() "journal"
//	if err := registry.Start(ctx); err != nil { ... }
//	defer registry.Stop(ctx)
//
// Inside a service's Start:
//
//	journal, err := registrar.Find[*journalService](registry, "journal")
package registrar

import (
	"context"
	"errors"
	"slices"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("registrar")

// Service is a named component of a process.
type Service interface {
	// Name returns the name under which other services find this one.
	Name() string
	// Dependencies returns the names of the services that must be started before this one.
	Dependencies() []string
	// Start starts the service and returns when it can be used. It must not block
	// after ctx is done.
	Start(ctx context.Context, registry *Registrar) error
	// Stop stops the service and waits for its goroutines, at most until ctx is
	// done.
	Stop(ctx context.Context) error
}

// Registrar holds the services of one process. Its methods must be called from
// one goroutine. [Find] is safe for concurrent use once Start has returned.
type Registrar struct {
	services map[string]Service
	order    []string
	started  []Service
}

// New returns an empty Registrar.
func New() *Registrar {
	return &Registrar{services: make(map[string]Service)}
}

// Add registers a service. It fails when a service with this name is registered.
func (r *Registrar) Add(service Service) error {
	name := service.Name()
	if _, exists := r.services[name]; exists {
		return Error.New("service %q is registered twice", name)
	}
	r.services[name] = service
	r.order = append(r.order, name)
	return nil
}

// Start starts all services, each after its dependencies. When one fails, the
// services already started are stopped and the error contains the name of the one
// that failed.
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

// Stop stops the started services in reverse order and returns their joined errors.
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

// Find returns the service called name as a T. It fails when no such service is
// registered or its type is not T.
func Find[T any](r *Registrar, name string) (T, error) {
	var zero T
	service, ok := r.services[name]
	if !ok {
		return zero, Error.New("no service is named %q", name)
	}
	typed, ok := service.(T)
	if !ok {
		return zero, Error.New("service %q has type %T", name, service)
	}
	return typed, nil
}

// sort returns the services in an order in which each comes after its dependencies.
func (r *Registrar) sort() ([]Service, error) {
	s := sorter{registrar: r, states: make(map[string]visit)}
	for _, name := range r.order {
		if err := s.visit(name, name); err != nil {
			return nil, err
		}
	}
	return s.sorted, nil
}

// visit is the state of a service during the sort. A service that is reached
// while visiting is part of a dependency cycle.
type visit int

const (
	unvisited visit = iota
	visiting
	visited
)

// sorter is a depth-first topological sort.
type sorter struct {
	registrar *Registrar
	states    map[string]visit
	sorted    []Service
}

func (s *sorter) visit(name, dependent string) error {
	service, ok := s.registrar.services[name]
	if !ok {
		return Error.New("service %q needs %q, which is not registered", dependent, name)
	}
	switch s.states[name] {
	case visited:
		return nil
	case visiting:
		return Error.New("services %q and %q are in a dependency cycle", dependent, name)
	}
	s.states[name] = visiting
	for _, dependency := range service.Dependencies() {
		if err := s.visit(dependency, name); err != nil {
			return err
		}
	}
	s.states[name] = visited
	s.sorted = append(s.sorted, service)
	return nil
}
