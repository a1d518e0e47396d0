package receiver

import (
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/kernel/messenger"
)

// maxCachedDeltas limits the number of encoded deltas in the cache of an encoder.
const maxCachedDeltas = 32

// wireResponse is a [messenger.HeartbeatResponse] whose delta is already encoded. The
// fields must be the same and in the same order.
type wireResponse struct {
	Status   messenger.HeartbeatStatus
	Session  uint64
	Sequence uint64
	Leader   string
	Delta    msgpack.RawMessage
	More     bool
	Members  []string
}

// encoder encodes heartbeat responses. It caches encoded deltas by their address,
// because the state machine returns the same delta to all routers that need it.
type encoder struct {
	mu        sync.Mutex
	encodings map[*messenger.TableDelta]*encoding
	// insertionOrder holds the keys of encodings, oldest first.
	insertionOrder []*messenger.TableDelta
}

// encoding is the result of encoding a delta, computed once.
type encoding struct {
	once sync.Once
	data []byte
	err  error
}

func newEncoder() *encoder {
	return &encoder{encodings: make(map[*messenger.TableDelta]*encoding)}
}

// encode returns response with its delta encoded.
func (e *encoder) encode(response *messenger.HeartbeatResponse) (*wireResponse, error) {
	wire := &wireResponse{
		Status:   response.Status,
		Session:  response.Session,
		Sequence: response.Sequence,
		Leader:   response.Leader,
		More:     response.More,
		Members:  response.Members,
	}
	if response.Delta == nil {
		wire.Delta = msgpackNil
		return wire, nil
	}
	entry := e.entry(response.Delta)
	entry.once.Do(func() { entry.data, entry.err = msgpack.Marshal(response.Delta) })
	if entry.err != nil {
		return nil, Error.New("encoding a delta: %w", entry.err)
	}
	wire.Delta = entry.data
	return wire, nil
}

// msgpackNil is the MessagePack encoding of nil, for a response without a delta.
var msgpackNil = msgpack.RawMessage{0xc0}

// entry returns the cache entry of a delta. It adds the entry if needed and evicts
// the oldest one when the cache is full.
func (e *encoder) entry(delta *messenger.TableDelta) *encoding {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry, ok := e.encodings[delta]
	if ok {
		return entry
	}
	entry = new(encoding)
	e.encodings[delta] = entry
	e.insertionOrder = append(e.insertionOrder, delta)
	if len(e.insertionOrder) > maxCachedDeltas {
		delete(e.encodings, e.insertionOrder[0])
		e.insertionOrder = e.insertionOrder[1:]
	}
	return entry
}
