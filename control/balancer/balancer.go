// Package balancer decides which server owns each shard and each range of keys: it
// places free ones, plans moves of owned ones and detects hot keys. It works on
// plain data, without clocks or I/O.
//
// # Usage
//
//	placements := balancer.Place(free, servers)
package balancer

// Server is a backend server that may own shards of one service.
type Server struct {
	// Session is the session of the server's router.
	Session uint64
	// Domain is the failure domain of the server.
	Domain string
	// Slots is the number of requests that the server runs concurrently. It gets
	// shards in proportion to it.
	Slots int
	// Shards is the number of shards that the server owns or is about to get.
	Shards int
}

// Placement assigns shards to a server.
type Placement struct {
	Session uint64
	Shards  []uint32
}
