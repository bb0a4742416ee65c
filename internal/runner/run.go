package runner

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"
)

// Run serves until ctx ends, then stops as planned: new requests are refused,
// those in flight end, and the peers are told. When force ends first, or the
// stop limit passes, what is still in flight is cut off and an error returned.
func (r *Runner) Run(ctx, force context.Context) error {
	defer close(r.done)
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := r.tree.ServeBackground(running)
	r.logger.Info("Serving.", "callers", r.callers.Addr(), "status", r.status.Addr(), "peers", r.peers.Addr())

	<-ctx.Done()
	r.stopping.Store(true)
	err := r.drain(force)
	cancel()
	if ending := <-ended; ending != nil && !errors.Is(ending, context.Canceled) {
		r.logger.Warn("Supervisor ended.", "error", ending)
	}
	r.forwarder.Close()
	r.logger.Info("Stopped.")

	return err
}

// drain waits until nothing is in flight.
func (r *Runner) drain(force context.Context) error {
	r.logger.Info("Stopping.", "in flight", r.control.InFlight())
	r.control.StopAdmitting()
	limit := time.NewTimer(r.settings.StopTimeout)
	defer limit.Stop()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for r.control.InFlight() > 0 {
		select {
		case <-force.Done():
			return errors.New("stopped by force with requests in flight")
		case <-limit.C:
			return errors.Errorf("stop limit of %s passed with requests in flight", r.settings.StopTimeout)
		case <-ticker.C:
		}
	}
	release, cancel := context.WithTimeout(force, storeTimeout)
	r.publisher.Release(release)
	cancel()
	r.sayGoodbye(force)

	// The last answers may still be on their way out of the server.
	shutdown, cancelShutdown := context.WithTimeout(force, headerTimeout)
	defer cancelShutdown()
	for _, server := range r.servers {
		if err := server.Shutdown(shutdown); err != nil {
			return errors.Wrap(err, "close listeners")
		}
	}

	return nil
}

// sayGoodbye gives the peers some rounds to hear that this instance leaves.
func (r *Runner) sayGoodbye(force context.Context) {
	timer := time.NewTimer(leaveRounds * r.settings.ExchangeInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-force.Done():
	}
}

// listening serves HTTP on a listener as a service of the tree.
type listening struct {
	server   *http.Server
	listener net.Listener
}

// String returns the name that the supervisor logs.
func (l *listening) String() string {
	return "listener " + l.listener.Addr().String()
}

// Serve serves until ctx ends.
func (l *listening) Serve(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() {
		if l.server.TLSConfig != nil {
			ended <- l.server.ServeTLS(l.listener, "", "")

			return
		}
		ended <- l.server.Serve(l.listener)
	}()
	select {
	case <-ctx.Done():
		_ = l.server.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			return err
		}

		return ctx.Err()
	case err := <-ended:
		if errors.Is(err, http.ErrServerClosed) {
			return suture.ErrDoNotRestart
		}

		return err
	}
}

// statusHandler serves /healthz, /readyz and /metrics.
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
		case !r.control.IsReady():
			http.Error(w, "no credit yet", http.StatusServiceUnavailable)
		default:
			_, _ = w.Write([]byte("ready\n"))
		}
	})
	mux.Handle("GET /metrics", r.meter.Handler())

	return mux
}
