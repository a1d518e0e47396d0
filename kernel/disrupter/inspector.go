package disrupter

import (
	"encoding/binary"
	"sync"
	"time"

	"marigoldhill/kernel/framer"
	"marigoldhill/kernel/messenger"
)

// Step is one frame on its way between two processes.
type Step struct {
	From string
	To   string
	Type framer.Type
	// Stream is the number of the stream, and Kind what it carries; 0 for
	// frames of the connection itself.
	Stream uint64
	Kind   messenger.Kind
	// Back says that the frame comes from the side that was dialled.
	Back bool
}

// Verdict is what becomes of a frame.
type Verdict struct {
	// Drop makes the frame vanish.
	Drop bool
	// Swap lets the next frame on the connection overtake this one.
	Swap bool
	// Copies are sent besides the frame.
	Copies int
	// Hold delays the frame and all that follow it on the connection.
	Hold time.Duration
}

// Hook decides on a frame. It is called from many goroutines and must not
// block.
type Hook func(step Step) Verdict

func (w *World) currentHook() Hook {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hook
}

// part is a piece of a write with its extra delay.
type part struct {
	data []byte
	hold time.Duration
}

// inspector finds the frames in one direction of a connection. Connections of
// other protocols pass as they are.
type inspector struct {
	way     pair
	back    bool
	judged  bool
	framed  bool
	streams *streams
	// overtaken is the frame that the next one overtakes.
	overtaken []byte
}

// streams has the kinds of the streams of one connection, for both directions.
type streams struct {
	mu    sync.Mutex
	kinds map[uint64]messenger.Kind
}

func (s *streams) open(number uint64, kind messenger.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds[number] = kind
}

func (s *streams) kind(number uint64) messenger.Kind {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[number]
}

// split cuts a write into frames and applies the hook to each.
func (i *inspector) split(data []byte, hook Hook) []part {
	whole := append([]byte(nil), data...)
	if !i.judged {
		i.judged = true
		i.framed = startsWithHello(whole)
	}
	if !i.framed {
		return []part{{data: whole}}
	}
	var parts []part
	for len(whole) > 0 {
		frame, rest, ok := cutFrame(whole)
		if !ok {
			return append(parts, part{data: whole})
		}
		parts = append(parts, i.judge(frame, hook)...)
		whole = rest
	}
	return parts
}

func (i *inspector) judge(frame []byte, hook Hook) []part {
	step := Step{
		From:   i.way.from,
		To:     i.way.to,
		Type:   framer.Type(frame[4]),
		Stream: binary.BigEndian.Uint64(frame[5:framer.HeaderSize]),
		Back:   i.back,
	}
	if step.Type == framer.TypeOpen && len(frame) > framer.HeaderSize {
		i.streams.open(step.Stream, messenger.Kind(frame[framer.HeaderSize]))
	}
	step.Kind = i.streams.kind(step.Stream)
	if hook == nil {
		return []part{{data: frame}}
	}
	verdict := hook(step)
	if verdict.Drop {
		return nil
	}
	if verdict.Swap && i.overtaken == nil {
		i.overtaken = frame
		return nil
	}
	parts := []part{{data: frame, hold: verdict.Hold}}
	if i.overtaken != nil {
		parts = append(parts, part{data: i.overtaken})
		i.overtaken = nil
	}
	for range verdict.Copies {
		parts = append(parts, part{data: frame, hold: verdict.Hold})
	}
	return parts
}

func startsWithHello(data []byte) bool {
	return len(data) > framer.HeaderSize && framer.Type(data[4]) == framer.TypeHello
}

// cutFrame cuts the first whole frame off data.
func cutFrame(data []byte) (frame, rest []byte, ok bool) {
	if len(data) < framer.HeaderSize {
		return nil, nil, false
	}
	size := framer.HeaderSize + int(binary.BigEndian.Uint32(data))
	if size > len(data) {
		return nil, nil, false
	}
	return data[:size:size], data[size:], true
}
