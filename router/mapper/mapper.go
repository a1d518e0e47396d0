// Package mapper holds what a router knows of a configuration, of the servers of
// its services and of the owners of their keys.
//
// One goroutine applies the deltas of the control group; traffic reads an
// immutable [Map].
//
// # Usage
//
//	routes := mapper.New()
//	err := routes.Apply(delta)
//	found := routes.Load()
//	route := found.Match("desk.example", "/findings/17")
//	server, key := found.Owner("findings", 4711)
package mapper

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/zeebo/errs"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/splitter"
	"marigoldhill/router/weigher"
)

// Error is the class of all errors of this package.
var Error = errs.Class("mapper")

// Route is a route with the wheel that shares its requests out.
type Route struct {
	messenger.PathRoute
	wheel *weigher.Wheel
}

// Service picks the service for the next request.
func (r *Route) Service() string {
	return r.Parts[r.wheel.Next()].Service
}

// Server is a router with its backend server.
type Server struct {
	Session uint64
	Router  string
	// Address is where other routers reach the router.
	Address string
	Domain  string
	Row     messenger.ServerRow
	// Leaving says that it gets no new work.
	Leaving bool
}

// Holding is the ownership of a key.
type Holding struct {
	Phase    messenger.Phase
	Owner    uint64
	Next     uint64
	Fence    uint64
	Life     int64
	Handover string
}

// Map is immutable.
type Map struct {
	Revision      uint64
	Configuration *messenger.Configuration
	routes        map[string]*Route
	sessions      map[uint64]messenger.SessionRow
	servers       map[string][]*Server
	owners        map[uint64]*Server
	ranges        map[string]*splitter.Map[Holding]
	// next is closed when a newer Map is there.
	next chan struct{}
}

func newMap() *Map {
	return &Map{
		sessions: make(map[uint64]messenger.SessionRow),
		ranges:   make(map[string]*splitter.Map[Holding]),
		next:     make(chan struct{}),
	}
}

// Next is closed when a newer Map is there.
func (m *Map) Next() <-chan struct{} {
	return m.next
}

// Match returns the route of a host with the longest prefix that begins a path,
// or nil.
func (m *Map) Match(host, path string) *Route {
	host = strings.ToLower(host)
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if route := m.routes[host+path[:slash+1]]; route != nil {
			return route
		}
		end = slash
	}
	return nil
}

// Servers lists the servers of a service.
func (m *Map) Servers(service string) []*Server {
	return m.servers[service]
}

// AllServers lists the servers of all services by session.
func (m *Map) AllServers() []*Server {
	servers := make([]*Server, 0, len(m.owners))
	for _, session := range slices.Sorted(maps.Keys(m.owners)) {
		servers = append(servers, m.owners[session])
	}
	return servers
}

// Routers is how many routers have a session.
func (m *Map) Routers() int {
	return len(m.sessions)
}

// IsRanged reports whether a service is divided by ranges of keys.
func (m *Map) IsRanged(service string) bool {
	found := m.Configuration.Service(service)
	return found != nil && found.Ranged
}

// Owner returns the server that owns a key, and its phase. The server is nil
// while the key is free or its owner is not known.
func (m *Map) Owner(service string, key uint32) (*Server, Holding) {
	ranges := m.ranges[service]
	if ranges == nil {
		return nil, Holding{}
	}
	holding := ranges.Find(key).Value
	return m.owners[holding.Owner], holding
}

// Owned lists the ranges of a session.
func (m *Map) Owned(service string, session uint64) []messenger.RangeRow {
	ranges := m.ranges[service]
	if ranges == nil || session == 0 {
		return nil
	}
	var rows []messenger.RangeRow
	for _, piece := range ranges.Pieces() {
		holding := piece.Value
		if holding.Owner != session || holding.Phase == messenger.PhaseFree {
			continue
		}
		rows = append(rows, messenger.RangeRow{
			Service: service, From: piece.From, To: piece.To, Phase: holding.Phase, Owner: holding.Owner,
			Fence: holding.Fence, Next: holding.Next, Life: holding.Life, Handover: holding.Handover,
		})
	}
	return rows
}

