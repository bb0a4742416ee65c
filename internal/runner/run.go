package runner

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"
)

// Run serves until ctx ends. It then refuses new requests, waits for those in flight and
// for the peers to learn that this instance leaves, and returns. If forceCtx ends
// first or the stop timeout passes, requests in flight are cut off and an error is
// returned.
func (r *Runner) Run(ctx, forceCtx context.Context) error {
	defer close(r.done)
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	supervisorEnded := r.supervisor.ServeBackground(serveCtx)
	r.logger.Info("Serving.", "callers", r.callerListener.Addr(), "status", r.statusListener.Addr(), "peers", r.peerListener.Addr())

	<-ctx.Done()
	r.stopping.Store(true)
	err := r.drain(forceCtx)
	cancel()
	if supervisorErr := <-supervisorEnded; supervisorErr != nil && !errors.Is(supervisorErr, context.Canceled) {
		r.logger.Warn("Supervisor ended.", "error", supervisorErr)
	}
	r.forwarder.Close()
	r.logger.Info("Stopped.")

	return err
}

// drain stops admitting requests and waits until none is in flight. It then releases the
// configuration lease, waits until the peers have learned that this instance leaves, and
// closes the listeners. It returns an error if forceCtx ends or the stop timeout passes
// while requests are in flight, or if a listener does not close.
func (r *Runner) drain(forceCtx context.Context) error {
	r.logger.Info("Stopping.", "in flight", r.controller.InFlight())
	r.controller.StopAdmitting()
	stopTimer := time.NewTimer(r.settings.StopTimeout)
	defer stopTimer.Stop()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for r.controller.InFlight() > 0 {
		select {
		case <-forceCtx.Done():
			return errors.New("stopped by force with requests in flight")
		case <-stopTimer.C:
			return errors.Errorf("stop limit of %s passed with requests in flight", r.settings.StopTimeout)
		case <-ticker.C:
		}
	}
	releaseCtx, cancel := context.WithTimeout(forceCtx, storeTimeout)
	r.publisher.Release(releaseCtx)
	cancel()
	r.awaitLeaveExchanges(forceCtx)

	// Shutdown waits for the last answers, which may not be fully written yet.
	shutdownCtx, cancelShutdown := context.WithTimeout(forceCtx, headerReadTimeout)
	defer cancelShutdown()
	for _, server := range r.servers {
		if err := server.Shutdown(shutdownCtx); err != nil {
			return errors.Wrap(err, "close listeners")
		}
	}

	return nil
}

// awaitLeaveExchanges waits a few exchange intervals, in which the peers learn that this
// instance leaves, or until forceCtx ends.
func (r *Runner) awaitLeaveExchanges(forceCtx context.Context) {
	timer := time.NewTimer(leaveExchangeIntervals * r.settings.ExchangeInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-forceCtx.Done():
	}
}

// listenerService serves HTTP on a listener as a service of the supervisor tree.
type listenerService struct {
	server   *http.Server
	listener net.Listener
}

// String returns the name that the supervisor logs.
func (l *listenerService) String() string {
	return "listener " + l.listener.Addr().String()
}

// Serve serves until ctx ends and then closes the server. If the server was shut down
// before, the supervisor must not restart it.
func (l *listenerService) Serve(ctx context.Context) error {
	serveEnded := make(chan error, 1)
	go func() {
		if l.server.TLSConfig != nil {
			serveEnded <- l.server.ServeTLS(l.listener, "", "")

			return
		}
		serveEnded <- l.server.Serve(l.listener)
	}()
	select {
	case <-ctx.Done():
		_ = l.server.Close()
		if err := <-serveEnded; !errors.Is(err, http.ErrServerClosed) {
			return err
		}

		return ctx.Err()
	case err := <-serveEnded:
		if errors.Is(err, http.ErrServerClosed) {
			return suture.ErrDoNotRestart
		}

		return err
	}
}

// statusHandler returns the handler of /healthz, /readyz and /metrics.
func (r *Runner) statusHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		switch {
		case r.stopping.Load():
			http.Error(w, "stopping", http.StatusServiceUnavailable)
		case r.follower.RevisionNumber() == 0:
			http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		case !r.controller.IsReady():
			http.Error(w, "no credit yet", http.StatusServiceUnavailable)
		default:
			_, _ = w.Write([]byte("ready\n"))
		}
	})
	mux.Handle("GET /metrics", r.meter.Handler())

	return mux
}
