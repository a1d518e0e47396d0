package relayer

import (
	"sync"
	"time"

	"marigoldhill/kernel/messenger"
	"marigoldhill/router/mapper"
)

// leaveGrace is how long a key's owner that has said that it leaves still gets requests
// for the key. Moving keys takes two heartbeats.
const leaveGrace = 1200 * time.Millisecond

// leavers remembers which backend servers have said in a response that they leave. The
// router beside such a server refuses requests for it, but forgets when it is restarted.
type leavers struct {
	mu sync.Mutex
	// since is when this router first passed such a response on.
	since map[messenger.ServerStart]time.Time
}

func newLeavers() *leavers {
	return &leavers{since: make(map[messenger.ServerStart]time.Time)}
}

// add records that a server has said that it leaves. It forgets servers that are no longer
// in routes.
func (l *leavers) add(routes *mapper.Map, row *messenger.ServerRow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.since[row.Start()]; known {
		return
	}
	present := make(map[messenger.ServerStart]bool)
	for _, server := range routes.AllServers() {
		present[server.Row.Start()] = true
	}
	for other := range l.since {
		if !present[other] {
			delete(l.since, other)
		}
	}
	l.since[row.Start()] = time.Now()
}

// leftFor returns how long ago a server first said that it leaves, and false if it has not.
func (l *leavers) leftFor(row *messenger.ServerRow) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, known := l.since[row.Start()]
	if !known {
		return 0, false
	}
	return time.Since(since), true
}