// Mapper applies deltas.
type Mapper struct {
	current atomic.Pointer[Map]
}

// New returns a Mapper that knows nothing.
func New() *Mapper {
	m := new(Mapper)
	m.current.Store(newMap())
	return m
}

// Load returns the newest Map.
func (m *Mapper) Load() *Map {
	return m.current.Load()
}

// Apply applies a delta. It must be called from one goroutine.
func (m *Mapper) Apply(delta *messenger.TableDelta) error {
	before := m.current.Load()
	if !delta.Full && delta.From > before.Revision {
		return Error.New("delta starts at %d, the map is at %d", delta.From, before.Revision)
	}
	after := newMap()
	after.Revision = delta.To
	after.Configuration, after.routes = before.Configuration, before.routes
	if !delta.Full {
		after.sessions = before.sessions
		after.ranges = before.ranges
	}
	after.configure(delta.Configuration)
	after.servers, after.owners = before.servers, before.owners
	if delta.Full || len(delta.Sessions) > 0 {
		after.addSessions(delta.Sessions)
	}
	after.addRanges(delta.Ranges)
	m.current.Store(after)
	close(before.next)
	return nil
}

// configure takes a configuration, unless it is older than the one in force.
func (m *Map) configure(configuration *messenger.Configuration) {
	if configuration == nil {
		return
	}
	if m.Configuration != nil && configuration.Version <= m.Configuration.Version {
		return
	}
	before := m.routes
	m.Configuration = configuration
	m.routes = make(map[string]*Route, len(configuration.Routes))
	for _, route := range configuration.Routes {
		place := strings.ToLower(route.Host) + route.Prefix
		m.routes[place] = newRoute(route, before[place])
	}
}

// newRoute keeps the wheel of the route that was there before when its parts are
// the same, so that frequent changes do not blur the shares.
func newRoute(route messenger.PathRoute, before *Route) *Route {
	if before != nil && slices.Equal(before.Parts, route.Parts) {
		return &Route{PathRoute: route, wheel: before.wheel}
	}
	weights := make([]float64, 0, len(route.Parts))
	for _, part := range route.Parts {
		weights = append(weights, part.Weight)
	}
	return &Route{PathRoute: route, wheel: weigher.New(weights)}
}

func (m *Map) addSessions(rows []messenger.SessionRow) {
	m.sessions = maps.Clone(m.sessions)
	for _, row := range rows {
		if row.Gone {
			delete(m.sessions, row.Session)
			continue
		}
		m.sessions[row.Session] = row
	}
	m.servers = make(map[string][]*Server)
	m.owners = make(map[uint64]*Server, len(m.sessions))
	for _, session := range slices.Sorted(maps.Keys(m.sessions)) {
		row := m.sessions[session]
		if row.Server == nil {
			continue
		}
		server := &Server{
			Session: session, Router: row.Router, Address: row.Address, Domain: row.Domain,
			Row: *row.Server, Leaving: row.Leaving,
		}
		m.owners[session] = server
		m.servers[row.Server.Service] = append(m.servers[row.Server.Service], server)
	}
}

func (m *Map) addRanges(rows []messenger.RangeRow) {
	if len(rows) > 0 {
		m.ranges = maps.Clone(m.ranges)
	}
	cloned := make(map[string]bool)
	for _, row := range rows {
		if !cloned[row.Service] {
			cloned[row.Service] = true
			if ranges := m.ranges[row.Service]; ranges != nil {
				m.ranges[row.Service] = ranges.Clone()
			} else {
				m.ranges[row.Service] = splitter.New[Holding](messenger.LastKey)
			}
		}
		m.ranges[row.Service].Set(row.From, row.To, Holding{
			Phase: row.Phase, Owner: row.Owner, Next: row.Next,
			Fence: row.Fence, Life: row.Life, Handover: row.Handover,
		})
	}
}
