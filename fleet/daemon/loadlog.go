package daemon

import (
	"context"
	"syscall"
	"time"

	"go.uber.org/zap"

	"plantainfield.example/fleet/gateway"
	"plantainfield.example/fleet/peers"
	"plantainfield.example/fleet/processload"
	"plantainfield.example/fleet/runtime"
	"plantainfield.example/fleet/upstream"
)

const (
	// loadLogPeriod is the time between two log lines with the load of the
	// instance.
	loadLogPeriod = 2 * time.Second
	// minLoggedLateness is the lateness of a tick from which on the load is logged
	// also if no request arrived.
	minLoggedLateness = 100 * time.Millisecond
)

// loadLog logs how busy this instance is.
type loadLog struct {
	loop    *runtime.Loop
	server  *gateway.Server
	targets *upstream.Client
	peers   *peers.Sender
	log     *zap.Logger
}

// run logs the load of each period until ctx ends.
func (l *loadLog) run(ctx context.Context) {
	ticker := time.NewTicker(loadLogPeriod)
	defer ticker.Stop()
	process := processload.NewSampler()
	requests, connections, steps, used, at := uint64(0), uint64(0), uint64(0), processorTime(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		requestsNow, connectionsNow, stepsNow := l.server.Requests(), l.targets.ConnectionsOpened.Load(), l.loop.Counters().Steps.Load()
		usedNow, now := processorTime(), time.Now()
		late, waits, sent, load := l.loop.Lateness().Reset(), l.loop.EventWaits().Reset(), l.peers.Sent(), process.Sample()
		if requestsNow > requests || late.Most >= minLoggedLateness {
			l.log.Info("instance load", zap.Duration("period", now.Sub(at)), zap.Uint64("requests", requestsNow-requests), zap.Int64("open", l.server.ActiveRequests()),
				zap.Duration("processor", usedNow-used), zap.Uint64("events", stepsNow-steps), zap.Duration("late_mean", late.Mean()),
				zap.Duration("late_most", late.Most), zap.Duration("event_wait_mean", waits.Mean()), zap.Duration("event_wait_most", waits.Most),
				zap.Duration("run_queue_median", load.RunQueueMedian), zap.Duration("run_queue_p99", load.RunQueueP99), zap.Duration("gc", load.GC),
				zap.Uint64("memory_bytes", load.MemoryBytes), zap.Uint64("goroutines", load.Goroutines), zap.Uint64("connections_opened", connectionsNow-connections),
				zap.Int("peer_messages", sent.Received), zap.Int("peer_failed", sent.Failed), zap.Int("peer_dropped", sent.Dropped),
				zap.Duration("peer_mean", sent.Mean()), zap.Duration("peer_most", sent.Most))
		}
		requests, connections, steps, used, at = requestsNow, connectionsNow, stepsNow, usedNow, now
	}
}

// processorTime returns the processor time that the process has used, or 0 if it
// is unknown.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
