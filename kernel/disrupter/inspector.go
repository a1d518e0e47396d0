package disrupter

import (
	"encoding/binary"
	"sync"
	"time"

	"marigoldhill/kernel/framer"
	"marigoldhill/kernel/messenger"
)

// FrameInfo describes one frame sent between two processes.
type FrameInfo struct {
	From string
	To   string
	Type framer.Type
	// Stream is the stream number and Kind the kind of the stream; both are 0 for
	// frames of the connection itself.
	Stream uint64
	Kind   messenger.Kind
	// FromAcceptor reports whether the frame is sent by the side that was dialed.
	FromAcceptor bool
}

// FrameAction is what a [Hook] does with a frame. The zero value delivers it.
type FrameAction struct {
	// Drop discards the frame.
	Drop bool
	// Reorder delivers the next frame on the connection before this one.
	Reorder bool
	// Duplicates is the number of duplicates delivered after the frame.
	Duplicates int
	// Delay delays the frame and all later ones on the connection.
	Delay time.Duration
}

// Hook decides what happens to a frame. It is called concurrently from many
// goroutines and must not block.
type Hook func(info FrameInfo) FrameAction

func (s *SimulatedNetwork) currentHook() Hook {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hook
}

// segment is a part of a write with its extra delay.
type segment struct {
	data       []byte
	extraDelay time.Duration
}

// inspector finds the frames in one direction of a connection. Data of other
// protocols is delivered unchanged.
type inspector struct {
	dir         direction
	reverse     bool // the direction is from the dialed side to the dialing side
	inspected   bool // isFramed has been determined
	isFramed    bool // the direction starts with a hello frame
	streamKinds *streamKinds
	// deferred is the frame to deliver after the next one; nil if none is.
	deferred []byte
}

// streamKinds holds the kinds of the streams of one connection. Both directions
// share it.
type streamKinds struct {
	mu    sync.Mutex
	kinds map[uint64]messenger.Kind
}

func (s *streamKinds) open(number uint64, kind messenger.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds[number] = kind
}

func (s *streamKinds) kind(number uint64) messenger.Kind {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[number]
}

// inspect splits a write into frames and applies the hook to each.
func (i *inspector) inspect(data []byte, hook Hook) []segment {
	remaining := append([]byte(nil), data...)
	if !i.inspected {
		i.inspected = true
		i.isFramed = startsWithHello(remaining)
	}
	if !i.isFramed {
		return []segment{{data: remaining}}
	}
	var segments []segment
	for len(remaining) > 0 {
		frame, rest, ok := splitFrame(remaining)
		if !ok {
			return append(segments, segment{data: remaining})
		}
		segments = append(segments, i.applyHook(frame, hook)...)
		remaining = rest
	}
	return segments
}

func (i *inspector) applyHook(frame []byte, hook Hook) []segment {
	info := FrameInfo{
		From:         i.dir.from,
		To:           i.dir.to,
		Type:         framer.Type(frame[4]),
		Stream:       binary.BigEndian.Uint64(frame[5:framer.HeaderSize]),
		FromAcceptor: i.reverse,
	}
	if info.Type == framer.TypeOpen && len(frame) > framer.HeaderSize {
		i.streamKinds.open(info.Stream, messenger.Kind(frame[framer.HeaderSize]))
	}
	info.Kind = i.streamKinds.kind(info.Stream)
	if hook == nil {
		return []segment{{data: frame}}
	}
	action := hook(info)
	if action.Drop {
		return nil
	}
	if action.Reorder && i.deferred == nil {
		i.deferred = frame
		return nil
	}
	segments := []segment{{data: frame, extraDelay: action.Delay}}
	if i.deferred != nil {
		segments = append(segments, segment{data: i.deferred})
		i.deferred = nil
	}
	for range action.Duplicates {
		segments = append(segments, segment{data: frame, extraDelay: action.Delay})
	}
	return segments
}

func startsWithHello(data []byte) bool {
	return len(data) > framer.HeaderSize && framer.Type(data[4]) == framer.TypeHello
}

// splitFrame splits data after its first frame. ok is false if that is incomplete.
func splitFrame(data []byte) (frame, rest []byte, ok bool) {
	if len(data) < framer.HeaderSize {
		return nil, nil, false
	}
	size := framer.HeaderSize + int(binary.BigEndian.Uint32(data))
	if size > len(data) {
		return nil, nil, false
	}
	return data[:size:size], data[size:], true
}
