// Package mapper holds the routing table of a router in routed mode: the routes, the
// servers of each service and the owners of keys.
//
// One goroutine applies the deltas of the control group; request goroutines read an
// immutable [Map].
//
// # Usage
//
//	routes := mapper.New()
//	err := routes.Apply(delta)
//	current := routes.Load()
//	route := current.Match("desk.example", "/findings/17")
//	server, ownership := current.Owner("findings", 4711)
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

// Route is a route and the weighted selector that distributes its requests over
// services.
type Route struct {
	messenger.PathRoute
	selector *weigher.RoundRobin
}

// Service selects the service for the next request.
func (r *Route) Service() string {
	return r.Parts[r.selector.Next()].Service
}

// Server is a router and its backend server.
type Server struct {
	Session uint64
	Router  string
	// Address is the address at which other routers reach the router.
	Address string
	Domain  string
	Row     messenger.ServerRow
	// Leaving is set if the server receives no new work.
	Leaving bool
	// Withdrawn is set if this start of the server has said that it leaves.
	Withdrawn bool
}

// KeyOwnership is the ownership of a key.
type KeyOwnership struct {
	Phase messenger.Phase
	Owner uint64
	Next  uint64
	Fence uint64
	// Life is the incarnation of the server that the keys were granted for.
	Life     int64
	Handover string
}

// Map is one revision of the view. It is immutable.
type Map struct {
	Revision      uint64
	Configuration *messenger.Configuration
	routes        map[string]*Route
	// longestPrefix is the length of the longest prefix of a route. No more of a path is
	// searched: it may consist of slashes, each of which may end a prefix.
	longestPrefix int
	sessions      map[uint64]messenger.SessionRow
	servers       map[string][]*Server
	owners        map[uint64]*Server
	ranges        map[string]*splitter.Map[KeyOwnership]
	quarantines   map[string]messenger.QuarantineRow
	evacuations   map[string]messenger.EvacuationRow
	// RecordsWithdrawals is set if the control group records which servers leave.
	RecordsWithdrawals bool
	// next is closed when a newer Map has replaced this one.
	next chan struct{}
}

func newMap() *Map {
	return &Map{
		sessions: make(map[uint64]messenger.SessionRow),
		ranges:   make(map[string]*splitter.Map[KeyOwnership]),
		next:     make(chan struct{}),
	}
}

// Next returns a channel that is closed when a newer Map has replaced this one.
func (m *Map) Next() <-chan struct{} {
	return m.next
}

