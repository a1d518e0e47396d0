package assembler

import (
	"context"
	"net/http"

	"marigoldhill/control/replicator"
	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/timer"
)

// placeholder stands in for the state machine, the receiver and the
// administrator until they are there.
type placeholder struct{}

func newMachine(part) replicator.Machine                          { return placeholder{} }
func newReceiver(part, *replicator.Replica) streamHandler         { return placeholder{} }
func newAdministrator(part, *replicator.Replica) http.HandlerFunc { return http.NotFound }

// Apply implements [replicator.Machine].
func (placeholder) Apply(uint64, []byte) any { return nil }

// Snapshot implements [replicator.Machine].
func (placeholder) Snapshot() ([]byte, error) { return nil, nil }

// Restore implements [replicator.Machine].
func (placeholder) Restore(uint64, []byte) error { return nil }

// Tick implements [replicator.Machine].
func (placeholder) Tick(timer.Instant, replicator.Standing) [][]byte { return nil }

// Query implements [replicator.Machine].
func (placeholder) Query(timer.Instant, replicator.Standing, any) (any, [][]byte) { return nil, nil }

// Handle implements [streamHandler].
func (placeholder) Handle(context.Context, *linker.Link, *linker.Stream) {}
