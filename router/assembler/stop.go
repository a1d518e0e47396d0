package assembler

import (
	"context"
	"time"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/registrar"
	"marigoldhill/router/stopper"
)

const (
	// exitMargin is how long before the end of the grace period the process exits, since it
	// is killed at the end.
	exitMargin = 250 * time.Millisecond
	// closeReserve is the time for closing the session and the links once the connections of
	// callers are closed.
	closeReserve = 150 * time.Millisecond
	// writeReserve is the time for sending the last responses to callers.
	writeReserve = 100 * time.Millisecond
	// callerCloseTime is how long the connections of callers are being closed. The backend
	// server makes calls for its requests over them, so these must have ended before.
	callerCloseTime = 300 * time.Millisecond
	// handOverFraction is the fraction of the grace period after which a stopping router
	// hands its keys over. Until callers have switched to other routers, which takes
	// stopper.CallerSwitchTime, its backend server can continue to execute requests.
	handOverFraction = 0.3
	// handOverTime is how long it takes until the new owner of keys has them.
	handOverTime = 500 * time.Millisecond
	// linkDrainTimeout limits the wait for other routers to receive all responses. A
	// router that is down never acknowledges them.
	linkDrainTimeout = 1500 * time.Millisecond
	// callerQuietTime is how long callers must have sent nothing before their connections
	// are closed.
	callerQuietTime = 400 * time.Millisecond
	// switchFraction is the fraction of the grace period for which a router waits for its
	// keys to be handed over, and for callers that go on to send requests.
	switchFraction = 0.65
)

// stopTiming are the steps of a stop, as times since its beginning.
type stopTiming struct {
	// handOver is when the keys are handed over at the latest.
	handOver time.Duration
	// switched is when the router no longer waits for its keys to be handed over, and for
	// callers to switch.
	switched time.Duration
	// owner is when all requests at the own server must have ended, and entry when all
	// requests of callers must have.
	owner, entry time.Duration
	// callers is when the connections of callers are closed, exit when the process ends.
	callers, exit time.Duration
}

func newStopTiming(grace time.Duration) stopTiming {
	exit := grace - exitMargin
	callers := exit - closeReserve
	entry := callers - writeReserve
	return stopTiming{
		handOver: time.Duration(handOverFraction * float64(grace)),
		switched: time.Duration(switchFraction * float64(grace)),
		owner:    entry - callerCloseTime,
		entry:    entry,
		callers:  callers,
		exit:     exit,
	}
}

// drainPeers waits until other routers have received the responses being sent.
func drainPeers(ctx context.Context, peer *linker.Server, log *logger.Log) {
	ctx, cancel := context.WithTimeout(ctx, linkDrainTimeout)
	defer cancel()
	if links := peer.Drain(ctx); links > 0 {
		log.Emit(logger.PeersCut, "links", links)
	}
}

// stopProcess stops the services of a process within its grace period. entry and owner are
// the times in which the entry passes requests on, and in which the own server runs them.
func stopProcess(ctx context.Context, registry *registrar.Registrar, log *logger.Log, grace time.Duration, entry, owner *stopper.Window) error {
	entry.Begin()
	owner.Begin()
	log.Emit(logger.ProcessStopping)
	ctx, cancel := context.WithTimeout(ctx, newStopTiming(grace).exit)
	defer cancel()
	err := registry.Stop(ctx)
	elapsed, _ := entry.Elapsed()
	log.Emit(logger.ProcessStopped, "took", elapsed.String(), "error", err)
	if err != nil {
		return Error.New("stopping: %w", err)
	}
	return nil
}
