// Package balancer decides where shards are served: it places free shards,
// plans moves of owned ones and finds hot keys. It is plain data in, plain data
// out, without clocks or I/O.
//
// # Usage
//
//	placements := balancer.Place(free, servers)
package balancer

// Server is a backend server that may own shards of one service.
type Server struct {
	// Session is the session of its router.
	Session uint64
	// Domain is its failure domain.
	Domain string
	// Slots is how many requests it runs at once; its part of the shards is in
	// proportion to it.
	Slots int
	// Shards is how many shards it owns or is about to get.
	Shards int
}

// Placement gives shards to a server.
type Placement struct {
	Session uint64
	Shards  []uint32
}
