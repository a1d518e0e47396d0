package linker

import (
	"context"
	"errors"
	"os"
	"time"

	"marigoldhill/kernel/framer"
)

// writeChunkSize is the size in bytes of the chunks in which a batch is written.
// It is small enough that a network link under load takes a chunk within WriteTimeout.
const writeChunkSize = 32 << 10

// send appends a frame to the send queue. It never blocks. If the queue exceeds its
// limit, because the peer keeps requesting responses without reading any, the
// connection is closed.
func (l *Link) send(frame framer.Frame) {
	if !l.queue.add(frame) {
		return
	}
	l.options.count("closures", "overflow")
	// In a goroutine, since the caller may hold locks that fail acquires.
	go l.fail(Error.New("send queue limit exceeded, the peer is not reading: %w", ErrProtocolViolation))
}

func (l *Link) writeLoop() {
	var batch []byte
	for {
		select {
		case <-l.queue.ready:
		case <-l.ctx.Done():
			return
		}
		batch = l.queue.takeBatch(batch)
		if len(batch) == 0 {
			continue
		}
		if err := l.write(batch); err != nil {
			l.fail(Error.New("writing to %s: %w", l.peer.Name, err))
			return
		}
	}
}

// write writes a batch in chunks. It fails if a chunk is not written within
// WriteTimeout, so that no writer waits forever. A slow connection stays open as long
// as each chunk is written in time.
func (l *Link) write(batch []byte) error {
	for len(batch) > 0 {
		chunk := batch[:min(len(batch), writeChunkSize)]
		if err := l.conn.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
			return Error.New("setting the write deadline: %w", err)
		}
		if _, err := l.conn.Write(chunk); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				l.options.count("closures", "stuck")
			}
			return err
		}
		batch = batch[len(chunk):]
	}
	return nil
}

// drainPollInterval is the interval at which drain checks the state of a link.
const drainPollInterval = 10 * time.Millisecond

// drain waits until no stream is open and the peer has answered a ping sent after
// that, which shows that it has read everything sent before the ping.
func (l *Link) drain(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	targetPongs := uint64(0)
	for {
		switch {
		case targetPongs > 0 && l.keepalive.pongs.Load() >= targetPongs:
			return
		case targetPongs == 0 && !l.hasOpenStreams():
			targetPongs = l.ping()
		}
		select {
		case <-ticker.C:
		case <-l.ctx.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}