// Match returns the route of a host with the longest prefix of path, nil if there is
// none.
func (m *Map) Match(host, path string) *Route {
	host = strings.ToLower(host)
	for end := min(len(path), m.longestPrefix); end > 0; {
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

// Servers returns the servers of a service.
func (m *Map) Servers(service string) []*Server {
	return m.servers[service]
}

// AllServers returns the servers of all services, ordered by session.
func (m *Map) AllServers() []*Server {
	servers := make([]*Server, 0, len(m.owners))
	for _, session := range slices.Sorted(maps.Keys(m.owners)) {
		servers = append(servers, m.owners[session])
	}
	return servers
}

// ServerOf returns the server that a session has reported, nil if there is none.
func (m *Map) ServerOf(session uint64) *messenger.ServerRow {
	if server := m.owners[session]; server != nil {
		return &server.Row
	}
	return nil
}

// IsWithdrawn reports whether the server of a session has said that it leaves.
func (m *Map) IsWithdrawn(session uint64) bool {
	server := m.owners[session]
	return server != nil && server.Withdrawn
}

// RouterCount returns the number of routers with a session.
func (m *Map) RouterCount() int {
	return len(m.sessions)
}

// IsRanged reports whether a service is partitioned by ranges of keys.
func (m *Map) IsRanged(service string) bool {
	configured := m.Configuration.Service(service)
	return configured != nil && configured.Ranged
}

// Owner returns the server that owns a key, and the ownership of the key. The server
// is nil if the key is free or its owner is unknown.
func (m *Map) Owner(service string, key uint32) (*Server, KeyOwnership) {
	ranges := m.ranges[service]
	if ranges == nil {
		return nil, KeyOwnership{}
	}
	ownership := ranges.Find(key).Value
	return m.owners[ownership.Owner], ownership
}

// HasQuarantines reports whether any fingerprint is quarantined.
func (m *Map) HasQuarantines() bool {
	return len(m.quarantines) > 0
}

// IsQuarantined reports whether a fingerprint of [hasher.Fingerprint] is quarantined.
func (m *Map) IsQuarantined(fingerprint string) bool {
	_, ok := m.quarantines[fingerprint]
	return ok
}

// Evacuation returns the evacuation of a failure domain, nil if it is not evacuated.
func (m *Map) Evacuation(domain string) *messenger.EvacuationRow {
	if row, ok := m.evacuations[domain]; ok {
		return &row
	}
	return nil
}

// IsEvacuated reports whether a service has no backend server that takes new work because
// failure domains are evacuated.
func (m *Map) IsEvacuated(service string) bool {
	evacuated := false
	for _, server := range m.servers[service] {
		if _, ok := m.evacuations[server.Domain]; ok {
			evacuated = true
		} else if !server.Leaving {
			return false
		}
	}
	return evacuated
}

// OwnedRanges returns the ranges that a session owns.
func (m *Map) OwnedRanges(service string, session uint64) []messenger.RangeRow {
	ranges := m.ranges[service]
	if ranges == nil || session == 0 {
		return nil
	}
	var rows []messenger.RangeRow
	for _, piece := range ranges.Pieces() {
		ownership := piece.Value
		if ownership.Owner != session || ownership.Phase == messenger.PhaseFree {
			continue
		}
		rows = append(rows, messenger.RangeRow{
			Service: service, From: piece.From, To: piece.To, Phase: ownership.Phase, Owner: ownership.Owner,
			Fence: ownership.Fence, Next: ownership.Next, Life: ownership.Life, Handover: ownership.Handover,
		})
	}
	return rows
}

// Mapper applies deltas and holds the current Map.
type Mapper struct {
	current atomic.Pointer[Map]
}

// New returns a Mapper with an empty Map.
func New() *Mapper {
	mapper := new(Mapper)
	mapper.current.Store(newMap())
	return mapper
}

// Load returns the current Map.
func (m *Mapper) Load() *Map {
	return m.current.Load()
}

// Apply applies a delta. It must be called from one goroutine.
func (m *Mapper) Apply(delta *messenger.TableDelta) error {
	previous := m.current.Load()
	if !delta.Full && delta.From > previous.Revision {
		return Error.New("delta starts at revision %d, map is at %d", delta.From, previous.Revision)
	}
	updated := newMap()
	updated.Revision = delta.To
	updated.Configuration, updated.routes, updated.longestPrefix = previous.Configuration, previous.routes, previous.longestPrefix
	if !delta.Full {
		updated.sessions = previous.sessions
		updated.ranges = previous.ranges
		updated.RecordsWithdrawals = delta.Withdrawals
		updated.quarantines = previous.quarantines
		updated.evacuations = previous.evacuations
	}
	updated.configure(delta.Configuration)
	updated.servers, updated.owners = previous.servers, previous.owners
	if delta.Full || len(delta.Sessions) > 0 {
		updated.addSessions(delta.Sessions)
	}
	updated.addRanges(delta.Ranges)
	updated.quarantines = messenger.UpdateQuarantines(updated.quarantines, delta.Quarantines)
	updated.evacuations = messenger.UpdateEvacuations(updated.evacuations, delta.Evacuations)
	m.current.Store(updated)
	close(previous.next)
	return nil
}

// configure replaces the configuration if the given one is newer.
func (m *Map) configure(configuration *messenger.Configuration) {
	if configuration == nil {
		return
	}
	if m.Configuration != nil && configuration.Version <= m.Configuration.Version {
		return
	}
	previous := m.routes
	m.Configuration = configuration
	m.routes, m.longestPrefix = make(map[string]*Route, len(configuration.Routes)), 0
	for _, route := range configuration.Routes {
		key := strings.ToLower(route.Host) + route.Prefix
		m.routes[key] = newRoute(route, previous[key])
		m.longestPrefix = max(m.longestPrefix, len(route.Prefix))
	}
}

// newRoute returns a Route. It keeps the selector of the previous route if the parts
// are unchanged: a new selector starts at a random position, so that frequent
// configuration changes would distort the shares.
func newRoute(route messenger.PathRoute, previous *Route) *Route {
	if previous != nil && slices.Equal(previous.Parts, route.Parts) {
		return &Route{PathRoute: route, selector: previous.selector}
	}
	weights := make([]float64, 0, len(route.Parts))
	for _, part := range route.Parts {
		weights = append(weights, part.Weight)
	}
	return &Route{PathRoute: route, selector: weigher.New(weights)}
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
			Row: *row.Server, Leaving: row.Leaving, Withdrawn: row.Withdrawn,
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
				m.ranges[row.Service] = splitter.New[KeyOwnership](messenger.LastKey)
			}
		}
		m.ranges[row.Service].Set(row.From, row.To, KeyOwnership{
			Phase: row.Phase, Owner: row.Owner, Next: row.Next,
			Fence: row.Fence, Life: row.Life, Handover: row.Handover,
		})
	}
}
