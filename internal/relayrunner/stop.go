package relayrunner

import (
	"context"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/drainer"
)

const (
	// noticed is the time after which the balancer, which asks once a second
	// and believes the second answer, sends no new connections.
	noticed = 3 * time.Second
	// quiet is the time without a new connection after which none is on its way;
	// a lost packet comes again after 200 ms and somewhat more.
	quiet = 400 * time.Millisecond
	// stopMargin is kept of the stop limit for the end of the process, which
	// takes some 50 ms.
	stopMargin = 400 * time.Millisecond
	// stopInterval is how often a stopping instance looks whether it may end.
	stopInterval = 50 * time.Millisecond
)

// stop ends what runs.
func (r *Runner) stop() {
	begun := time.Now()
	limit := time.Duration(r.stopLimit.Load()) - stopMargin
	r.logger.Info("Stopping.", "in flight", r.relayer.InFlight())
	r.leaving.Store(true)
	r.relayer.DisableKeepAlives()
	r.gossip.Leave()
	r.drain(begun, limit)
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(limit))
	defer cancel()
	if err := r.callers.Shutdown(ctx); err != nil {
		r.logger.Warn("Requests in flight are cut off.", "in flight", r.relayer.InFlight(), "error", err)
		_ = r.callers.Close()
	}
	_ = r.status.Close()
	_ = r.peers.Close()
	_ = r.metrics.Close()
}

// drain serves on until the stop may end.
func (r *Runner) drain(begun time.Time, limit time.Duration) {
	settings := drainer.Settings{BalancerNoticeDelay: noticed, QuietWindow: quiet, StopTimeout: limit}
	ticker := time.NewTicker(stopInterval)
	defer ticker.Stop()
	for now := begun; ; now = <-ticker.C {
		step := settings.NextAction(drainer.Progress{
			Elapsed: now.Sub(begun), InFlight: r.relayer.InFlight(), SinceLastConnection: now.Sub(r.idlers.lastOpened()),
		})
		switch step {
		case drainer.FinishRequests:
			r.relayer.SetStopDeadline(begun.Add(limit))
			r.idlers.closeAll()
		case drainer.Exit:
			return
		case drainer.Serve:
		}
	}
}
