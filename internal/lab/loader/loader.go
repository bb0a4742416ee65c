// Package loader sends an open-loop load to running routers over HTTP: each
// request is sent at its time, however slow the answers are. It checks every
// answer token by token and reports by class what the callers saw.
//
// The arrivals are computed before the run, so that several runs get the same
// ones. The loader keeps one goroutine for each request in flight.
package loader

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	defaultResends = 4
	defaultModel   = "stand-in"
	defaultService = "booker"
	// grace is how long after its deadline an answer is waited for.
	grace = 10 * time.Second
	// noDeadline is the deadline of a class that has none.
	noDeadline = 2 * time.Minute
	maxIdle    = 4096
)

// Settings of a Loader. Zero fields take their defaults.
type Settings struct {
	// RouterURLs are the base addresses, such as "http://10.0.0.1:8000".
	RouterURLs []string
	// RequestMix that the arrivals were computed from.
	RequestMix RequestMix
	// Arrivals to send.
	Arrivals []Arrival
	// Model that chats ask for.
	Model string
	// PlainServiceName is the name of the plain service.
	PlainServiceName string
	// Resends is how often a booking is sent again when it is not known
	// whether it ran.
	Resends int
	// SendKnownLengths tells the routers the true lengths of the answers.
	SendKnownLengths bool
	// Client sends the requests; nil is one of the loader's own.
	Client *http.Client
	// OnProgress is told how many of the arrivals have ended.
	OnProgress func(ended, total int)
}

// Loader sends one list of arrivals.
type Loader struct {
	settings Settings
	client   *http.Client
}

// New returns a loader that has sent nothing.
func New(settings Settings) (*Loader, error) {
	if len(settings.RouterURLs) == 0 {
		return nil, errors.New("routers: at least one address is needed")
	}
	for _, arrival := range settings.Arrivals {
		if arrival.Class >= len(settings.RequestMix.Classes) || arrival.Workspace >= len(settings.RequestMix.Workspaces) {
			return nil, errors.Errorf("arrivals: number %d is not of the mix", arrival.Number)
		}
	}
	if settings.Model == "" {
		settings.Model = defaultModel
	}
	if settings.PlainServiceName == "" {
		settings.PlainServiceName = defaultService
	}
	if settings.Resends == 0 {
		settings.Resends = defaultResends
	}
	client := settings.Client
	if client == nil {
		client = &http.Client{Transport: &http.Transport{MaxIdleConns: maxIdle, MaxIdleConnsPerHost: maxIdle}}
	}

	return &Loader{settings: settings, client: client}, nil
}

// Run sends the arrivals, waits for every answer and reports. When the
// context ends, the requests in flight are given up.
func (l *Loader) Run(ctx context.Context) Report {
	start := time.Now()
	ledger := newLedger(l.settings.RequestMix)
	var pending sync.WaitGroup
	for _, arrival := range l.settings.Arrivals {
		due := start.Add(arrival.At)
		if !sleepUntil(ctx, due) {
			break
		}
		pending.Go(func() {
			caller := caller{Loader: l, arrival: arrival, class: l.settings.RequestMix.Classes[arrival.Class], due: due}
			ended := ledger.add(caller.call(ctx))
			if l.settings.OnProgress != nil {
				l.settings.OnProgress(ended, len(l.settings.Arrivals))
			}
		})
	}
	pending.Wait()
	if l.settings.Client == nil {
		l.client.CloseIdleConnections()
	}

	return ledger.report(time.Since(start))
}

// sleepUntil waits until a time and reports whether the context still holds.
func sleepUntil(ctx context.Context, due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
