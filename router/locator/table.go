// Package locator holds the routing table of a router.
//
// A [Table] is immutable; [Table.Apply] makes the next one from a delta of the
// control group. Traffic goroutines read the newest through a [Locator] without
// a lock.
//
// # Usage
//
//	table := locator.Load()
//	place, reason := table.Locate("findings", "door-17")
//	profile := table.Profile(place.Service, "POST", "certificates/new")
package locator

import (
	"marigoldhill/kernel/messenger"
)

// Place is where a key is served.
type Place struct {
	Service *messenger.Service
	// Row is the ownership of the key's shard.
	Row messenger.ShardRow
	// Owner is the router that owns it, nil when the shard is free.
	Owner *messenger.SessionRow
}
