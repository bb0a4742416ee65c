// Package loader generates an open-loop load on running routers over HTTP: it sends each
// request at its scheduled time, however slow the answers are. It checks every answer
// token by token and reports the results by class, as the callers saw them.
//
// The arrivals are computed before the run, so that several runs can send the same
// requests. Each request in flight has its own goroutine.
package loader

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	defaultMaxResends = 4
	defaultModel      = "stand-in"
	defaultService    = "booker"
	// answerGracePeriod is how long a caller still waits for an answer after the deadline.
	answerGracePeriod = 10 * time.Second
	// defaultDeadline replaces the deadline of a class that has none.
	defaultDeadline    = 2 * time.Minute
	maxIdleConnections = 4096
)

// Settings configures a Loader. Zero fields take their defaults.
type Settings struct {
	// RouterURLs are the base URLs of the routers, such as "http://10.0.0.1:8000".
	RouterURLs []string
	// RequestMix is the request mix that the arrivals were computed from.
	RequestMix RequestMix
	// Arrivals are the requests to send, in the order of their times.
	Arrivals []Arrival
	// Model is the model that chat requests ask for.
	Model string
	// PlainServiceName is the name of the plain service that bookings and quotes call.
	PlainServiceName string
	// MaxResends limits how often a booking is sent again while it is in doubt, that
	// is, unknown whether it ran.
	MaxResends int
	// SendKnownLengths adds the true length of the answer, in tokens, to each request.
	SendKnownLengths bool
	// HTTPClient sends the requests; if nil, the loader makes one.
	HTTPClient *http.Client
	// OnProgress, if set, is called after each request with the number of those that have
	// ended. It may be called from several goroutines at once.
	OnProgress func(ended, total int)
}

// Loader sends the requests of one list of arrivals.
type Loader struct {
	settings Settings
	client   *http.Client
}

// New returns a Loader. It returns an error if there is no router, or if an arrival's class
// or workspace isn't in the request mix.
func New(settings Settings) (*Loader, error) {
	if len(settings.RouterURLs) == 0 {
		return nil, errors.New("routers: at least one URL is needed")
	}
	for _, arrival := range settings.Arrivals {
		if arrival.ClassIndex >= len(settings.RequestMix.Classes) || arrival.WorkspaceIndex >= len(settings.RequestMix.Workspaces) {
			return nil, errors.Errorf("arrival %d has a class or workspace that is not in the request mix", arrival.Index)
		}
	}
	if settings.Model == "" {
		settings.Model = defaultModel
	}
	if settings.PlainServiceName == "" {
		settings.PlainServiceName = defaultService
	}
	if settings.MaxResends == 0 {
		settings.MaxResends = defaultMaxResends
	}
	client := settings.HTTPClient
	if client == nil {
		client = &http.Client{Transport: &http.Transport{MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: maxIdleConnections}}
	}

	return &Loader{settings: settings, client: client}, nil
}

// Run sends the requests of all arrivals, waits for every answer and returns the report.
// When the context ends, it sends no more and aborts the requests in flight.
func (l *Loader) Run(ctx context.Context) Report {
	start := time.Now()
	collector := newResultCollector(l.settings.RequestMix)
	var inFlight sync.WaitGroup
	for _, arrival := range l.settings.Arrivals {
		dueAt := start.Add(arrival.SendOffset)
		if !sleepUntil(ctx, dueAt) {
			break
		}
		inFlight.Go(func() {
			caller := simulatedCaller{Loader: l, arrival: arrival, class: l.settings.RequestMix.Classes[arrival.ClassIndex], dueAt: dueAt}
			endedCount := collector.add(caller.sendAndCheck(ctx))
			if l.settings.OnProgress != nil {
				l.settings.OnProgress(endedCount, len(l.settings.Arrivals))
			}
		})
	}
	inFlight.Wait()
	if l.settings.HTTPClient == nil {
		l.client.CloseIdleConnections()
	}

	return collector.report(time.Since(start))
}

// sleepUntil waits until a time. It returns false if the context ends first.
func sleepUntil(ctx context.Context, wakeAt time.Time) bool {
	timer := time.NewTimer(time.Until(wakeAt))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
