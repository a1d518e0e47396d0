package receiver

import (
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/kernel/messenger"
)

// maxEncoded is how many encoded deltas are kept.
const maxEncoded = 32

// wireAnswer is a messenger.HeartbeatAnswer whose delta is encoded already. It has the
// same fields in the same order.
type wireAnswer struct {
	Status   messenger.HeartbeatStatus
	Session  uint64
	Sequence uint64
	Leader   string
	Delta    msgpack.RawMessage
	More     bool
	Members  []string
}

// encoder encodes each delta once, however many routers get it: the state
// machine hands the same delta to all that ask for it.
type encoder struct {
	mu    sync.Mutex
	known map[*messenger.TableDelta]*encoding
	order []*messenger.TableDelta
}

// encoding is one encoded delta.
type encoding struct {
	once sync.Once
	data []byte
	err  error
}

func newEncoder() *encoder {
	return &encoder{known: make(map[*messenger.TableDelta]*encoding)}
}

// encode prepares an answer for the wire.
func (e *encoder) encode(answer *messenger.HeartbeatAnswer) (*wireAnswer, error) {
	wire := &wireAnswer{
		Status:   answer.Status,
		Session:  answer.Session,
		Sequence: answer.Sequence,
		Leader:   answer.Leader,
		More:     answer.More,
		Members:  answer.Members,
	}
	if answer.Delta == nil {
		wire.Delta = encodedNil
		return wire, nil
	}
	entry := e.entry(answer.Delta)
	entry.once.Do(func() { entry.data, entry.err = msgpack.Marshal(answer.Delta) })
	if entry.err != nil {
		return nil, Error.New("encoding a delta: %w", entry.err)
	}
	wire.Delta = entry.data
	return wire, nil
}

// encodedNil is the encoding of no delta.
var encodedNil = msgpack.RawMessage{0xc0}

// entry returns the encoding of a delta, and drops the oldest one when there are
// too many.
func (e *encoder) entry(delta *messenger.TableDelta) *encoding {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry, ok := e.known[delta]
	if ok {
		return entry
	}
	entry = new(encoding)
	e.known[delta] = entry
	e.order = append(e.order, delta)
	if len(e.order) > maxEncoded {
		delete(e.known, e.order[0])
		e.order = e.order[1:]
	}
	return entry
}
