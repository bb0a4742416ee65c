package relayrunner

import (
	"context"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/drainer"
)

const (
	// balancerNoticeDelay is the time from the beginning of a stop after which the load
	// balancer sends no new connections. The load balancer requests the status once a second
	// and acts on the second answer that says not ready.
	balancerNoticeDelay = 3 * time.Second
	// quietWindow is the time without a new connection after which no further one is
	// assumed to be on its way. A lost packet is sent again after a little more than
	// 200 ms.
	quietWindow = 400 * time.Millisecond
	// processExitMargin is the part of the stop timeout that is reserved for the exit of
	// the process, which takes about 50 ms.
	processExitMargin = 400 * time.Millisecond
	// acceptMargin is how long before the end of the stop timeout no further connection is
	// accepted. A request arrives within a round trip after its connection is opened, 200 ms
	// later if a packet is lost.
	acceptMargin = 500 * time.Millisecond
	// answerMargin is how long before the end of the stop timeout the last requests must
	// have their answers, so that none is cut off if the machine is short of processor time.
	answerMargin = 300 * time.Millisecond
	// drainCheckInterval is how often a stopping instance checks what to do next.
	drainCheckInterval = 50 * time.Millisecond
)

// stop lets the instance serve until it may exit, and then closes its servers. Requests
// that are still in flight at the stop timeout are aborted.
func (r *Runner) stop() {
	startedAt := time.Now()
	timeout := time.Duration(r.stopTimeoutNs.Load()) - processExitMargin
	r.logger.Info("Stopping.", "in flight", r.relayer.InFlight())
	r.isStopping.Store(true)
	r.relayer.DisableKeepAlives()
	r.gossiper.AnnounceLeaving()
	r.drain(startedAt, timeout)
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(timeout))
	defer cancel()
	if err := r.callerServer.Shutdown(ctx); err != nil {
		r.logger.Warn("Requests in flight are cut off.", "in flight", r.relayer.InFlight(), "error", err)
		_ = r.callerServer.Close()
	}
	if r.usage != nil {
		r.usage.Send(ctx)
	}
	_ = r.statusServer.Close()
	_ = r.peerServer.Close()
	_ = r.metricsServer.Close()
}

// drain serves until the instance may exit, as pkg/drainer decides.
func (r *Runner) drain(startedAt time.Time, timeout time.Duration) {
	settings := drainer.Settings{
		BalancerNoticeDelay: balancerNoticeDelay, QuietWindow: quietWindow, StopTimeout: timeout, AcceptMargin: acceptMargin, AnswerMargin: answerMargin,
	}
	r.relayer.BeginStop(startedAt, settings)
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for now := startedAt; ; now = <-ticker.C {
		action := settings.NextAction(drainer.Progress{
			Elapsed: now.Sub(startedAt), InFlight: r.relayer.InFlight(), SinceLastConnection: now.Sub(r.callerConnections.lastOpenTime()),
		})
		switch action {
		case drainer.StopAccepting:
			_ = r.callerListener.Close()
			r.callerConnections.closeAll()
		case drainer.FinishRequests:
			r.callerConnections.closeAll()
		case drainer.Exit:
			return
		case drainer.Serve:
		}
	}
}
